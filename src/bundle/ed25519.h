/// \file Ed25519 keys and signatures (OpenSSL 3). Private keys are PEM texts (PKCS#8).
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::bundle {

/// A new key pair. The private key is secret; the public key goes into bundles and settings.
struct KeyPair {
  std::string privateKeyPem;  ///< PKCS#8, not encrypted.
  std::string publicKey;      ///< 32 bytes, base64.
};

/// \return a fresh key pair from the system's random source, or `Internal`.
Result<KeyPair> generateKeyPair();

/// \return the public key (base64) of a private key, or `InvalidField`.
Result<std::string> publicKeyOf(std::string_view privateKeyPem);

/// \return the signature (64 bytes, base64) over the exact bytes, or `InvalidField`.
Result<std::string> signBytes(std::string_view privateKeyPem, std::string_view bytes);

/// \return whether `signature` (base64) is `publicKey`'s (base64) over the exact bytes.
bool verifySignature(const std::string& publicKey, std::string_view bytes,
                     const std::string& signature);

/// \return whether the text is a usable public key: 32 bytes of base64, not one of the placeholder
/// points (all zero, or one) for which anyone can make signatures.
bool isUsablePublicKey(const std::string& publicKey);

}  // namespace gorsetrail::bundle
