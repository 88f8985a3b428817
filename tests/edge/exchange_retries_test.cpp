// Guards against refused callers that all return at the same time, against dispatches after
// refusals by replicas that amplify an overload, and against changes without overload control.
#include <memory>
#include <string>
#include <vector>

#include "edge/edge_knobs.h"
#include "edge/exchange_world.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

EdgeSettings overloadSettings() {
  EdgeSettings settings;
  settings.overloadControl = true;
  return settings;
}

}  // namespace

TEST_GROUP(ExchangeRetries) {
  ExchangeWorld world;

  void enable() {
    world.context.retryControl = RetryControl(retryControlKnobsOf(overloadSettings()));
  }
  void setLoadPerSlot(double load) {
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->othersInFlight = replica->entry.slots * load;
    }
  }
  Duration delayOfRefusedTurn(const std::string& previousTurn) {
    CallRequest turn = ExchangeWorld::turn("again");
    turn.previousTurnId = previousTurn;
    const auto client = world.start(std::move(turn));
    STRCMP_EQUAL("replicas_busy", client->body.c_str());
    return Duration(std::stoll(client->retryAfter));
  }
  void refuseDispatch() {
    world.call().head(503, {{"not-run", ""}});
    world.call().done();
  }
  void answerRequest() {
    world.start(ExchangeWorld::request("unsafe"));
    world.call().head(200);
    world.call().done();
  }
  /// Adds a replica, so that a request can be refused as often as the limit of attempts allows.
  void addFourthReplica() {
    routing::ReplicaEntry entry = world.replicas.all().front()->entry;
    entry.id = "r4";
    entry.address = "10.0.0.1:r4";
    world.replicas.upsert(entry);
  }
  std::shared_ptr<ClientView> startRefusedByFourReplicas() {
    const auto client = world.start(ExchangeWorld::request("unsafe"));
    for (int replica = 0; replica < 4 && !client->whole; ++replica) {
      refuseDispatch();
    }
    STRCMP_EQUAL("replicas_full", client->body.c_str());
    return client;
  }
};

TEST(ExchangeRetries, withoutOverloadControlDelaysAndAttemptsAreTheFixedOnes) {
  world.context.retryControl = RetryControl(retryControlKnobsOf({}));
  addFourthReplica();
  for (int number = 0; number < 5; ++number) {
    STRCMP_EQUAL("150000", startRefusedByFourReplicas()->retryAfter.c_str());
  }
  LONGS_EQUAL(20, world.dispatches());
  setLoadPerSlot(3);
  for (int number = 0; number < 5; ++number) {
    CHECK(milliseconds(400) == delayOfRefusedTurn("q0"));
  }
}

TEST(ExchangeRetries, eachMechanismIsSwitchedOffByItself) {
  EdgeSettings settings = overloadSettings();
  settings.disabledMechanisms = {Mechanism::ReturnSchedule};
  CHECK_FALSE(retryControlKnobsOf(settings).schedulesReturns);
  CHECK_TRUE(retryControlKnobsOf(settings).limitsRetries);
  settings.disabledMechanisms = {Mechanism::RetryBudget};
  CHECK_TRUE(retryControlKnobsOf(settings).schedulesReturns);
  CHECK_FALSE(retryControlKnobsOf(settings).limitsRetries);
}

TEST(ExchangeRetries, refusedTurnsReturnSpreadOverTimeAndStartedOnesFirst) {
  enable();
  for (int number = 0; number < 30; ++number) {
    answerRequest();
    world.timers.advance(milliseconds(20));
  }
  setLoadPerSlot(3);
  Duration lastStarting{};
  for (int number = 0; number < 10; ++number) {
    lastStarting = delayOfRefusedTurn("");
  }
  // Ten places at 25 per second lie between the first caller and the next one.
  CHECK(lastStarting > milliseconds(400));
  CHECK(lastStarting <= milliseconds(4000) / 3);
  CHECK(delayOfRefusedTurn("q0") <= milliseconds(192));
  world.eventLog.flush();
  STRCMP_CONTAINS("retry_ms=", world.lines.c_str());
}

// Guards against tool calls of started programs that return after programs that start.
TEST(ExchangeRetries, toolCallsCountAsStarted) {
  enable();
  addFourthReplica();
  answerRequest();
  setLoadPerSlot(3);
  Duration starting{};
  for (int number = 0; number < 20; ++number) {
    starting = delayOfRefusedTurn("");
  }
  CHECK(starting > milliseconds(900));
  setLoadPerSlot(0);
  CallRequest call = ExchangeWorld::turn("unsafe");
  const auto client = world.start(std::move(call));
  for (int replica = 0; replica < 4 && !client->whole; ++replica) {
    refuseDispatch();
  }
  STRCMP_EQUAL("replicas_full", client->body.c_str());
  CHECK(Duration(std::stoll(client->retryAfter)) <= milliseconds(192));
}

TEST(ExchangeRetries, withoutTokensARefusedRequestEndsAtOnceWithADelay) {
  enable();
  addFourthReplica();
  startRefusedByFourReplicas();
  LONGS_EQUAL(3, world.dispatches());  // Two tokens.
  const auto client = startRefusedByFourReplicas();
  LONGS_EQUAL(4, world.dispatches());
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(2, world.context.retryControl.retriesWithheld());
  world.eventLog.flush();
  STRCMP_CONTAINS("event=retry_withheld request=q1", world.lines.c_str());
  for (int number = 0; number < 10; ++number) {
    answerRequest();
  }
  startRefusedByFourReplicas();
  LONGS_EQUAL(16, world.dispatches());  // One token from ten answers.
}

// Guards against a wasted run: only requests that have not run anywhere can be refused.
TEST(ExchangeRetries, aRequestThatMayHaveRunNeedsNoToken) {
  enable();
  addFourthReplica();
  startRefusedByFourReplicas();
  const std::size_t before = world.dispatches();
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().fail(http::FailureStage::Broken);
  refuseDispatch();
  LONGS_EQUAL(before + 3, world.dispatches());
  LONGS_EQUAL(0, client->status);
}

// Guards against a client that loses the part of a stream that it already has.
TEST(ExchangeRetries, aStreamThatTheClientResumesNeedsNoToken) {
  enable();
  addFourthReplica();
  startRefusedByFourReplicas();
  const std::size_t before = world.dispatches();
  CallRequest call = ExchangeWorld::request("again");
  call.lastEventId = "4";
  call.resumedRequestId = "q0";
  world.knowOrigin("q0", "");
  const auto client = world.start(std::move(call));
  refuseDispatch();
  LONGS_EQUAL(before + 2, world.dispatches());
  LONGS_EQUAL(0, client->status);
}

// A replica whose process has ended is no sign of overload.
TEST(ExchangeRetries, aMisdirectedRequestNeedsNoToken) {
  enable();
  addFourthReplica();
  startRefusedByFourReplicas();
  const std::size_t before = world.dispatches();
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  world.call().head(421);
  world.call().done();
  LONGS_EQUAL(before + 2, world.dispatches());
  LONGS_EQUAL(0, client->status);
}

// Guards against ten nodes that each give out the places of the whole service, and against a node
// without digests that has none to give.
TEST(ExchangeRetries, aNodeGivesOutItsShareOfTheFleetsRate) {
  const auto delayOf20thCaller = [](bool hasDigests) {
    RetryControl control(retryControlKnobsOf(overloadSettings()));
    Instant now{seconds(100)};
    for (int number = 0; number < 50; ++number, now += milliseconds(100)) {
      control.onAnswered("model", now);
    }
    routing::FleetReports reports;
    const routing::NameHash hash = routing::nameHashOf("model");
    reports.services[hash] = {hash, 990, 0, 1.0};
    control.updateFleet(hasDigests ? reports : routing::FleetReports(), 9);
    Duration delay{};
    for (int number = 0; number < 20; ++number) {
      delay = control.assignDelay("model", {routing::ReturnClass::Started, seconds(30)}, now)
                  .value_or(Duration::zero());
    }
    return toMilliseconds(delay);
  };
  DOUBLES_EQUAL(170 + 19 / 0.05, delayOf20thCaller(true), 75);     // 50 places per second.
  DOUBLES_EQUAL(170 + 19 / 0.005, delayOf20thCaller(false), 800);  // 5 places per second.
}

TEST(ExchangeRetries, metricsTellTheLengthOfEachSchedule) {
  enable();
  answerRequest();
  setLoadPerSlot(3);
  delayOfRefusedTurn("q0");
  EdgeSnapshot snapshot;
  snapshot.returnSchedules = world.context.retryControl.scheduleLengths(world.timers.now);
  snapshot.retriesWithheld = 3;
  const std::string text = world.metrics.render(snapshot);
  STRCMP_CONTAINS("gorsetrail_return_schedule_callers{service=\"model\"} 1", text.c_str());
  STRCMP_CONTAINS("gorsetrail_retries_withheld_total 3", text.c_str());
}
