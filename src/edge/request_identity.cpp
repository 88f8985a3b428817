#include "edge/request_identity.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>

namespace gorsetrail::edge {
namespace {

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// Adds a field with its length, so that different fields never have the same concatenation.
void addField(EVP_MD_CTX* context, std::string_view field) {
  const std::uint64_t length = field.size();
  EVP_DigestUpdate(context, &length, sizeof length);
  EVP_DigestUpdate(context, field.data(), field.size());
}

}  // namespace

routing::RequestKey requestKeyOf(const RequestIdentity& identity) {
  const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view field :
       {identity.tenant, identity.program, identity.method, identity.host, identity.target,
        identity.previousTurn, identity.input}) {
    addField(context.get(), field);
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  routing::RequestKey key;
  std::memcpy(&key.high, digest.data(), sizeof key.high);
  std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
  return key;
}

}  // namespace gorsetrail::edge
