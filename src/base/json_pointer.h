/// \file JSON pointers (RFC 6901), which locate errors in a document.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gorsetrail {

/// \return the JSON pointer of a child of `path`; special characters in `key` are escaped.
std::string childPath(const std::string& path, std::string_view key);
std::string childPath(const std::string& path, std::size_t index);

}  // namespace gorsetrail
