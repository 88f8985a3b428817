// Guards against requests without a valid key, and against access to another tenant's turns, budget
// or quota.
#include "edge/exchange.h"

#include <CppUTest/TestHarness.h>

#include "edge/exchange_world.h"
#include "tenant/api_key_hasher.h"

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeTenant) {
  ExchangeWorld world;
  tenant::ApiKeyHasher hasher{tenant::ApiKeyHasher::Secret{3}};

  void setup() override {
    auto configuration = std::make_shared<routing::Configuration>(*world.routes.inForce());
    configuration->version = routing::ConfigurationVersion(2);
    routing::Route open = ExchangeWorld::route("open", routing::RouteKind::Safe, 1);
    open.authenticationExempt = true;
    configuration->routes.push_back(open);
    tenant::Tenant alice{"alice", {hasher.digestOf("alice-key")}, 4, {20, 5}};
    tenant::Tenant bob{"bob", {hasher.digestOf("bob-key")}, {}, {}};
    auto made = tenant::TenantDirectory::make({alice, bob});
    configuration->tenants =
        std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
    world.routes.apply(configuration);
  }
  std::shared_ptr<ClientView> start(CallRequest call, const char* key) {
    if (key != nullptr) {
      call.apiKey = hasher.digestOf(key);
    }
    return world.start(std::move(call));
  }
  /// Runs a turn to its end.
  void answerTurn(const char* requestId, const char* key) {
    CallRequest call = ExchangeWorld::turn("kept");
    call.requestId = requestId;
    const auto client = start(call, key);
    world.timers.advance(milliseconds(100));
    world.beginEvents();
    world.call().body("id: 1\ndata: secret\n\n");
    world.call().done();
    world.timers.advance(milliseconds(500));
    CHECK_TRUE(client->whole);
  }
};

TEST(ExchangeTenant, refusesAMissingOrUnknownKey) {
  LONGS_EQUAL(401, start(ExchangeWorld::request("safe"), nullptr)->status);
  LONGS_EQUAL(401, start(ExchangeWorld::request("safe"), "made-up")->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeTenant, answers503ForAnUnknownKeyWithAStaleConfiguration) {
  world.timers.advance(seconds(5));
  LONGS_EQUAL(503, start(ExchangeWorld::request("safe"), "made-up")->status);
  CHECK(!start(ExchangeWorld::request("safe"), "made-up")->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
  start(ExchangeWorld::request("safe"), "alice-key");
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeTenant, sendsTheReplicaTheTenantAndItsPriority) {
  start(ExchangeWorld::request("safe"), "alice-key");
  STRCMP_EQUAL("alice", world.call().headerOf("tenant").c_str());
  STRCMP_EQUAL("4", world.call().headerOf("priority").c_str());
  start(ExchangeWorld::request("safe"), "bob-key");
  STRCMP_EQUAL("bob", world.call().headerOf("tenant").c_str());
  STRCMP_EQUAL("1", world.call().headerOf("priority").c_str());
}

TEST(ExchangeTenant, servesExemptRoutesWithoutAKey) {
  start(ExchangeWorld::request("open"), nullptr);
  LONGS_EQUAL(1, world.dispatches());
  STRCMP_EQUAL("", world.call().headerOf("tenant").c_str());
}

TEST(ExchangeTenant, aRemovedKeyIsRefusedWithTheNewConfiguration) {
  auto configuration = std::make_shared<routing::Configuration>(*world.routes.inForce());
  configuration->version = routing::ConfigurationVersion(3);
  auto made = tenant::TenantDirectory::make({tenant::Tenant{"alice", {}, {}, {}}});
  configuration->tenants =
      std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
  world.routes.apply(configuration);
  LONGS_EQUAL(401, start(ExchangeWorld::request("safe"), "alice-key")->status);
}

TEST(ExchangeTenant, anotherTenantsTurnIsAnsweredLikeANonexistentOne) {
  answerTurn("t1", "alice-key");
  const std::size_t before = world.dispatches();
  CallRequest theft = ExchangeWorld::turn("kept");
  theft.requestId = "t2";
  theft.previousTurnId = "t1";
  const auto thief = start(theft, "bob-key");
  CallRequest guess = ExchangeWorld::turn("kept");
  guess.requestId = "t3";
  guess.previousTurnId = "never-was";
  const auto guesser = start(guess, "bob-key");
  world.timers.advance(milliseconds(500));
  LONGS_EQUAL(404, thief->status);
  LONGS_EQUAL(404, guesser->status);
  STRCMP_EQUAL(guesser->body.c_str(), thief->body.c_str());
  LONGS_EQUAL(before, world.dispatches());
}

TEST(ExchangeTenant, aTenantContinuesItsOwnTurn) {
  answerTurn("t1", "alice-key");
  CallRequest next = ExchangeWorld::turn("kept");
  next.requestId = "t2";
  next.previousTurnId = "t1";
  start(next, "alice-key");
  world.timers.advance(milliseconds(500));
  STRCMP_EQUAL("inputsecret\ninput", world.call().request.body.c_str());
}

TEST(ExchangeTenant, twoTenantsWithOneProgramIdHaveTwoBudgets) {
  CallRequest call = ExchangeWorld::turn("kept");
  call.tokenBudget = 300;
  start(call, "alice-key");
  world.timers.advance(milliseconds(500));
  world.beginEvents();
  for (int number = 1; number <= 3; ++number) {
    world.call().body("id: " + std::to_string(number) + "\ndata: x\n\n");
  }
  world.call().done();
  world.timers.advance(milliseconds(500));
  call.requestId = "q2";
  const auto own = start(call, "alice-key");
  const auto other = start(call, "bob-key");
  world.timers.advance(milliseconds(500));
  LONGS_EQUAL(402, own->status);
  CHECK(other->status != 402);
}

TEST(ExchangeTenant, refusesConflictingHeaders) {
  CallRequest call = ExchangeWorld::request("safe");
  call.hasConflictingHeaders = true;
  LONGS_EQUAL(400, start(call, "alice-key")->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeTenant, answers429WithRetryAfterOverTheQuota) {
  world.quota.decision = {quota::QuotaVerdict::OverLimit, milliseconds(700)};
  const auto client = start(ExchangeWorld::request("safe"), "alice-key");
  LONGS_EQUAL(429, client->status);
  STRCMP_EQUAL("700000", client->retryAfter.c_str());
  LONGS_EQUAL(0, world.dispatches());
  // Bob has no limit.
  start(ExchangeWorld::request("safe"), "bob-key");
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeTenant, answers503WhenTheQuotaIsUnknown) {
  world.quota.decision = {quota::QuotaVerdict::Unknown, milliseconds(200)};
  LONGS_EQUAL(503, start(ExchangeWorld::request("safe"), "alice-key")->status);
}

TEST(ExchangeTenant, logsTheCoordinatorWhenTheQuotaIsUnknown) {
  world.quota.decision = {
      quota::QuotaVerdict::Unknown, milliseconds(200),
      quota::QuotaTrace{5, "c:1", "b:1", milliseconds(2400), true, milliseconds(700)}};
  start(ExchangeWorld::request("safe"), "alice-key");
  world.eventLog.flush();
  STRCMP_CONTAINS(
      "event=quota_unknown request=q1 program=\"\" tenant=alice partition=5 coordinator=c:1 "
      "last_answer_by=b:1 last_answer_ms=2400 last_answer_decided=1 waited_ms=700\n",
      world.lines.c_str());
  STRCMP_CONTAINS("outcome=refused_503 reason=quota_unknown", world.lines.c_str());
}

TEST(ExchangeTenant, reportsToTheQuotaWhetherAProgramBegins) {
  start(ExchangeWorld::turn("kept"), "alice-key");
  CallRequest later = ExchangeWorld::turn("kept");
  later.requestId = "q2";
  later.previousTurnId = "q1";
  start(later, "alice-key");
  start(ExchangeWorld::request("unsafe"), "alice-key");
  LONGS_EQUAL(3, world.quota.asked.size());
  CHECK(world.quota.asked[0].second == quota::ProgramStage::Starting);
  CHECK(world.quota.asked[1].second == quota::ProgramStage::Started);
  CHECK(world.quota.asked[2].second == quota::ProgramStage::Started);
}

TEST(ExchangeTenant, returnsAQuotaTokenThatWasNotUsed) {
  world.quota.isDeferred = true;
  const auto client = start(ExchangeWorld::request("safe"), "alice-key");
  client->observer.onGone();
  world.quota.waiting.front()({});
  LONGS_EQUAL(1, world.quota.givenBack.size());
  LONGS_EQUAL(0, world.dispatches());
  world.quota.isDeferred = false;
  start(ExchangeWorld::request("safe"), "alice-key");
  world.call().head(200);
  world.call().done();
  LONGS_EQUAL(1, world.quota.givenBack.size());
}
