// Guards against wrong forwarding, refusal and retry of requests that are not streams.
#include "edge/exchange.h"

#include <CppUTest/TestHarness.h>

#include "edge/exchange_world.h"

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(Exchange) { ExchangeWorld world; };

TEST(Exchange, forwardsAResponseUnchanged) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().head(207);
  world.call().body("bo");
  world.call().body("dy");
  CHECK_FALSE(client->whole);
  world.call().done();
  LONGS_EQUAL(207, client->status);
  STRCMP_EQUAL("body", client->body.c_str());
  CHECK_TRUE(client->whole);
}

TEST(Exchange, answers503WithRetryAfterWithoutAConfiguration) {
  ExchangeWorld other;
  routing::RouteTable none;
  EdgeContext context{other.wire,
                      none,
                      other.placement,
                      other.ledger,
                      other.quota,
                      other.client,
                      other.timers,
                      [&other] { return other.timers.now; },
                      other.eventLog,
                      other.metrics,
                      {},
                      {},
                      {},
                      std::nullopt};
  auto client = std::make_shared<ClientView>();
  std::make_shared<Exchange>(context, ExchangeWorld::request("safe"),
                             std::make_unique<FakeWriter>(client))
      ->start();
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
}

TEST(Exchange, answers404OnlyWithAFreshConfiguration) {
  LONGS_EQUAL(404, world.start(ExchangeWorld::request("nowhere"))->status);
  world.timers.advance(seconds(5));
  LONGS_EQUAL(503, world.start(ExchangeWorld::request("nowhere"))->status);
}

TEST(Exchange, sendsTheReplicaTheRemainingTime) {
  CallRequest call = ExchangeWorld::request("safe");
  call.deadline = milliseconds(900);
  world.start(call);
  STRCMP_EQUAL("900", world.call().headerOf("left").c_str());
  world.timers.advance(milliseconds(300));
  world.call().fail(http::FailureStage::Broken);
  STRCMP_EQUAL("600", world.call().headerOf("left").c_str());
}

TEST(Exchange, triesAnotherReplicaAfterNotExecuted) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  const std::string first = world.call().headerOf("expect");
  world.call().head(503, {{"not-run", "1"}});
  world.call().done();
  LONGS_EQUAL(2, world.dispatches());
  CHECK(first != world.call().headerOf("expect"));
  world.call().head(200);
  world.call().done();
  LONGS_EQUAL(200, client->status);
}

TEST(Exchange, refusesWithRetryAfterWhenAllReplicasRefuse) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  for (int replica = 0; replica < 3; ++replica) {
    world.call().head(503, {{"not-run", "1"}});
    world.call().done();
  }
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(3, world.dispatches());
}

// Guards against attempts at several engines that would all refuse the request as if busy.
TEST(Exchange, refusesARequestThatExceedsTheEngineMemory) {
  CallRequest call = ExchangeWorld::turn("again");
  call.promptTokens = 5000 - call.maximumTokens + 1;
  const auto refused = world.start(call);
  LONGS_EQUAL(503, refused->status);
  STRCMP_EQUAL("request_exceeds_engine_memory", refused->body.c_str());
  CHECK(refused->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
  call.promptTokens = UINT64_MAX;  // The sum of the tokens must not overflow.
  STRCMP_EQUAL("request_exceeds_engine_memory", world.start(call)->body.c_str());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(Exchange, dispatchesARequestThatJustFitsTheEngineMemory) {
  CallRequest call = ExchangeWorld::turn("again");
  call.promptTokens = 5000 - call.maximumTokens;
  world.start(call);
  world.timers.advance(milliseconds(50));
  LONGS_EQUAL(1, world.dispatches());
}

// Guards against a refusal by a capacity that a newer configuration may have raised.
TEST(Exchange, skipsTheSizeCheckWithAStaleConfiguration) {
  world.context.storeReadTimes.configurationReadAt =
      world.timers.now - world.context.knobs.maximumConfigurationAge - milliseconds(1);
  CallRequest call = ExchangeWorld::turn("again");
  call.promptTokens = 6000;
  world.start(call);
  world.timers.advance(milliseconds(50));
  LONGS_EQUAL(1, world.dispatches());
}

TEST(Exchange, neverRetriesAnUnsafeRequestThatMayHaveRun) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(1, world.dispatches());
  LONGS_EQUAL(502, client->status);
}

TEST(Exchange, retriesAnUnsafeRequestThatWasNotSent) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  world.call().fail(http::FailureStage::NotSent);
  LONGS_EQUAL(2, world.dispatches());
  world.call().head(200);
  world.call().done();
  LONGS_EQUAL(200, client->status);
}

// Guards against a status that lets the client retry although the request may have run.
TEST(Exchange, replacesAStatusThatWronglyImpliesNotExecuted) {
  for (const unsigned status : {402U, 408U, 429U, 503U}) {
    const auto client = world.start(ExchangeWorld::request("unsafe"));
    world.call().head(status);
    world.call().done();
    LONGS_EQUAL(502, client->status);
    STRCMP_EQUAL("replica_status_without_its_promise", client->body.c_str());
  }
}

TEST(Exchange, neverClaimsNotExecutedAfterABrokenConnection) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().fail(http::FailureStage::Broken);
  for (int replica = 0; replica < 2; ++replica) {
    world.call().head(503, {{"not-run", "1"}});
    world.call().done();
  }
  LONGS_EQUAL(502, client->status);
}

TEST(Exchange, runsASafeRequestOnNoMoreReplicasThanItsRouteAllows) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
  LONGS_EQUAL(502, client->status);
}

TEST(Exchange, forwardsTheLastFailureOfASafeRequest) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().head(500);
  world.call().done();
  world.call().head(500);
  world.call().body("why");
  world.call().done();
  LONGS_EQUAL(500, client->status);
  STRCMP_EQUAL("why", client->body.c_str());
}

TEST(Exchange, answersAtTheDeadlineAndCancelsTheDispatch) {
  CallRequest call = ExchangeWorld::request("unsafe");
  call.deadline = milliseconds(500);
  const auto client = world.start(call);
  world.timers.advance(milliseconds(500));
  LONGS_EQUAL(504, client->status);
  CHECK_TRUE(world.call().cancelled);
}

TEST(Exchange, cancelsTheDispatchWhenTheClientDisconnects) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  client->observer.onGone();
  CHECK_TRUE(world.call().cancelled);
}

TEST(Exchange, rejectsAResponseToAnotherRequest) {
  world.start(ExchangeWorld::request("unsafe"));
  CHECK_FALSE(world.call().handler.isOwn(200, {{"id", "another"}}));
  CHECK_TRUE(world.call().handler.isOwn(200, {{"id", "q1"}}));
  CHECK_TRUE(world.call().handler.isOwn(503, {}));
}

TEST(Exchange, sendsNothingToADrainingReplica) {
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->entry.draining = replica->entry.id != "r2";
  }
  world.start(ExchangeWorld::request("unsafe"));
  STRCMP_EQUAL("r2", world.call().headerOf("expect").c_str());
}

TEST(Exchange, refusesRequestsInTheLastPhaseOfAStop) {
  world.context.stop.emplace(world.timers.now - seconds(4), seconds(60));
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  LONGS_EQUAL(503, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

// A request that was taken late would be cut off by the end of the process.
TEST(Exchange, refusesRequestsThatMayNeedLongerThanTheStopLasts) {
  world.context.stop.emplace(world.timers.now, seconds(4));
  CallRequest longer = ExchangeWorld::request("unsafe");
  longer.deadline = milliseconds(3400);
  const auto refused = world.start(longer);
  LONGS_EQUAL(503, refused->status);
  STRCMP_EQUAL("stopping", refused->body.c_str());
  LONGS_EQUAL(0, world.dispatches());
  CallRequest shorter = ExchangeWorld::request("unsafe");
  shorter.requestId = "q2";
  shorter.deadline = milliseconds(3300);
  world.start(shorter);
  LONGS_EQUAL(1, world.dispatches());
}

TEST(Exchange, givesOpenRequestsAFinalAnswerBeforeTheProcessEnds) {
  const auto sent = world.start(ExchangeWorld::request("unsafe"));
  LONGS_EQUAL(1, world.context.openExchanges.size());
  world.context.openExchanges.begin()->second.lock()->onStopLimit();
  LONGS_EQUAL(502, sent->status);
  STRCMP_EQUAL("stopping", sent->body.c_str());
  CHECK_TRUE(sent->whole);
  CHECK_TRUE(world.call().cancelled);
  LONGS_EQUAL(0, world.context.openExchanges.size());
}

TEST(Exchange, logsEveryFailedRequestWithItsReason) {
  world.start(ExchangeWorld::request("unsafe"));
  world.call().fail(http::FailureStage::Broken);
  world.eventLog.flush();
  STRCMP_CONTAINS("event=replica_failed request=q1", world.lines.c_str());
  STRCMP_CONTAINS("outcome=unknown_502 reason=replica_broke_off", world.lines.c_str());
  STRCMP_CONTAINS(
      "gorsetrail_requests_ended_total{outcome=\"unknown_502\",reason=\"replica_broke_off\"} 1",
      world.metrics.render({}).c_str());
}

TEST(Exchange, logsThePlacementGrantOfADispatch) {
  world.start(ExchangeWorld::request("safe"));
  world.eventLog.flush();
  STRCMP_CONTAINS("event=dispatch request=q1", world.lines.c_str());
  STRCMP_CONTAINS("granted_as=usual", world.lines.c_str());
}

// Guards against a program that is refused forever because its preferred replica is full: one of
// its attempts must be placed elsewhere.
TEST(Exchange, placesAProgramElsewhereWhenItsReplicaIsFull) {
  CallRequest turn = ExchangeWorld::turn("again");
  turn.previousTurnId = "q0";
  turn.promptTokens = 4500;
  turn.tokenBudget = 100000;
  const std::vector<routing::ReplicaPtr> replicas = world.replicas.ofService("model");
  for (const routing::ReplicaPtr& replica : replicas) {
    replica->entry.zone = "zone";  // Programs prefer a replica of the node's own zone.
    replica->othersInFlight = 3;   // Of 4 slots.
  }
  world.start(turn);
  const std::string preferred = world.call().headerOf("expect");
  for (const routing::ReplicaPtr& replica : replicas) {
    replica->othersInFlight = replica->entry.id == preferred ? 9 : 3;
  }
  int refused = 0;
  while (world.dispatches() == 1 && refused < 24) {
    turn.requestId = "t" + std::to_string(refused);
    const auto answer = world.start(turn);
    if (world.dispatches() == 1) {
      ++refused;
      LONGS_EQUAL(503, answer->status);
      STRCMP_EQUAL("replicas_busy", answer->body.c_str());
    }
  }
  CHECK_TRUE(refused > 0);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(preferred != world.call().headerOf("expect"));
  world.eventLog.flush();
  STRCMP_CONTAINS(
      "event=placement_refused request=t0 program=program stage=continuing priority=1 "
      "prompt_tokens=4500",
      world.lines.c_str());
  STRCMP_CONTAINS("least_load_percent=75", world.lines.c_str());
}
