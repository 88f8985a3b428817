// Guards against dispatches that cannot be answered before the caller's deadline, and against
// measurements that count waiting for a slot as slowness.
#include <memory>
#include <string>

#include "edge/exchange_world.h"
#include "routing/service_times.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

/// Answers before the shortest time to the first byte is known.
constexpr int kSamples = 64;

}  // namespace

TEST_GROUP(ExchangeServiceTimes) {
  ExchangeWorld world;
  routing::ServiceTimes times;

  void setup() override {
    world.context.serviceTimes = &times;
    world.context.knobs.refusesLateDispatches = true;
  }
  /// Lets the replicas answer turns of four events: the head after 5 ms, the first event after 30,
  /// the end after 90.
  void learn() {
    for (int count = 0; count < kSamples; ++count) {
      answerTurn();
    }
  }
  void answerTurn() {
    const auto view = world.start(ExchangeWorld::request("again"));
    world.timers.advance(milliseconds(5));
    world.beginEvents();
    world.timers.advance(milliseconds(25));
    world.call().body("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    world.timers.advance(milliseconds(60));
    world.call().body("id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    world.call().done();
  }
  /// \param left until the final answer has to leave this node.
  std::shared_ptr<ClientView> startWith(Duration left, const std::string& route = "again") {
    CallRequest call = ExchangeWorld::request(route);
    call.deadline = left + milliseconds(20);
    return world.start(std::move(call));
  }
  double unloaded() {
    return toMilliseconds(times.unloadedDuration("model", {}).value_or(Duration::zero()));
  }
  bool isLogged(const std::string& text) {
    world.eventLog.flush();
    return world.lines.find(text) != std::string::npos;
  }
};

TEST(ExchangeServiceTimes, aRequestWithSixMillisecondsLeftIsRefusedAtOnce) {
  learn();
  const std::size_t before = world.dispatches();
  const auto late = startWith(milliseconds(6));
  LONGS_EQUAL(503, late->status);
  STRCMP_EQUAL("too_late_to_answer", late->body.c_str());
  STRCMP_EQUAL("", late->retryAfter.c_str());
  LONGS_EQUAL(before, world.dispatches());
  LONGS_EQUAL(1, world.context.counters.lateDispatches);
  CHECK(isLogged("event=dispatch_too_late"));
  CHECK(isLogged("left_ms=26 shortest_ms=30"));
  const auto inTime = startWith(milliseconds(31));
  LONGS_EQUAL(before + 1, world.dispatches());
}

// A restarted node knows no times and must serve.
TEST(ExchangeServiceTimes, withoutMeasurementsEveryRequestIsSent) {
  const auto view = startWith(milliseconds(6));
  LONGS_EQUAL(1, world.dispatches());
}

// Deployments without overload control are served as before.
TEST(ExchangeServiceTimes, withoutOverloadControlEveryRequestIsSent) {
  world.context.knobs.refusesLateDispatches = false;
  learn();
  const std::size_t before = world.dispatches();
  const auto view = startWith(milliseconds(6));
  LONGS_EQUAL(before + 1, world.dispatches());
}

// Late answers count for callers that wait: only their own deadline and the route's timeout matter.
TEST(ExchangeServiceTimes, theProgramsDeadlineRefusesNothing) {
  learn();
  const std::size_t before = world.dispatches();
  CallRequest call = ExchangeWorld::turn("again");
  call.programTimeLeft = milliseconds(1);
  const auto view = world.start(std::move(call));
  LONGS_EQUAL(before + 1, world.dispatches());
}

TEST(ExchangeServiceTimes, aSlowReplicaIsPassedOverIfAnotherCanAnswer) {
  learn();
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->timeFactor = replica->entry.id == "r2" ? 1.0 : 2.0;
    replica->othersInFlight = replica->entry.id == "r1" ? 0 : 2;
  }
  world.replicas.remove("r3");
  const auto view = startWith(milliseconds(40));
  STRCMP_EQUAL("10.0.0.1:r2", world.call().request.address.c_str());
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->timeFactor = 2.0;
  }
  const auto late = startWith(milliseconds(40));
  STRCMP_EQUAL("too_late_to_answer", late->body.c_str());
  world.replicas.remove("r2");
  const auto alone = startWith(milliseconds(40));
  STRCMP_EQUAL("too_late_to_answer", alone->body.c_str());
  STRCMP_EQUAL("", alone->retryAfter.c_str());
  LONGS_EQUAL(2, world.context.counters.lateDispatches);
}

TEST(ExchangeServiceTimes, aRequestThatMayHaveRunIsNotSentAgainTooLate) {
  learn();
  const auto view = startWith(milliseconds(100), "safe");
  const std::size_t before = world.dispatches();
  world.timers.advance(milliseconds(80));
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(before, world.dispatches());
  LONGS_EQUAL(502, view->status);
}

TEST(ExchangeServiceTimes, aRefusedRequestIsNotSentAgainTooLate) {
  learn();
  const auto view = startWith(milliseconds(100));
  const std::size_t before = world.dispatches();
  world.timers.advance(milliseconds(80));
  world.call().head(503, {{"not-run", ""}});
  world.call().done();
  LONGS_EQUAL(before, world.dispatches());
  LONGS_EQUAL(503, view->status);
}

TEST(ExchangeServiceTimes, measuresTheDurationOfAnsweredTurns) {
  learn();
  DOUBLES_EQUAL(90, unloaded(), 0.1);
  DOUBLES_EQUAL(1.0, times.report("model", world.timers.now).inflation, 0.01);
  CHECK(times.report("model", world.timers.now).completedPerSecond > 5);
}

TEST(ExchangeServiceTimes, turnsAtFullReplicasCountAsInflationOnly) {
  learn();
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->othersInFlight = replica->entry.slots;
  }
  for (int count = 0; count < 20; ++count) {
    const auto view = world.start(ExchangeWorld::request("again"));
    world.timers.advance(milliseconds(300));
    world.beginEvents();
    world.call().body("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    world.call().done();
  }
  DOUBLES_EQUAL(90, unloaded(), 0.1);
  CHECK(times.report("model", world.timers.now).inflation > 3.0);
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    DOUBLES_EQUAL(0.0, replica->speed.meanLog(), 0.01);
  }
}

TEST(ExchangeServiceTimes, refusedDispatchesAndFailuresAreNoMeasurements) {
  const auto refused = world.start(ExchangeWorld::request("unsafe"));
  world.call().head(503, {{"not-run", ""}});
  world.call().done();
  LONGS_EQUAL(1, times.report("model", world.timers.now).rejectedPerSecond);
  LONGS_EQUAL(0, times.report("model", world.timers.now).completedPerSecond);
  const auto misdirected = world.start(ExchangeWorld::request("unsafe"));
  world.call().head(421, {{"not-run", ""}});
  world.call().done();
  LONGS_EQUAL(1, times.report("model", world.timers.now).rejectedPerSecond);
  const auto failed = world.start(ExchangeWorld::request("unsafe"));
  world.call().head(500, {});
  world.call().done();
  LONGS_EQUAL(0, times.report("model", world.timers.now).completedPerSecond);
}
