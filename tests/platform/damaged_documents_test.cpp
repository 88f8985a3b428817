// Guards against accepting a damaged document in part: each table row is one kind of damage, and
// the error must name the field.
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "base/text_check.h"
#include "dispatch/fake_http_client.h"
#include "platform/documents.h"
#include "platform/http_log_store.h"
#include "platform/json_fields.h"
#include "platform/settings_file.h"
#include "valid_documents.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;
using gorsetrail::testing::kConfiguration;
using gorsetrail::testing::kRegistration;
using gorsetrail::testing::kSettings;

namespace {

/// A piece of a valid document, its replacement, and the field that the error must name.
struct Damage {
  const char* piece;
  const char* replacement;
  const char* field;
};

std::string damaged(std::string text, const Damage& damage) {
  const std::size_t at = text.find(damage.piece);
  CHECK_TEXT(at != std::string::npos, damage.piece);
  return text.replace(at, std::string(damage.piece).size(), damage.replacement);
}

const std::vector<Damage> kRegistrationDamages = {
    {R"("service":"m",)", "", ".service"},
    {R"("service":"m")", R"("service":7)", ".service"},
    {R"("service":"m")", R"("service":null)", ".service"},
    {R"("service":"m")", R"("service":"")", ".service"},
    {R"("service":"m")", R"("service":"a\nb")", ".service"},
    {R"("address":"10.0.0.9:8080",)", "", ".address"},
    {R"("10.0.0.9:8080")", "[]", ".address"},
    {R"("10.0.0.9:8080")", R"("10.0.0.9")", ".address"},
    {R"("10.0.0.9:8080")", R"("10.0.0.9:0")", ".address"},
    {R"("10.0.0.9:8080")", R"("10.0.0.9:65536")", ".address"},
    {R"("10.0.0.9:8080")", R"("replica.example:80")", ".address"},
    {R"("zone":"z",)", "", ".zone"},
    {R"("zone":"z")", R"("zone":{})", ".zone"},
    {R"("v1")", "1", ".version"},
    {R"("slots":12)", R"("slots":"12")", ".slots"},
    {R"("slots":12)", R"("slots":12.5)", ".slots"},
    {R"("slots":12)", R"("slots":-1)", ".slots"},
    {R"("slots":12)", R"("slots":4294967297)", ".slots"},
    {R"("slots":12)", R"("slots":true)", ".slots"},
    {R"("slots":12)", R"("slots":null)", ".slots"},
    {R"("state":"ready",)", "", ".state"},
    {R"("ready")", R"("resting")", ".state"},
    {R"("ready")", R"("Ready")", ".state"},
    {R"("ready")", "1", ".state"},
    {R"("coldRemainingMs":250)", R"("coldRemainingMs":"250")", ".coldRemainingMs"},
    {R"("coldRemainingMs":250)", R"("coldRemainingMs":-1)", ".coldRemainingMs"},
    {R"("coldRemainingMs":250)", R"("coldRemainingMs":86400001)", ".coldRemainingMs"},
    {R"("coldRemainingMs":250)", R"("coldRemainingMs":1e300)", ".coldRemainingMs"},
    {R"("callSeq":4)", R"("callSeq":"4")", ".callSeq"},
    {R"("callSeq":4)", R"("callSeq":-4)", ".callSeq"},
    {"1767225600123", "1767225600123.5", ".born"},
    {"1767225600123", "1767225600123.0", ".born"},
    {"1767225600123", R"("1767225600123")", ".born"},
    {"1767225600123", "-1", ".born"},
    {"1767225600123", "18446744073709551616", ".born"},
    {"1767225600123", "null", ".born"},
    {R"("slots":12)", R"("slots":1e999)", "replica i-1"},
    {R"("slots":12)", R"("slots":NaN)", "replica i-1"},
    {R"("state":"ready")", R"("state":"draining","state":"ready")", "replica i-1"},
    {"both", "bo\xffth", "replica i-1"},
    {R"("born":1767225600123})", R"("born":1767225600123)", "replica i-1"},
    {R"({"service")", R"([{"service")", "replica i-1"}};

const std::vector<Damage> kConfigurationDamages = {
    {R"("version":7,)", "", "configuration.version"},
    {R"("version":7)", R"("version":-7)", "configuration.version"},
    {R"("version":7)", R"("version":7.0)", "configuration.version"},
    {R"("routes":[{)", R"("routes":5,"was":[{)", "configuration.routes"},
    {R"({"name":"r",)", "{", "configuration.routes[0].name"},
    {R"("host":"h")", R"("host":[])", "configuration.routes[0].host"},
    {R"("routeType":"safe")", R"("routeType":1)", "configuration.routes[0].routeType"},
    {R"("timeoutMs":1200.5)", R"("timeoutMs":"9")", "configuration.routes[0].timeoutMs"},
    {R"("timeoutMs":1200.5)", R"("timeoutMs":-9)", "configuration.routes[0].timeoutMs"},
    {R"("priority":3)", R"("priority":3.5)", "configuration.routes[0].priority"},
    {R"("weightedServices":[)", R"("weightedServices":7,"was":[)",
     "configuration.routes[0].weightedServices"},
    {R"("weight":10)", R"("weight":-10)", "configuration.routes[0].weightedServices[1].weight"},
    {R"("maxAttempts":2)", R"("maxAttempts":-2)", "configuration.routes[0].maxAttempts"},
    {R"("persisted":false)", R"("persisted":0)", "configuration.routes[0].persisted"},
    {R"(["west"])", R"("west")", "configuration.routes[0].allowedRegions"},
    {R"(["west"])", R"(["west",1])", "configuration.routes[0].allowedRegions[1]"},
    {R"("services":[{"name":"m")", R"("services":[7,{"name":"m")", "configuration.services[0]"},
    {R"("maxConnections":160)", R"("maxConnections":1e3)",
     "configuration.services[0].maxConnections"},
    {R"("coldStartS":3.5)", R"("coldStartS":86401)", "configuration.services[0].coldStartS"},
    {R"("engine":{)", R"("engine":[],"was":{)", "configuration.services[0].engine"},
    {R"("kvCapacity":61000)", R"("kvCapacity":-1)", "configuration.services[0].engine.kvCapacity"},
    {R"("limits":{)", R"("limits":1,"was":{)", "configuration.limits"},
    {R"("maxBodyBytes":4194304)", R"("maxBodyBytes":true)", "configuration.limits.maxBodyBytes"},
    {R"("maxBodyBytes":4194304)", R"("headerTimeoutMs":0)", "configuration.limits.headerTimeoutMs"},
    {R"("maxBodyBytes":4194304)", R"("idleTimeoutMs":-1)", "configuration.limits.idleTimeoutMs"},
    {R"("tenants":[{)", R"("tenants":{},"was":[{)", "configuration.tenants"},
    {R"(["secret-key"])", R"("secret-key")", "configuration.tenants[0].apiKeys"},
    {R"(["secret-key"])", R"(["secret-key",3])", "configuration.tenants[0].apiKeys[1]"},
    {R"("priority":1)", R"("priority":"1")", "configuration.tenants[0].priority"},
    {R"("ratePerS":381)", R"("ratePerS":"381")", "configuration.tenants[0].ratePerS"},
    {R"("burst":40)", R"("burst":-1)", "configuration.tenants[0].burst"},
    {R"("version":7)", R"("version":7,"version":8)", "configuration"}};

const std::vector<Damage> kSettingsDamages = {
    {R"(nodeName = "edge-1")", "nodeName = 7", "f: nodeName"},
    {R"(nodeName = "edge-1")", R"(nodeName = "a\nb")", "f: nodeName"},
    {R"(region = "fi")", "region = 7", "f: region"},
    {"[7380,7395]", "[70000,7395]", "f: internalPorts[0]"},
    {"[7380,7395]", "[7380,7395.5]", "f: internalPorts[1]"},
    {"[7380,7395]", R"(["7380",7395])", "f: internalPorts[0]"},
    {R"(["10.1.0.38:8144"])", R"("10.1.0.38:8144")", "f: seeds"},
    {R"(["10.1.0.38:8144"])", "[1]", "f: seeds"},
    {R"(hall-a = "fi")", "hall-a = 1", "f: zones.hall-a"},
    {"memoryMb = 230", "memoryMb = true", "f: limits.memoryMb"},
    {"memoryMb = 230", "memoryMb = inf", "f: limits.memoryMb"},
    {"maxFds = 8200", "maxFds = 5000000000", "f: limits.maxFds"},
    {"graceS = 8", "graceS = nan", "f: bounds.graceS"},
    {"graceS = 8", "graceS = -1", "f: bounds.graceS"},
    {"parts = 8", "parts = 8.5", "f: platform.parts"},
    {"record_bytes = 262144", "record_bytes = 1e300", "f: platform.record_bytes"}};

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

}  // namespace

TEST_GROUP(DamagedDocuments) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  JsonDocumentAdapter adapter{hasher};
  node::testing::FakeHttpClient client;
  HttpLogStore store{client, "10.200.1.7:8142"};

  void checkRegistrationRejected(const std::string& document, const char* field) {
    const auto read = adapter.readReplicaEntry("i-1", document);
    CHECK_FALSE_TEXT(succeeded(read), document.substr(0, 300).c_str());
    STRCMP_CONTAINS(field, errorOf(read).field.c_str());
    CHECK_FALSE(errorOf(read).reason.empty());
    CHECK_FALSE(errorOf(read).remedy.empty());
  }
  logstore::StoreResult<logstore::NewestReply> decodeListing(const std::string& body) {
    logstore::StoreResult<logstore::NewestReply> got = logstore::NewestReply{};
    store.listLatest(
        {{"keyed.op", 0}, "", seconds(1)},
        [&got](logstore::StoreResult<logstore::NewestReply> result) { got = std::move(result); });
    client.last().handler.onDone({200, {}, body});
    return got;
  }
  logstore::StoreResult<logstore::AppendReply> decodeAppend(const std::string& body) {
    logstore::StoreResult<logstore::AppendReply> got = logstore::AppendReply{};
    store.append(
        {{"work", 3}, {"ab"}, seconds(1)},
        [&got](logstore::StoreResult<logstore::AppendReply> result) { got = std::move(result); });
    client.last().handler.onDone({200, {}, body});
    return got;
  }
};

TEST(DamagedDocuments, readsAValidRegistrationAndIgnoresUnknownFields) {
  const auto read = adapter.readReplicaEntry("i-1", kRegistration);
  const routing::ReplicaEntry& entry = valueOf(read);
  LONGS_EQUAL(12, entry.slots);
  CHECK(*entry.coldFor == milliseconds(250));
  LONGS_EQUAL(1767225600123, entry.startedAt->value());
  CHECK_FALSE(entry.draining);
  const auto more = adapter.readReplicaEntry(
      "i-1", damaged(kRegistration, {"\"stage\"", R"("added":{"a":[1,null]},"stage")", ""}));
  CHECK_TRUE(succeeded(more));
}

TEST(DamagedDocuments, aDurationMayHaveAFraction) {
  const auto read =
      adapter.readReplicaEntry("i-1", damaged(kRegistration, {":250,", ":250.5,", ""}));
  CHECK(*valueOf(read).coldFor == microseconds(250500));
}

TEST(DamagedDocuments, rejectsADamagedRegistrationAndNamesTheField) {
  for (const Damage& damage : kRegistrationDamages) {
    checkRegistrationRejected(damaged(kRegistration, damage), damage.field);
  }
  for (const char* document : {"", "7", "null", "[]", R"("text")", "\x00\x01\xfe"}) {
    checkRegistrationRejected(document, "replica i-1");
  }
}

TEST(DamagedDocuments, rejectsDeepAndHugeRegistrations) {
  const Damage deep{R"("both")", nullptr, nullptr};
  for (const std::size_t depth : {std::size_t{32}, std::size_t{1000}, std::size_t{30000}}) {
    const std::string list = nested(depth);
    checkRegistrationRejected(damaged(kRegistration, {deep.piece, list.c_str(), ""}),
                              "replica i-1");
  }
  const std::string openOnly(60000, '[');
  checkRegistrationRejected(openOnly, "replica i-1");
  const std::string huge(std::size_t{1024} * 1024, 'x');
  checkRegistrationRejected(damaged(kRegistration, {"both", huge.c_str(), ""}), "replica i-1");
  const std::string allowed = nested(31);
  CHECK_TRUE(succeeded(
      adapter.readReplicaEntry("i-1", damaged(kRegistration, {deep.piece, allowed.c_str(), ""}))));
}

TEST(DamagedDocuments, rejectsAnInvalidReplicaId) {
  for (const std::string& id : {std::string(), std::string("a\r\nb"), std::string("a\0b", 3),
                                std::string("\xff"), std::string(256, 'a')}) {
    CHECK_FALSE(succeeded(adapter.readReplicaEntry(id, kRegistration)));
  }
}

TEST(DamagedDocuments, onlyTheHeartbeatCounterMayDifferInTheSameRegistration) {
  const std::string next = damaged(kRegistration, {"\"callSeq\":4", "\"callSeq\":5", ""});
  CHECK_TRUE(adapter.sameRegistration(kRegistration, next));
  const std::string invalid = damaged(kRegistration, {"\"callSeq\":4", "\"callSeq\":\"5\"", ""});
  CHECK_FALSE(adapter.sameRegistration(kRegistration, invalid));
  const std::string fraction = damaged(kRegistration, {"\"slots\":12", "\"slots\":12.0", ""});
  CHECK_FALSE(adapter.sameRegistration(kRegistration, fraction));
  CHECK_FALSE(adapter.sameRegistration(kRegistration, "{"));
  CHECK_TRUE(adapter.sameRegistration("{", "{"));
  const std::string deep = nested(60000);
  CHECK_FALSE(adapter.sameRegistration(deep, deep + " "));
}

TEST(DamagedDocuments, rejectsAWholeConfigurationForOneInvalidField) {
  CHECK_TRUE(succeeded(adapter.readConfiguration(kConfiguration)));
  for (const Damage& damage : kConfigurationDamages) {
    const std::string document = damaged(kConfiguration, damage);
    const auto read = adapter.readConfiguration(document);
    CHECK_FALSE_TEXT(succeeded(read), document.c_str());
    STRCMP_EQUAL(damage.field, errorOf(read).field.c_str());
    CHECK_FALSE(errorOf(read).remedy.empty());
    CHECK(errorOf(read).toText().find("secret-key") == std::string::npos);
  }
  const std::string deep = nested(400000);
  CHECK_FALSE(succeeded(adapter.readConfiguration(deep)));
}

TEST(DamagedDocuments, anOptionalConfigurationFieldMayBeNull) {
  const auto read = adapter.readConfiguration(
      damaged(kConfiguration, {"\"priority\":3", "\"priority\":null", ""}));
  LONGS_EQUAL(5, valueOf(read).routes[0].priority);
}

TEST(DamagedDocuments, anUnknownRouteKindIsUnsafe) {
  const auto read =
      adapter.readConfiguration(damaged(kConfiguration, {"\"safe\"", "\"rinsed\"", ""}));
  CHECK(valueOf(read).routes[0].kind == routing::RouteKind::Unsafe);
}

TEST(DamagedDocuments, ignoresEvacuationKeysWithInvalidZones) {
  for (const std::string& zone :
       {std::string("a\nb"), std::string("\xfe"), std::string("a\0", 2), std::string(256, 'z')}) {
    CHECK_FALSE(adapter.evacuatedZoneOf("evacuate/" + zone).has_value());
  }
  STRCMP_EQUAL("a b/c=\"d", adapter.evacuatedZoneOf("evacuate/a b/c=\"d")->c_str());
}

TEST(DamagedDocuments, rejectsDamagedSettingsAndNamesTheKey) {
  CHECK(std::holds_alternative<edge::EdgeSettings>(parseSettings(kSettings, "f")));
  for (const Damage& damage : kSettingsDamages) {
    const auto read = parseSettings(damaged(kSettings, damage), "f");
    const auto* const errors = std::get_if<std::vector<Error>>(&read);
    CHECK_TEXT(errors != nullptr, damage.replacement);
    LONGS_EQUAL(1, errors->size());
    STRCMP_EQUAL(damage.field, errors->front().field.c_str());
  }
}

TEST(DamagedDocuments, rejectsHugeAndDeepSettings) {
  const std::string list = nested(100000);
  for (const std::string& text : {kSettings + std::string(std::size_t{1024} * 1024, '#'),
                                  "a = " + list, std::string("a = \"\xff\"")}) {
    CHECK(std::holds_alternative<std::vector<Error>>(parseSettings(text, "f")));
  }
}

TEST(DamagedDocuments, treatsADamagedStoreResponseAsNoAnswer) {
  for (const char* body :
       {"", "7", "[]", R"({"items":7})", R"({"items":[7]})", R"({"items":[{"value":"aGk="}]})",
        R"({"items":[{"privateKey":7,"value":"aGk="}]})",
        R"({"items":[{"privateKey":"k","value":7}]})",
        R"({"items":[{"privateKey":"k","value":"aGk=","offset":-1}]})", R"({"items":[],"end":-1})",
        R"({"items":[],"hasMore":1})", R"({"items":[],"end":1,"end":2})"}) {
    const auto got = decodeListing(body);
    const auto* const error = std::get_if<logstore::StoreError>(&got);
    CHECK_TEXT(error != nullptr && error->fault == logstore::StoreFault::NoAnswer, body);
  }
  for (const char* body : {"", "[]", "{}", R"({"offset":"1"})", R"({"offset":-1})",
                           R"({"offset":1.5})", R"({"offset":1,"end":[]})"}) {
    const auto got = decodeAppend(body);
    const auto* const error = std::get_if<logstore::StoreError>(&got);
    CHECK_TEXT(error != nullptr && error->fault == logstore::StoreFault::NoAnswer, body);
  }
}

TEST(DamagedDocuments, keepsTheKeyOfAnItemWithInvalidBase64) {
  const auto got = decodeListing(
      R"({"items":[{"privateKey":"i-1","value":"%%"},{"privateKey":"i-2","value":"aGk="}]})");
  const auto& items = std::get<logstore::NewestReply>(got).items;
  LONGS_EQUAL(2, items.size());
  STRCMP_EQUAL("i-1", items[0].key.c_str());
  CHECK_FALSE(items[0].value.empty());
  STRCMP_EQUAL("hi", items[1].value.c_str());
}

TEST(DamagedDocuments, ignoresAnInvalidOffsetInACompactionResponse) {
  std::optional<logstore::StoreError> error;
  for (const char* body : {R"({"first":"12"})", R"({"first":-1})", R"([1])", "{"}) {
    store.read({{"work", 3}, 0, Duration::zero(), seconds(1)},
               [&error](const logstore::StoreResult<logstore::ReadReply>& result) {
                 error = std::get<logstore::StoreError>(result);
               });
    client.last().handler.onDone({410, {}, body});
    CHECK(error->fault == logstore::StoreFault::Compacted);
    LONGS_EQUAL(0, error->firstKept);
  }
}

TEST(DamagedDocuments, acceptsOnlyUtf8NamesWithoutControlCharacters) {
  for (const std::string& name :
       {std::string("hall-a"), std::string("h\xc3\xa4lle"), std::string("\xe2\x82\xac"),
        std::string("\xf0\x9f\x8c\xb1"), std::string(255, 'a')}) {
    CHECK_TRUE_TEXT(isName(name), name.c_str());
  }
  for (const std::string& text :
       {std::string(), std::string(256, 'a'), std::string("a\x7f"), std::string("\xc3"),
        std::string("\xc0\xaf"), std::string("\xe0\x80\x80"), std::string("\xed\xa0\x80"),
        std::string("\xf4\x90\x80\x80"), std::string("\xf8"), std::string("\xe2\x82"),
        std::string("\x80")}) {
    CHECK_FALSE(isName(text));
  }
}
