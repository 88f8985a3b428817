#include "tenant/api_key_hasher.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <iostream>

namespace gorsetrail::tenant {

ApiKeyHasher ApiKeyHasher::withRandomSecret() {
  Secret secret{};
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    std::cerr << "no random bytes for the secret of API key digests, exiting; check the system's "
                 "random source\n";
    std::exit(EXIT_FAILURE);
  }
  return ApiKeyHasher(secret);
}

ApiKeyDigest ApiKeyHasher::digestOf(std::string_view apiKey) const {
  ApiKeyDigest digest;
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(apiKey.data()), apiKey.size(), digest.bytes.data(),
       &length);
  return digest;
}

}  // namespace gorsetrail::tenant
