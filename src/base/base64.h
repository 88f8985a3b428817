/// \file Strict base64 (RFC 4648 with padding): each byte string has exactly one encoding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gorsetrail {

/// \return the bytes as base64 with padding, without line breaks.
std::string encodeBase64(std::string_view bytes);

/// \return the bytes, or nothing when `text` is not canonical base64: whitespace, missing padding
/// and non-zero trailing bits are rejected, so that no two texts decode to the same bytes.
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace gorsetrail
