/// \file Bundles, operators and envelopes for tests.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bundle/bundle_holder.h"
#include "bundle/ed25519.h"

namespace gorsetrail::bundle {

/// An operator with a key pair of its own.
struct TestOperator {
  std::string name;
  KeyPair keys;

  [[nodiscard]] Operator publicPart() const { return {name, keys.publicKey}; }
};

inline TestOperator makeOperator(const std::string& name) {
  return {name, std::get<KeyPair>(generateKeyPair())};
}

/// \return a whole bundle of version `version` made from version `base`.
inline nlohmann::json sampleBundle(std::uint64_t version, std::uint64_t base,
                                   const std::vector<TestOperator>& operators,
                                   std::uint32_t signaturesNeeded = 1) {
  nlohmann::json bundle = nlohmann::json::parse(R"({
    "format": 1, "site": "paino-lumo", "latency_weight": 0.3,
    "models": [{"name": "lumo-7b", "context_tokens": 131072}],
    "adapters": [{"name": "proof", "model": "lumo-7b"}],
    "priorities": [{"name": "batch"}, {"name": "interactive", "above": "batch"}],
    "back_ends": [
      {"name": "lm-1", "kind": "engine", "zone": "hall-1", "address": "127.0.0.1:19001", "model": "lumo-7b"},
      {"name": "lm-2", "kind": "engine", "zone": "hall-2", "address": "127.0.0.1:19002", "model": "lumo-7b"},
      {"name": "press-1", "kind": "application", "zone": "hall-1", "address": "127.0.0.1:19101"}],
    "works": [
      {"name": "proof-assistant", "kind": "engine", "model": "lumo-7b", "adapter": "proof",
       "priority": "interactive", "repeatable": true, "back_ends": ["lm-1", "lm-2"]},
      {"name": "release-to-press", "kind": "application", "priority": "interactive",
       "repeatable": false, "back_ends": ["press-1"]}],
    "tenants": [{"name": "press-a", "works": ["proof-assistant", "release-to-press"],
      "budget": {"calls_per_program": 200, "tokens_per_program": 400000,
                 "seconds_per_program": 7200, "tokens_per_minute": 2000000}}]})");
  bundle["version"] = version;
  bundle["base"] = base;
  bundle["signatures_needed"] = signaturesNeeded;
  bundle["operators"] = nlohmann::json::array();
  for (const TestOperator& each : operators) {
    bundle["operators"].push_back({{"name", each.name}, {"public_key", each.keys.publicKey}});
  }
  return bundle;
}

/// \return the envelope of the bundle with a signature of each signer.
inline std::string sealedBy(const std::vector<TestOperator>& signers,
                            const nlohmann::json& bundle) {
  SignedBundle sealed{bundle.dump(), {}};
  for (const TestOperator& signer : signers) {
    sealed.signatures.push_back({signer.name, std::get<std::string>(signBytes(
                                                  signer.keys.privateKeyPem, sealed.bundleJson))});
  }
  return encodeEnvelope(sealed);
}

}  // namespace gorsetrail::bundle
