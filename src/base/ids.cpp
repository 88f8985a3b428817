#include "base/ids.h"

#include <openssl/sha.h>

#include <algorithm>

namespace gorsetrail {
namespace {

template <class Digest>
Digest truncatedSha256(std::string_view content) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> full{};
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), full.data());
  Digest digest;
  std::copy_n(full.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

}  // namespace

ProgramId programIdOf(const ProgramKey& key) {
  // The length prefix makes the text unambiguous: different keys give different texts.
  const std::string text = std::to_string(key.homeZone.size()) + ":" +
                           std::to_string(key.tenant.size()) + ":" + key.homeZone + key.tenant +
                           key.name;
  return truncatedSha256<ProgramId>(text);
}

RequestDigest requestDigestOf(std::string_view idempotencyKey) {
  return truncatedSha256<RequestDigest>(idempotencyKey);
}

ContentDigest contentDigestOf(std::string_view content) {
  return truncatedSha256<ContentDigest>(content);
}

std::string DispatchId::toText() const {
  return program.toHex() + "." + std::to_string(epoch.value()) + "." +
         std::to_string(call.value()) + "." + std::to_string(attempt.value());
}

}  // namespace gorsetrail
