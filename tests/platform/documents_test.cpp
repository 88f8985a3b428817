// Guards the decoding of valid configurations and replica registrations.
#include "platform/documents.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::platform;

namespace {

const char* const kConfiguration = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","pathPrefix":"/x/","routeType":"streaming","timeoutMs":4000,
  "targetLatencyMs":200,"priority":0,"service":"m","maxAttempts":1,"persisted":true,
  "retentionS":60.0,"resumable":true},
 {"name":"r2","host":"a.example","pathPrefix":"/y/","routeType":"safe","timeoutMs":1200.5,
  "weightedServices":[{"service":"m","weight":90},{"service":"n","weight":10}],"maxAttempts":2}],
 "services":[{"name":"m","healthPath":"/healthz","maxConnections":160,
  "engine":{"slots":12,"kvCapacity":61000,"streamStride":9}},{"name":"n","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304},"unknown":[1]})";

}  // namespace

TEST_GROUP(Documents) {
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{5}};
  JsonDocumentAdapter adapter{hasher};
};

TEST(Documents, readsAConfiguration) {
  const auto read = adapter.readConfiguration(kConfiguration);
  const routing::Configuration& configuration = valueOf(read);
  LONGS_EQUAL(7, configuration.version.value());
  const routing::Route& streaming = configuration.routes[0];
  CHECK(streaming.kind == routing::RouteKind::Streaming);
  CHECK_TRUE(streaming.persisted && streaming.resumable && streaming.isIdempotent());
  LONGS_EQUAL(0, streaming.priority);
  const routing::Route& split = configuration.routes[1];
  LONGS_EQUAL(2, split.services.size());
  DOUBLES_EQUAL(90, split.services[0].weight, 1e-9);
  LONGS_EQUAL(2, split.maximumAttempts);
  CHECK(split.timeout == microseconds(1200500));
  LONGS_EQUAL(9, configuration.services.at("m").engine->tokensPerEvent);
  LONGS_EQUAL(61000, configuration.services.at("m").engine->memoryTokens);
  CHECK_FALSE(configuration.services.at("n").engine.has_value());
}

TEST(Documents, readsTheOptionalStartTimeOfAReplica) {
  const auto started = adapter.readReplicaEntry(
      "i-1",
      R"({"service":"m","address":"10.0.0.1:80","zone":"z","state":"ready","born":1767225600123})");
  LONGS_EQUAL(1767225600123, valueOf(started).startedAt->value());
  const auto withoutStart = adapter.readReplicaEntry(
      "i-1", R"({"service":"m","address":"10.0.0.1:80","zone":"z","state":"ready"})");
  CHECK_FALSE(valueOf(withoutStart).startedAt.has_value());
}

TEST(Documents, readsAllowedRegionsAndColdReplicaLimits) {
  const auto read = adapter.readConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"a","pathPrefix":"/x/","service":"m",
       "allowedRegions":["west","east"]}],
       "services":[{"name":"m","coldStartS":3.5,"coldPerS":25.0},{"name":"n"}],
       "tenants":[{"name":"t","allowedRegions":["west"]}]})");
  const routing::Configuration& configuration = valueOf(read);
  LONGS_EQUAL(2, configuration.routes[0].allowedRegions.size());
  CHECK(configuration.services.at("m").coldTime == milliseconds(3500));
  DOUBLES_EQUAL(25, configuration.services.at("m").coldRequestsPerSecond, 1e-9);
  DOUBLES_EQUAL(0, configuration.services.at("n").coldRequestsPerSecond, 1e-9);
  const tenant::Tenant* const named = configuration.tenants->find("t");
  CHECK_TRUE(named->allowedRegions.contains("west"));
}

TEST(Documents, readsTheZoneOfAnEvacuationKey) {
  STRCMP_EQUAL("hall-a", adapter.evacuatedZoneOf("evacuate/hall-a").value().c_str());
  CHECK_FALSE(adapter.evacuatedZoneOf("evacuate/").has_value());
  CHECK_FALSE(adapter.evacuatedZoneOf("config").has_value());
}

TEST(Documents, readsTheRemainingWarmUpTime) {
  const auto cold = adapter.readReplicaEntry(
      "i-1",
      R"({"service":"m","address":"10.0.0.9:8080","zone":"z","state":"ready","coldRemainingMs":2500})");
  CHECK(valueOf(cold).coldFor == milliseconds(2500));
  const auto warm = adapter.readReplicaEntry(
      "i-1", R"({"service":"m","address":"10.0.0.9:8080","zone":"z","state":"ready"})");
  CHECK_FALSE(valueOf(warm).coldFor.has_value());
  const auto zero = adapter.readReplicaEntry(
      "i-1",
      R"({"service":"m","address":"10.0.0.9:8080","zone":"z","state":"ready","coldRemainingMs":0})");
  CHECK(valueOf(zero).coldFor == Duration::zero());
}

TEST(Documents, rejectsInvalidConfigurations) {
  for (const char* broken : {"", "{", "[]", R"({"version":1})", R"({"version":"x","routes":[]})"}) {
    const auto read = adapter.readConfiguration(broken);
    CHECK_FALSE(succeeded(read));
    CHECK(!errorOf(read).remedy.empty());
  }
}

TEST(Documents, readsARegistration) {
  const auto read = adapter.readReplicaEntry(
      "i-1",
      R"({"service":"m","address":"10.0.0.9:8080","zone":"z","slots":12,"state":"draining"})");
  CHECK_TRUE(valueOf(read).draining);
  STRCMP_EQUAL("10.0.0.9:8080", valueOf(read).address.c_str());
  CHECK_FALSE(succeeded(adapter.readReplicaEntry("i-1", "{}")));
}

TEST(Documents, readsTheSoftwareVersionOfAReplica) {
  const std::string entry =
      R"({"service":"m","address":"10.0.0.9:8080","zone":"z","state":"ready","version":)";
  const auto read = adapter.readReplicaEntry("i-1", entry + R"("v1.2"})");
  STRCMP_EQUAL("v1.2", valueOf(read).softwareVersion.c_str());
  const auto unprintable = adapter.readReplicaEntry("i-1", entry + R"("v\n"})");
  CHECK_FALSE(succeeded(unprintable));
}

TEST(Documents, keepsOnlyDigestsOfApiKeys) {
  const auto read = adapter.readConfiguration(
      R"({"version":7,"routes":[],"services":[],"tenants":[
          {"name":"hule930","apiKeys":["first","second"],"priority":1,"ratePerS":381,"burst":40},
          {"name":"open","apiKeys":["third"]}]})");
  const auto& tenants = valueOf(read).tenants;
  const tenant::Tenant* const found = tenants->holderOf(hasher.digestOf("second"));
  STRCMP_EQUAL("hule930", found->name.c_str());
  LONGS_EQUAL(1, *found->priority);
  DOUBLES_EQUAL(381, found->quota.requestsPerSecond, 0.001);
  DOUBLES_EQUAL(40, found->quota.burst, 0.001);
  const tenant::Tenant* const open = tenants->holderOf(hasher.digestOf("third"));
  CHECK_FALSE(open->quota.isLimited());
  CHECK_FALSE(open->priority.has_value());
}

TEST(Documents, distinguishesAnAbsentTenantListFromAnEmptyOne) {
  const auto without = adapter.readConfiguration(R"({"version":1,"routes":[],"services":[]})");
  CHECK(valueOf(without).tenants == nullptr);
  const auto empty =
      adapter.readConfiguration(R"({"version":1,"routes":[],"services":[],"tenants":[]})");
  CHECK(valueOf(empty).tenants != nullptr);
}

TEST(Documents, rejectsAConfigurationWithAnApiKeyOfTwoTenants) {
  const auto read = adapter.readConfiguration(
      R"({"version":7,"routes":[],"services":[],"tenants":[
          {"name":"a","apiKeys":["shared-key"]},{"name":"b","apiKeys":["shared-key"]}]})");
  CHECK_FALSE(succeeded(read));
  CHECK(errorOf(read).toText().find("shared-key") == std::string::npos);
}
