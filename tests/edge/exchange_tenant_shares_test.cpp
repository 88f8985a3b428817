// Guards against requests of a tenant above its share that are served like others, against requests
// of others that are limited with it, and against loads that are counted wrongly.
#include <memory>
#include <string>
#include <vector>

#include "edge/exchange_world.h"
#include "routing/tenant_shares.h"
#include "tenant/api_key_hasher.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

// The service has 3 replicas with 4 slots each; `large` has far more than its share of them.
TEST_GROUP(ExchangeTenantShares) {
  ExchangeWorld world;
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{3}};
  routing::TenantShares shares{{}};
  int requests = 0;

  void setup() override {
    auto configuration = std::make_shared<routing::Configuration>(*world.routes.inForce());
    configuration->version = routing::ConfigurationVersion(2);
    tenant::Tenant large{"large", {hasher.digestOf("large-key")}, {}, {10, 5}};
    tenant::Tenant small{"small", {hasher.digestOf("small-key")}, {}, {10, 5}};
    auto made = tenant::TenantDirectory::make({large, small});
    configuration->tenants =
        std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
    world.routes.apply(configuration);
    world.context.tenantShares = &shares;
  }
  /// Makes the capacity scarce and `large` use it; repeated, so that no sample admits a program.
  void limitLarge() {
    routing::FleetReports fleet;
    fleet.reportingNodes = 1;
    const routing::NameHash model = routing::nameHashOf("model");
    fleet.tenantLoads[{model, routing::nameHashOf("large")}] = 1000;
    fleet.tenantLoads[{model, routing::nameHashOf("small")}] = 1;
    for (int update = 0; update < 10; ++update) {
      shares.update({{{"model", 1000, 12, 1.2}}, world.routes.inForce()->tenants, fleet, 1});
    }
  }
  /// Sets the load of every replica, in percent of its slots.
  void setLoad(double percent) {
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->othersInFlight = replica->entry.slots * percent / 100;
    }
  }
  std::shared_ptr<ClientView> start(const char* key, const std::string& route,
                                    bool hasStarted = false) {
    CallRequest turn = ExchangeWorld::turn(route);
    turn.requestId = "request" + std::to_string(++requests);
    turn.programId = "program" + std::to_string(requests);
    turn.previousTurnId = hasStarted ? "earlier" : "";
    turn.apiKey = hasher.digestOf(key);
    return world.start(std::move(turn));
  }
  std::uint32_t loadOf(const char* tenant) {
    return shares.ownLoads().inFlight({routing::nameHashOf("model"), routing::nameHashOf(tenant)});
  }
};

TEST(ExchangeTenantShares, programsOfATenantAboveItsShareDoNotStart) {
  limitLarge();
  int refused = 0;
  for (int program = 0; program < 20; ++program) {
    const auto client = start("large-key", "again");
    refused += client->status == 503 && client->body == "tenant_above_share" ? 1 : 0;
    CHECK(client->status != 503 || !client->retryAfter.empty());
  }
  CHECK(refused >= 15);  // One in twenty may start.
  LONGS_EQUAL(refused, world.context.counters.tenantShareRefusals);
  world.eventLog.flush();
  STRCMP_CONTAINS("event=tenant_share_refused", world.lines.c_str());
  STRCMP_CONTAINS(
      "tenant=large service=model stage=first_turn load=1000.0 share=12.0 "
      "admitted_percent=5 retry_ms=400\n",
      world.lines.c_str());
  const std::size_t before = world.dispatches();
  start("small-key", "again");
  LONGS_EQUAL(before + 1, world.dispatches());
}

TEST(ExchangeTenantShares, startedProgramsOfATenantAboveItsShareGetTheLimitOfThoseThatStart) {
  limitLarge();
  setLoad(110);
  start("large-key", "again", true);
  LONGS_EQUAL(1, world.dispatches());
  setLoad(150);
  const auto large = start("large-key", "again", true);
  STRCMP_EQUAL("tenant_above_share", large->body.c_str());
  start("small-key", "again", true);
  LONGS_EQUAL(2, world.dispatches());
}

TEST(ExchangeTenantShares, onlyStreamsAreLimited) {
  limitLarge();
  setLoad(300);
  for (const char* const route : {"safe", "unsafe"}) {
    const std::size_t before = world.dispatches();
    start("large-key", route);
    LONGS_EQUAL(before + 1, world.dispatches());
  }
}

// A refusal after the run began would state that nothing was executed.
TEST(ExchangeTenantShares, aStreamThatHasBegunIsResumed) {
  const auto client = start("large-key", "again");
  world.beginEvents();
  world.call().body("id: 1\ndata: a\n\n");
  world.timers.advance(milliseconds(300));
  limitLarge();
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
}

TEST(ExchangeTenantShares, aRequestCountsFromItsDispatchToItsEnd) {
  const auto client = start("large-key", "again");
  start("small-key", "safe");
  LONGS_EQUAL(1, loadOf("large"));
  LONGS_EQUAL(1, loadOf("small"));
  world.call().head(200);
  world.call().done();
  LONGS_EQUAL(0, loadOf("small"));
  client->observer.onGone();
  LONGS_EQUAL(0, loadOf("large"));
}

TEST(ExchangeTenantShares, aRejectedDispatchDoesNotCountWithItsRetry) {
  start("large-key", "again");
  world.call().head(503, {{"not-run", ""}});
  world.call().done();
  LONGS_EQUAL(2, world.dispatches());
  LONGS_EQUAL(1, loadOf("large"));
}

// Deployments without overload control are served as before.
TEST(ExchangeTenantShares, withoutSharesNoTenantIsLimited) {
  limitLarge();
  world.context.tenantShares = nullptr;
  start("large-key", "again");
  LONGS_EQUAL(1, world.dispatches());
  LONGS_EQUAL(0, loadOf("large"));
}
