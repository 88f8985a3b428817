#include "bundle/bundle_digest.h"

#include <openssl/sha.h>

#include <array>

namespace gorsetrail::bundle {

std::string bundleDigest(std::string_view bundleJson) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 15;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bundleJson.data()), bundleJson.size(),
         digest.data());
  std::string text;
  text.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> kBitsPerDigit]);
    text.push_back(kDigits[byte & kDigitMask]);
  }
  return text;
}

}  // namespace gorsetrail::bundle
