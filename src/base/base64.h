/// \file Strict base64 (RFC 4648 with padding): one text for one byte string.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail {

/// \return the bytes as base64 with padding, without line breaks.
std::string encodeBase64(std::string_view bytes);

/// \return the bytes, or nothing when the text is not the one base64 text of any bytes (blanks,
/// missing padding and non-zero spare bits are refused, so that no two texts mean the same).
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace gorsetrail
