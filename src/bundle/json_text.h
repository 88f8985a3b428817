/// \file Reading JSON text so that it has one meaning: no repeated keys, nothing after the value.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"

namespace gorsetrail::bundle {

/// \return the value, or what is wrong: not JSON, or an object that names a key twice (which of
/// the two counts would differ between readers, so that a signer may not see what is in force).
std::variant<nlohmann::json, std::vector<Error>> parseJsonText(std::string_view text);

}  // namespace gorsetrail::bundle
