#include "lab/sim/site.h"

#include <openssl/evp.h>
#include <openssl/pem.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "bundle/bundle_holder.h"
#include "bundle/ed25519.h"

namespace gorsetrail::sim {
namespace {

using nlohmann::json;

constexpr const char* kOperatorName = "lab-operator";
constexpr const char* kAddressPrefix = "node-";
constexpr std::size_t kPrivateKeyBytes = 32;

std::string makePrivateKeyPem() {
  std::array<unsigned char, kPrivateKeyBytes> bytes{};
  bytes.fill(0x42);
  EVP_PKEY* key =
      EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes.data(), bytes.size());
  BIO* output = BIO_new(BIO_s_mem());
  PEM_write_bio_PKCS8PrivateKey(output, key, nullptr, nullptr, 0, nullptr, nullptr);
  char* text = nullptr;
  const long length = BIO_get_mem_data(output, &text);
  std::string pem(text, static_cast<std::size_t>(length));
  BIO_free(output);
  EVP_PKEY_free(key);
  return pem;
}

json backendJson(const BackendName& backend, bool leaving) {
  json entry = {{"name", backend.name},
                {"kind", backend.application ? "application" : "engine"},
                {"zone", backend.zone},
                {"address", backend.address},
                {"leaving", leaving}};
  if (!backend.application) {
    entry["model"] = "model-a";
  }
  return entry;
}

json workJson(const Scenario& scenario, bool application) {
  json names = json::array();
  for (const BackendName& backend : backendsOf(scenario)) {
    if (backend.application == application) {
      names.push_back(backend.name);
    }
  }
  json work = {{"name", application ? kApplicationWork : kEngineWork},
               {"kind", application ? "application" : "engine"},
               {"priority", "interactive"},
               {"repeatable", !application},
               {"back_ends", names}};
  if (!application) {
    work["model"] = "model-a";
  }
  return work;
}

json tenantJson(const Scenario& scenario, const BundleChoice& choice) {
  json works = json::array({kEngineWork});
  if (scenario.applicationsPerZone > 0) {
    works.push_back(kApplicationWork);
  }
  return {{"name", kTenant},
          {"works", works},
          {"budget",
           {{"calls_per_program", choice.callsPerProgram},
            {"tokens_per_program", choice.tokensPerProgram},
            {"seconds_per_program", scenario.budget.seconds},
            {"tokens_per_minute", 1000000000}}}};
}

json bundleJson(const Scenario& scenario, const BundleChoice& choice) {
  json backends = json::array();
  for (const BackendName& backend : backendsOf(scenario)) {
    backends.push_back(backendJson(backend, choice.leaving.count(backend.name) != 0));
  }
  json works = json::array({workJson(scenario, false)});
  if (scenario.applicationsPerZone > 0) {
    works.push_back(workJson(scenario, true));
  }
  return {{"format", 1},
          {"site", kSiteName},
          {"version", choice.version.value()},
          {"base", choice.version.value() - 1},
          {"latency_weight", choice.latencyWeight},
          {"signatures_needed", 1},
          {"operators",
           json::array({{{"name", kOperatorName}, {"public_key", labOperatorKey().publicKey}}})},
          {"models", json::array({{{"name", "model-a"}, {"context_tokens", 131072}}})},
          {"adapters", json::array()},
          {"priorities",
           json::array({{{"name", "batch"}}, {{"name", "interactive"}, {"above", "batch"}}})},
          {"back_ends", backends},
          {"works", works},
          {"tenants", json::array({tenantJson(scenario, choice)})}};
}

}  // namespace

std::string engineName(const std::string& zone, std::uint32_t number) {
  return "engine-" + zone + "-" + std::to_string(number);
}

std::string applicationName(const std::string& zone, std::uint32_t number) {
  return "application-" + zone + "-" + std::to_string(number);
}

std::vector<BackendName> backendsOf(const Scenario& scenario) {
  std::vector<BackendName> backends;
  std::uint32_t port = 20000;
  for (const ZoneSpec& zone : scenario.zones) {
    for (std::uint32_t number = 1; number <= scenario.enginesPerZone; ++number) {
      backends.push_back(
          {engineName(zone.name, number), zone.name, "127.0.0.1:" + std::to_string(port++), false});
    }
    for (std::uint32_t number = 1; number <= scenario.applicationsPerZone; ++number) {
      backends.push_back({applicationName(zone.name, number), zone.name,
                          "127.0.0.1:" + std::to_string(port++), true});
    }
  }
  return backends;
}

std::string callerAddressOf(NodeId node) {
  return kAddressPrefix + std::to_string(node.value()) + ":80";
}

std::optional<NodeId> nodeAtCallerAddress(const std::string& location) {
  const std::size_t place = location.find(kAddressPrefix);
  if (place == std::string::npos) {
    return std::nullopt;
  }
  const char* begin = location.data() + place + std::string_view(kAddressPrefix).size();
  std::uint32_t number = 0;
  const auto parsed = std::from_chars(begin, location.data() + location.size(), number);
  return parsed.ec == std::errc{} ? std::optional<NodeId>(NodeId(number)) : std::nullopt;
}

std::vector<membership::Member> membersOf(const Scenario& scenario) {
  std::vector<membership::Member> members;
  std::uint32_t number = 1;
  for (const ZoneSpec& zone : scenario.zones) {
    for (std::uint32_t place = 0; place < zone.nodes; ++place, ++number) {
      const NodeId node(number);
      members.push_back(
          {node, zone.name, "peer-" + std::to_string(number) + ":80", callerAddressOf(node)});
    }
  }
  return members;
}

const OperatorKey& labOperatorKey() {
  static const OperatorKey key = [] {
    OperatorKey made;
    made.privateKeyPem = makePrivateKeyPem();
    const Result<std::string> publicKey = bundle::publicKeyOf(made.privateKeyPem);
    made.publicKey = valueOf(publicKey);
    return made;
  }();
  return key;
}

std::vector<bundle::Operator> trustAnchors() {
  return {bundle::Operator{kOperatorName, labOperatorKey().publicKey}};
}

std::string makeEnvelope(const Scenario& scenario, const BundleChoice& choice) {
  const std::string text = bundleJson(scenario, choice).dump();
  const Result<std::string> signature = bundle::signBytes(labOperatorKey().privateKeyPem, text);
  return bundle::encodeEnvelope({text, {{kOperatorName, valueOf(signature)}}});
}

}  // namespace gorsetrail::sim
