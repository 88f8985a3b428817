#include "bundle/ed25519.h"

#include <openssl/evp.h>
#include <openssl/pem.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>

#include "base/base64.h"

namespace gorsetrail::bundle {
namespace {

constexpr std::size_t kPublicKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

template <auto Function>
struct Free {
  template <class T>
  void operator()(T* object) const {
    Function(object);
  }
};
using KeyPointer = std::unique_ptr<EVP_PKEY, Free<EVP_PKEY_free>>;
using DigestContext = std::unique_ptr<EVP_MD_CTX, Free<EVP_MD_CTX_free>>;
using MemoryFile = std::unique_ptr<BIO, Free<BIO_free_all>>;

const unsigned char* asUnsigned(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

unsigned char* asUnsigned(std::string& bytes) {
  return reinterpret_cast<unsigned char*>(bytes.data());
}

Error unusablePrivateKey() {
  return Error{ErrorKind::InvalidField, "key", "this is no Ed25519 private key in PEM (PKCS#8)",
               "give a file that `gorsetrail keygen` made"};
}

Error cryptographyFailed(const std::string& step) {
  return Error{ErrorKind::Internal, "key", "OpenSSL could not " + step,
               "check that OpenSSL 3 with Ed25519 is installed"};
}

KeyPointer readPrivateKey(std::string_view pem) {
  const MemoryFile file(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  if (!file) {
    return nullptr;
  }
  // An empty password keeps OpenSSL from asking on the terminal for an encrypted key.
  std::string password;
  KeyPointer key(PEM_read_bio_PrivateKey(file.get(), nullptr, nullptr, password.data()));
  if (!key || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_ED25519) {
    return nullptr;
  }
  return key;
}

std::optional<std::string> rawPublicKey(EVP_PKEY* key) {
  std::string bytes(kPublicKeyBytes, '\0');
  std::size_t length = bytes.size();
  if (EVP_PKEY_get_raw_public_key(key, asUnsigned(bytes), &length) != 1 ||
      length != kPublicKeyBytes) {
    return std::nullopt;
  }
  return bytes;
}

std::optional<std::string> writePrivateKey(EVP_PKEY* key) {
  const MemoryFile file(BIO_new(BIO_s_mem()));
  if (!file ||
      PEM_write_bio_PKCS8PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1) {
    return std::nullopt;
  }
  char* text = nullptr;
  const long length = BIO_get_mem_data(file.get(), &text);
  return std::string(text, static_cast<std::size_t>(length));
}

std::optional<std::string> decodePublicKey(const std::string& publicKey) {
  std::optional<std::string> bytes = decodeBase64(publicKey);
  if (!bytes || bytes->size() != kPublicKeyBytes) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace

Result<KeyPair> generateKeyPair() {
  const KeyPointer key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  if (!key) {
    return cryptographyFailed("make a key");
  }
  std::optional<std::string> pem = writePrivateKey(key.get());
  const std::optional<std::string> bytes = rawPublicKey(key.get());
  if (!pem || !bytes) {
    return cryptographyFailed("write the key");
  }
  return KeyPair{std::move(*pem), encodeBase64(*bytes)};
}

Result<std::string> publicKeyOf(std::string_view privateKeyPem) {
  const KeyPointer key = readPrivateKey(privateKeyPem);
  if (!key) {
    return unusablePrivateKey();
  }
  const std::optional<std::string> bytes = rawPublicKey(key.get());
  if (!bytes) {
    return unusablePrivateKey();
  }
  return encodeBase64(*bytes);
}

Result<std::string> signBytes(std::string_view privateKeyPem, std::string_view bytes) {
  const KeyPointer key = readPrivateKey(privateKeyPem);
  if (!key) {
    return unusablePrivateKey();
  }
  const DigestContext context(EVP_MD_CTX_new());
  std::string signature(kSignatureBytes, '\0');
  std::size_t length = signature.size();
  if (!context || EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1 ||
      EVP_DigestSign(context.get(), asUnsigned(signature), &length, asUnsigned(bytes),
                     bytes.size()) != 1) {
    return cryptographyFailed("sign");
  }
  signature.resize(length);
  return encodeBase64(signature);
}

bool verifySignature(const std::string& publicKey, std::string_view bytes,
                     const std::string& signature) {
  const std::optional<std::string> keyBytes = decodePublicKey(publicKey);
  const std::optional<std::string> signatureBytes = decodeBase64(signature);
  if (!keyBytes || !signatureBytes || signatureBytes->size() != kSignatureBytes ||
      !isUsablePublicKey(publicKey)) {
    return false;
  }
  const KeyPointer key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, asUnsigned(*keyBytes),
                                                   keyBytes->size()));
  const DigestContext context(EVP_MD_CTX_new());
  return key && context &&
         EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
         EVP_DigestVerify(context.get(), asUnsigned(*signatureBytes), signatureBytes->size(),
                          asUnsigned(bytes), bytes.size()) == 1;
}

bool isUsablePublicKey(const std::string& publicKey) {
  const std::optional<std::string> bytes = decodePublicKey(publicKey);
  if (!bytes) {
    return false;
  }
  const bool restIsZero =
      std::all_of(bytes->begin() + 1, bytes->end(), [](char byte) { return byte == '\0'; });
  return !(restIsZero && static_cast<unsigned char>(bytes->front()) <= 1);
}

}  // namespace gorsetrail::bundle
