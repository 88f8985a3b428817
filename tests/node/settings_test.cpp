#include "node/settings/settings.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "node/settings/settings_schema.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;
using Json = nlohmann::json;

namespace {

Json soundSettings() {
  return Json::parse(R"({
    "node": 1, "site": "paino-lumo", "zone": "a", "incarnation": 5,
    "listen": {"callers": "127.0.0.1:18101", "peers": "127.0.0.1:18201"},
    "members": [
      {"node": 1, "zone": "a", "peers": "127.0.0.1:18201", "callers": "127.0.0.1:18101"},
      {"node": 2, "zone": "b", "peers": "127.0.0.1:18202", "callers": "127.0.0.1:18102"}],
    "platform": {"log": "127.0.0.1:18001", "machines": "127.0.0.1:18002"},
    "trust": [{"name": "operator-a", "public_key": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}]
  })");
}

using Parsed = std::variant<Settings, std::vector<Error>>;

Parsed parse(const Json& document, const SettingsOverrides& overrides = {}) {
  return parseSettings(document.dump(), "node.json", overrides, 99);
}

/// Expects exactly one error, at that key, and returns it.
Error onlyError(const Parsed& parsed, const std::string& key) {
  CHECK_TRUE(std::holds_alternative<std::vector<Error>>(parsed));
  const auto& errors = std::get<std::vector<Error>>(parsed);
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL(("node.json: " + key).c_str(), errors[0].field.c_str());
  CHECK_TRUE(errors[0].kind == ErrorKind::InvalidSettings);
  CHECK_FALSE(errors[0].reason.empty());
  CHECK_FALSE(errors[0].remedy.empty());
  return errors[0];
}

bool mentions(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, EmbeddedSchemaIsThePublishedOne) {
  std::ifstream file("docs/settings.schema.json", std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  CHECK_TRUE(text == settingsSchemaText());
}

TEST(Settings, ReadsASoundFile) {
  const Parsed parsed = parse(soundSettings());
  CHECK_TRUE(std::holds_alternative<Settings>(parsed));
  const Settings& settings = std::get<Settings>(parsed);
  LONGS_EQUAL(1, settings.self.value());
  LONGS_EQUAL(5, settings.incarnation.value());
  LONGS_EQUAL(2, settings.members.size());
  STRCMP_EQUAL("127.0.0.1:18001", settings.platformLog.c_str());
  STRCMP_EQUAL("prefix-affinity", settings.policy.c_str());
}

TEST(Settings, WithoutIncarnationTheStartTimeIsTaken) {
  Json document = soundSettings();
  document.erase("incarnation");
  LONGS_EQUAL(99, std::get<Settings>(parse(document)).incarnation.value());
}

TEST(Settings, FlagsOverrideTheFile) {
  SettingsOverrides overrides;
  overrides.node = 2;
  overrides.zone = "b";
  overrides.listenCallers = "127.0.0.1:1";
  overrides.listenPeers = "127.0.0.1:2";
  overrides.incarnation = 77;
  overrides.logLevel = "debug";
  const Parsed parsed = parse(soundSettings(), overrides);
  const Settings& settings = std::get<Settings>(parsed);
  LONGS_EQUAL(2, settings.self.value());
  STRCMP_EQUAL("b", settings.zone.c_str());
  STRCMP_EQUAL("127.0.0.1:1", settings.listenCallers.c_str());
  STRCMP_EQUAL("127.0.0.1:2", settings.listenPeers.c_str());
  LONGS_EQUAL(77, settings.incarnation.value());
  CHECK_TRUE(settings.logLevel == LogLevel::Debug);
}

TEST(Settings, AFlagIsCheckedAsTheFileIs) {
  SettingsOverrides overrides;
  overrides.listenPeers = "nowhere";
  onlyError(parse(soundSettings(), overrides), "/listen/peers");
  overrides = {};
  overrides.logLevel = "loud";
  onlyError(parse(soundSettings(), overrides), "/log_level");
}

TEST(Settings, UnknownKey) {
  Json document = soundSettings();
  document["nodes"] = 3;
  const Error error = onlyError(parse(document), "/nodes");
  CHECK_TRUE(mentions(error.remedy, "node"));
}

TEST(Settings, UnknownKeyOfAMember) {
  Json document = soundSettings();
  document["members"][1]["peer"] = "127.0.0.1:1";
  onlyError(parse(document), "/members/1/peer");
}

TEST(Settings, WrongType) {
  Json document = soundSettings();
  document["node"] = "1";
  const Error error = onlyError(parse(document), "/node");
  CHECK_TRUE(mentions(error.remedy, "integer"));
}

TEST(Settings, WrongTypeInside) {
  Json document = soundSettings();
  document["listen"]["callers"] = 18101;
  onlyError(parse(document), "/listen/callers");
}

TEST(Settings, EachMissingKey) {
  for (const char* key : {"node", "site", "zone", "listen", "members", "platform", "trust"}) {
    Json document = soundSettings();
    document.erase(key);
    const Error error = onlyError(parse(document), std::string("/") + key);
    CHECK_TRUE(mentions(error.remedy, key));
  }
}

TEST(Settings, MissingKeyOfAMember) {
  Json document = soundSettings();
  document["members"][0].erase("zone");
  onlyError(parse(document), "/members/0/zone");
}

TEST(Settings, EachUnusableAddress) {
  const std::vector<std::string> pointers = {"/listen/callers",  "/listen/peers",
                                             "/platform/log",    "/platform/machines",
                                             "/members/1/peers", "/members/1/callers"};
  for (const std::string& pointer : pointers) {
    for (const char* address : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000",
                                "127.0.0.1:80x", "::1:80", "[127.0.0.1]:80"}) {
      Json document = soundSettings();
      document[Json::json_pointer(pointer)] = address;
      const Error error = onlyError(parse(document), pointer);
      CHECK_TRUE(mentions(error.reason, address));
    }
  }
}

TEST(Settings, Ipv6AddressIsUsable) {
  Json document = soundSettings();
  document["listen"]["peers"] = "[::1]:18201";
  CHECK_TRUE(std::holds_alternative<Settings>(parse(document)));
}

TEST(Settings, UnknownOwnNode) {
  Json document = soundSettings();
  document["node"] = 3;
  onlyError(parse(document), "/node");
}

TEST(Settings, ZoneMismatch) {
  Json document = soundSettings();
  document["zone"] = "b";
  const Error error = onlyError(parse(document), "/zone");
  CHECK_TRUE(mentions(error.reason, "'a'"));
}

TEST(Settings, DuplicateNodeIds) {
  Json document = soundSettings();
  document["members"][1]["node"] = 1;
  onlyError(parse(document), "/members/1/node");
}

TEST(Settings, DuplicatePeerAddresses) {
  Json document = soundSettings();
  document["members"][1]["peers"] = "127.0.0.1:18201";
  onlyError(parse(document), "/members/1/peers");
}

TEST(Settings, BadAndDuplicateTrust) {
  Json document = soundSettings();
  document["trust"][0]["public_key"] = "short";
  onlyError(parse(document), "/trust/0/public_key");
  document = soundSettings();
  document["trust"].push_back(document["trust"][0]);
  onlyError(parse(document), "/trust/1/name");
}

TEST(Settings, UnknownPolicy) {
  Json document = soundSettings();
  document["policy"] = "guess";
  const Error error = onlyError(parse(document), "/policy");
  CHECK_TRUE(mentions(error.remedy, "prefix-affinity"));
}

TEST(Settings, OutOfRange) {
  Json document = soundSettings();
  document["default_timeout_ms"] = 0;
  onlyError(parse(document), "/default_timeout_ms");
}

TEST(Settings, AllErrorsAreToldAtOnce) {
  Json document = soundSettings();
  document["nodes"] = 3;
  document["zone"] = 4;
  document.erase("site");
  const Parsed parsed = parse(document);
  LONGS_EQUAL(3, std::get<std::vector<Error>>(parsed).size());
}

TEST(Settings, WhatIsNotAJsonObject) {
  for (const char* text : {"", "{", "[]", "{\"node\": 1,}", "null"}) {
    onlyError(parseSettings(text, "node.json", {}, 1), "/");
  }
  onlyError(parseSettings(std::string(100000, '['), "node.json", {}, 1), "/");
}

TEST(Settings, AFileThatIsNotThere) {
  const Parsed parsed = loadSettings("no/such/file.json", {}, 1);
  STRCMP_EQUAL("no/such/file.json: /", std::get<std::vector<Error>>(parsed)[0].field.c_str());
}
