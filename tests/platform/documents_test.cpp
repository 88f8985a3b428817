// Configurations and registrations in the platform's JSON.
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
  "engine":{"slots":12,"streamStride":9}},{"name":"n","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304},"unknown":[1]})";

}  // namespace

TEST_GROUP(Documents) { JsonDocumentAdapter adapter; };

TEST(Documents, readsAConfiguration) {
  const auto read = adapter.readConfiguration(kConfiguration);
  const routing::Configuration& configuration = valueOf(read);
  LONGS_EQUAL(7, configuration.version.value());
  const routing::Route& turns = configuration.routes[0];
  CHECK(turns.kind == routing::RouteKind::Streaming);
  CHECK_TRUE(turns.persisted && turns.resumable && turns.isIdempotent());
  LONGS_EQUAL(0, turns.priority);
  const routing::Route& split = configuration.routes[1];
  LONGS_EQUAL(2, split.services.size());
  DOUBLES_EQUAL(90, split.services[0].weight, 1e-9);
  LONGS_EQUAL(2, split.maximumAttempts);
  CHECK(split.timeout == microseconds(1200500));
  LONGS_EQUAL(9, configuration.services.at("m").engine->tokensPerEvent);
  CHECK_FALSE(configuration.services.at("n").engine.has_value());
}

TEST(Documents, refusesWhatIsNoConfiguration) {
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
