#include "cli/signing.h"

#include <algorithm>
#include <utility>

#include "bundle/ed25519.h"

namespace gorsetrail::cli {
namespace {

Result<Success> checkKeyFitsName(const bundle::SignedBundle& signedBundle,
                                 const std::string& operatorName, const std::string& publicKey) {
  const auto parsed = bundle::parseBundle(signedBundle.bundleJson);
  const auto* content = std::get_if<bundle::Bundle>(&parsed);
  if (content == nullptr) {
    return std::get<std::vector<Error>>(parsed).front();
  }
  const auto listed = std::find_if(
      content->operators.begin(), content->operators.end(),
      [&](const bundle::Operator& candidate) { return candidate.name == operatorName; });
  // An operator removed by this version may sign it and is not listed.
  if (listed != content->operators.end() && listed->publicKey != publicKey) {
    return Error{ErrorKind::InvalidField, "--key",
                 "the bundle lists another public key for \"" + operatorName + "\"",
                 "use the key of this operator, or correct /operators (its public key is " +
                     publicKey + ")"};
  }
  return Success{};
}

}  // namespace

Result<Success> addSignature(bundle::SignedBundle& signedBundle, const std::string& operatorName,
                             const std::string& privateKeyPem) {
  const Result<std::string> publicKey = bundle::publicKeyOf(privateKeyPem);
  if (!succeeded(publicKey)) {
    return errorOf(publicKey);
  }
  Result<Success> fits = checkKeyFitsName(signedBundle, operatorName, valueOf(publicKey));
  if (!succeeded(fits)) {
    return fits;
  }
  Result<std::string> signature = bundle::signBytes(privateKeyPem, signedBundle.bundleJson);
  if (!succeeded(signature)) {
    return errorOf(signature);
  }
  std::erase_if(signedBundle.signatures, [&](const bundle::OperatorSignature& earlier) {
    return earlier.operatorName == operatorName;
  });
  signedBundle.signatures.push_back({operatorName, std::move(valueOf(signature))});
  return Success{};
}

}  // namespace gorsetrail::cli
