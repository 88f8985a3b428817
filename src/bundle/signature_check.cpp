#include "bundle/signature_check.h"

#include <algorithm>
#include <set>

#include "bundle/ed25519.h"

namespace gorsetrail::bundle {
namespace {

bool hasSigned(const SignedBundle& bundle, const Operator& candidate) {
  return std::any_of(
      bundle.signatures.begin(), bundle.signatures.end(), [&](const OperatorSignature& signature) {
        return signature.operatorName == candidate.name &&
               verifySignature(candidate.publicKey, bundle.bundleJson, signature.signature);
      });
}

}  // namespace

std::vector<std::string> validSigners(const SignedBundle& bundle,
                                      const std::vector<Operator>& operators) {
  std::vector<std::string> names;
  std::set<std::string> countedKeys;
  for (const Operator& candidate : operators) {
    if (!countedKeys.contains(candidate.publicKey) && hasSigned(bundle, candidate)) {
      countedKeys.insert(candidate.publicKey);
      names.push_back(candidate.name);
    }
  }
  return names;
}

std::size_t countKeys(const std::vector<Operator>& operators) {
  std::set<std::string> keys;
  for (const Operator& candidate : operators) {
    keys.insert(candidate.publicKey);
  }
  return keys.size();
}

}  // namespace gorsetrail::bundle
