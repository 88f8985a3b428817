/// \file Reading JSON text so that it has one meaning: no repeated keys, nothing after the value.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"

namespace gorsetrail::bundle {

/// \return a JSON pointer (RFC 6901) with one more level below `path`.
std::string childPath(const std::string& path, std::string_view key);
std::string childPath(const std::string& path, std::size_t index);

/// \return the value, or what is wrong: not JSON, or an object that names a key twice (which of
/// the two counts would differ between readers, so that a signer may not see what is in force).
std::variant<nlohmann::json, std::vector<Error>> parseJsonText(std::string_view text);

}  // namespace gorsetrail::bundle
