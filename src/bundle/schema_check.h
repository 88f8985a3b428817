/// \file Checks a bundle's JSON against its schema: types, ranges, required and unknown keys.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "base/error.h"

namespace gorsetrail::bundle {

/// \return every breach of `docs/bundle.schema.json`; `field` is a JSON pointer.
std::vector<Error> checkAgainstSchema(const nlohmann::json& document);

}  // namespace gorsetrail::bundle
