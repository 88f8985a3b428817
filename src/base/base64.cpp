#include "base/base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <limits>

namespace gorsetrail {
namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;
constexpr std::size_t kMaximumPadding = 2;
/// OpenSSL takes lengths as `int`, so longer texts are rejected.
constexpr std::size_t kMaximumLength = std::numeric_limits<int>::max() / 2;

const unsigned char* asUnsigned(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::size_t paddingOf(std::string_view text) {
  std::size_t padding = 0;
  while (padding < std::min(kMaximumPadding, text.size()) &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  return padding;
}

}  // namespace

std::string encodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  // EVP_EncodeBlock writes a terminating zero byte after the text.
  std::string text(groups * kGroupCharacters + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     asUnsigned(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
  if (text.empty()) {
    return std::string();
  }
  if (text.size() % kGroupCharacters != 0 || text.size() > kMaximumLength) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kGroupCharacters * kGroupBytes, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     asUnsigned(text), static_cast<int>(text.size()));
  if (length != static_cast<int>(bytes.size())) {
    return std::nullopt;
  }
  bytes.resize(bytes.size() - paddingOf(text));
  // EVP_DecodeBlock skips whitespace and ignores trailing bits, so the canonical form is checked
  // here.
  if (encodeBase64(bytes) != text) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace gorsetrail
