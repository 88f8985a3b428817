/// \file Turns a bundle's JSON into typed values without judging it.
#pragma once

#include <nlohmann/json.hpp>

#include "bundle/bundle.h"

namespace gorsetrail::bundle {

/// \return the bundle; whatever is missing or of the wrong type is left empty or zero (the schema
/// check reports it), and every item keeps its position, so that paths stay right.
Bundle readBundle(const nlohmann::json& document);

}  // namespace gorsetrail::bundle
