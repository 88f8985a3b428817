/// \file Check of the settings' JSON against its schema.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/error.h"

namespace gorsetrail::node {

/// \return an `InvalidSettings` error that names file and key.
Error settingsError(const std::string& fileName, const std::string& path, std::string reason,
                    std::string remedy);

/// \return every way in which the document breaks the schema; empty when it is sound.
std::vector<Error> checkAgainstSchema(const nlohmann::json& document, const std::string& fileName);

}  // namespace gorsetrail::node
