/// \file JSON pointers (RFC 6901), which name the place of a fault in a document.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsetrail {

/// \return a JSON pointer with one more level below `path`.
std::string childPath(const std::string& path, std::string_view key);
std::string childPath(const std::string& path, std::size_t index);

}  // namespace gorsetrail
