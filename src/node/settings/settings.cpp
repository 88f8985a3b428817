#include "node/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/base64.h"
#include "base/log.h"
#include "http/address.h"
#include "node/front/json_text.h"
#include "node/settings/settings_check.h"

namespace gorsetrail::node {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumSettingsDepth = 16;
constexpr std::size_t kPublicKeyBytes = 32;
constexpr const char* kAddressRemedy =
    "give `ipv4:port` or `[ipv6]:port` with a port from 1 to 65535";

/// Flags become part of the document, so that one set of checks holds for both.
void applyOverrides(const SettingsOverrides& overrides, Json& document) {
  if (overrides.node) {
    document["node"] = *overrides.node;
  }
  if (overrides.zone) {
    document["zone"] = *overrides.zone;
  }
  if (overrides.incarnation) {
    document["incarnation"] = *overrides.incarnation;
  }
  if (overrides.logLevel) {
    document["log_level"] = *overrides.logLevel;
  }
  const bool listens = document.contains("listen") && document["listen"].is_object();
  if (overrides.listenCallers && (listens || !document.contains("listen"))) {
    document["listen"]["callers"] = *overrides.listenCallers;
  }
  if (overrides.listenPeers && (listens || !document.contains("listen"))) {
    document["listen"]["peers"] = *overrides.listenPeers;
  }
}

/// Reads a document that the schema found sound.
Settings readSettings(const Json& document, std::uint64_t startMicroseconds) {
  Settings settings;
  settings.self = NodeId(document.at("node").get<std::uint32_t>());
  settings.site = document.at("site");
  settings.zone = document.at("zone");
  settings.incarnation = Incarnation(document.value("incarnation", startMicroseconds));
  settings.listenCallers = document.at("listen").at("callers");
  settings.listenPeers = document.at("listen").at("peers");
  for (const Json& member : document.at("members")) {
    settings.members.push_back({NodeId(member.at("node").get<std::uint32_t>()), member.at("zone"),
                                member.at("peers"), member.at("callers")});
  }
  settings.platformLog = document.at("platform").at("log");
  settings.platformMachines = document.at("platform").at("machines");
  for (const Json& anchor : document.at("trust")) {
    settings.trust.push_back({anchor.at("name"), anchor.at("public_key")});
  }
  settings.policy = document.value("policy", settings.policy);
  settings.maximumBodyBytes = document.value("maximum_body_bytes", settings.maximumBodyBytes);
  settings.maximumStreamBufferBytes =
      document.value("maximum_stream_buffer_bytes", settings.maximumStreamBufferBytes);
  settings.maximumConnections = document.value("maximum_connections", settings.maximumConnections);
  settings.seed = document.value("seed", settings.seed);
  settings.logLevel = logLevelNamed(document.value("log_level", std::string("info")));
  if (document.contains("default_timeout_ms")) {
    settings.defaultTimeLimit = milliseconds(document.at("default_timeout_ms").get<std::int64_t>());
  }
  if (document.contains("stop_limit_ms")) {
    settings.stopLimit = milliseconds(document.at("stop_limit_ms").get<std::int64_t>());
  }
  return settings;
}

/// Checks that no schema can state.
class CrossChecks {
 public:
  CrossChecks(const Settings& settings, const std::string& fileName)
      : settings_(settings), fileName_(fileName) {}

  std::vector<Error> run() {
    checkAddress("/listen/callers", settings_.listenCallers);
    checkAddress("/listen/peers", settings_.listenPeers);
    checkAddress("/platform/log", settings_.platformLog);
    checkAddress("/platform/machines", settings_.platformMachines);
    checkMembers();
    checkSelf();
    checkTrust();
    return std::move(errors_);
  }

 private:
  void add(const std::string& path, std::string reason, std::string remedy) {
    errors_.push_back(settingsError(fileName_, path, std::move(reason), std::move(remedy)));
  }

  void checkAddress(const std::string& path, const std::string& address) {
    if (!http::isUsableAddress(address)) {
      add(path, "'" + address + "' is not a usable address", kAddressRemedy);
    }
  }

  void checkMembers() {
    std::set<NodeId> nodes;
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < settings_.members.size(); ++index) {
      const membership::Member& member = settings_.members[index];
      const std::string path = "/members/" + std::to_string(index);
      checkAddress(path + "/peers", member.peerAddress);
      checkAddress(path + "/callers", member.callerAddress);
      if (!nodes.insert(member.node).second) {
        add(path + "/node", "node " + std::to_string(member.node.value()) + " is listed before",
            "give every node its own number");
      }
      if (!addresses.insert(member.peerAddress).second) {
        add(path + "/peers", "another member has the address " + member.peerAddress,
            "give every node its own peer address");
      }
    }
  }

  void checkSelf() {
    const auto own = std::find_if(
        settings_.members.begin(), settings_.members.end(),
        [this](const membership::Member& member) { return member.node == settings_.self; });
    if (own == settings_.members.end()) {
      add("/node", "node " + std::to_string(settings_.self.value()) + " is not among the members",
          "add it to members, or correct node (or --node)");
    } else if (own->zone != settings_.zone) {
      add("/zone",
          "the zone is '" + settings_.zone + "', but members lists this node in '" + own->zone +
              "'",
          "make zone (or --zone) and the member's zone equal");
    }
  }

  void checkTrust() {
    std::set<std::string> names;
    for (std::size_t index = 0; index < settings_.trust.size(); ++index) {
      const bundle::Operator& anchor = settings_.trust[index];
      const std::string path = "/trust/" + std::to_string(index);
      const auto key = decodeBase64(anchor.publicKey);
      if (!key || key->size() != kPublicKeyBytes) {
        add(path + "/public_key", "it is not 32 bytes in base64",
            "copy the operator's Ed25519 public key");
      }
      if (!names.insert(anchor.name).second) {
        add(path + "/name", "operator '" + anchor.name + "' is listed before",
            "list every operator once");
      }
    }
  }

  const Settings& settings_;
  const std::string& fileName_;
  std::vector<Error> errors_;
};

std::variant<Json, Error> parseDocument(std::string_view json, const std::string& fileName) {
  if (nestsDeeperThan(json, kMaximumSettingsDepth)) {
    return settingsError(fileName, "", "the JSON nests too deeply",
                         "see docs/operators/settings.md");
  }
  try {
    Json document = Json::parse(json);
    if (document.is_object()) {
      return document;
    }
  } catch (const Json::parse_error& error) {
    return settingsError(fileName, "",
                         "the file is not JSON (at byte " + std::to_string(error.byte) + ")",
                         "correct the JSON");
  }
  return settingsError(fileName, "", "the file is not a JSON object",
                       "write one object; see docs/operators/settings.md");
}

}  // namespace

std::variant<Settings, std::vector<Error>> parseSettings(std::string_view json,
                                                         const std::string& fileName,
                                                         const SettingsOverrides& overrides,
                                                         std::uint64_t startMicroseconds) {
  auto parsed = parseDocument(json, fileName);
  if (auto* const error = std::get_if<Error>(&parsed)) {
    return std::vector{std::move(*error)};
  }
  Json& document = std::get<Json>(parsed);
  applyOverrides(overrides, document);
  std::vector<Error> errors = checkAgainstSchema(document, fileName);
  if (!errors.empty()) {
    return errors;
  }
  Settings settings = readSettings(document, startMicroseconds);
  errors = CrossChecks(settings, fileName).run();
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

std::variant<Settings, std::vector<Error>> loadSettings(const std::string& fileName,
                                                        const SettingsOverrides& overrides,
                                                        std::uint64_t startMicroseconds) {
  std::ifstream file(fileName, std::ios::binary);
  if (!file) {
    return std::vector{settingsError(fileName, "", "the file cannot be opened",
                                     "name a readable file with --settings")};
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return parseSettings(text, fileName, overrides, startMicroseconds);
}

}  // namespace gorsetrail::node
