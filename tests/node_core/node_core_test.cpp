#include "node/core/node_core.h"

#include "test_fleet.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

namespace {

// The compiled schema stays for the life of the program; made here, it is no leak of one test.
[[maybe_unused]] const bool kSchemaReady = !bundle::parseBundle("{}").valueless_by_exception();

}  // namespace

TEST_GROUP(NodeCore) {
  TestFleet fleet{3};

  CallerView& caller(std::uint64_t handle) { return fleet.callers[CallHandle(handle)]; }
  const Error& errorOfCaller(std::uint64_t handle) {
    CHECK_EQUAL(1U, caller(handle).refused.size());
    return caller(handle).refused.at(0).error;
  }
  void answerEverything() {
    fleet.backend = [this](const SeenDispatch& dispatch) { fleet.finish(dispatch, "fine"); };
  }
};

TEST(NodeCore, ServesACallAndReplaysItsAnswer) {
  fleet.publishSample();
  answerEverything();
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, caller(1).completed.size());
  STRCMP_EQUAL("fine", caller(1).completed[0].answer.c_str());
  CHECK(caller(1).completed[0].call == CallNumber(1));
  fleet.call(1, TestFleet::proof(2, "request-1"));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, caller(2).completed.size());
  CHECK(caller(2).completed[0].replayed);
  CHECK_EQUAL(1U, fleet.dispatches.size());
  CHECK_EQUAL(1U, fleet.core(1).counters().callsReplayed);
  CHECK_EQUAL(0U, fleet.core(1).counters().callsUnderWay);
}

TEST(NodeCore, RefusesCallsBeforeTheFirstBundle) {
  fleet.call(1, TestFleet::proof(1, "request-1"));
  CHECK(errorOfCaller(1).kind == ErrorKind::BundleNotInForce);
  CHECK(errorOfCaller(1).retryAfterSeconds > 0);
}

TEST(NodeCore, ChecksCallsAgainstTheBundle) {
  nlohmann::json bundle = fleet.sample(1, 0);
  bundle["tenants"].push_back(bundle["tenants"][0]);
  bundle["tenants"][1]["name"] = "press-b";
  bundle["tenants"][1]["works"] = {"proof-assistant"};
  fleet.publish(bundle);
  engine::CallRequest request = TestFleet::proof(1, "r");
  request.work = "no-such-work";
  fleet.call(1, request);
  CHECK(errorOfCaller(1).kind == ErrorKind::UnknownModel);
  request = TestFleet::proof(2, "r");
  request.key.tenant = "nobody";
  fleet.call(1, request);
  CHECK(errorOfCaller(2).kind == ErrorKind::UnknownTenant);
  request = TestFleet::press(3, "r");
  request.key.tenant = "press-b";
  fleet.call(1, request);
  CHECK(errorOfCaller(3).kind == ErrorKind::WorkNotAllowed);
  request = TestFleet::proof(4, "r");
  request.maximumTokens = 131072;
  fleet.call(1, request);
  CHECK(errorOfCaller(4).kind == ErrorKind::InvalidField);
  request = TestFleet::press(5, "");
  request.repeatable = true;  // The bundle says that it may not be repeated.
  fleet.call(1, request);
  CHECK(errorOfCaller(5).kind == ErrorKind::MissingField);
  STRCMP_EQUAL("Idempotency-Key", errorOfCaller(5).field.c_str());
  fleet.run(seconds(1));
  CHECK(fleet.dispatches.empty());
}

TEST(NodeCore, TenantSpendsItsShareOfAMinuteAndNoMore) {
  nlohmann::json bundle = fleet.sample(1, 0);
  bundle["tenants"][0]["budget"]["tokens_per_minute"] = 900;  // 300 for each of three nodes.
  bundle["tenants"][0]["budget"]["tokens_per_program"] = 100000;
  fleet.publish(bundle);
  fleet.backend = [this](const SeenDispatch& dispatch) {
    fleet.report(dispatch, engine::DispatchFinished{dispatch.command.id.attempt, "a", 100, 0, 50});
  };
  std::uint64_t handle = 0;
  std::size_t completed = 0;
  for (int turn = 0; turn < 20; ++turn) {
    ++handle;
    engine::CallRequest request = TestFleet::proof(handle, "request-1");
    request.key.name = "order-" + std::to_string(handle);
    fleet.call(1, request);
    fleet.run(milliseconds(200));
    completed += caller(handle).completed.size();
  }
  // 300 at once and 20 more in 4 s at 5 a second; the last call may go into debt.
  CHECK_EQUAL(3U, completed);
  CHECK(errorOfCaller(handle).kind == ErrorKind::BudgetExceeded);
  CHECK(errorOfCaller(handle).retryAfterSeconds > 0);
  fleet.run(seconds(60));
  engine::CallRequest later = TestFleet::proof(++handle, "request-1");
  later.key.name = "order-later";
  fleet.call(1, later);
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, caller(handle).completed.size());
}

TEST(NodeCore, BackendThatHangsUpMidStreamIsResumed) {
  fleet.publishSample();
  fleet.backend = [this](const SeenDispatch& dispatch) {
    const AttemptNumber attempt = dispatch.command.id.attempt;
    if (dispatch.command.resumeFrom == 0) {
      fleet.report(dispatch, engine::DispatchChunk{attempt, 0, "page "});
      fleet.report(dispatch, engine::DispatchChunk{attempt, 1, "three "});
      fleet.hangUp(dispatch);
      return;
    }
    fleet.report(dispatch, engine::DispatchChunk{attempt, 2, "is fine"});
    fleet.finish(dispatch, "page three is fine");
  };
  engine::CallRequest request = TestFleet::proof(1, "request-1");
  request.mode = engine::AnswerMode::Stream;
  fleet.call(1, request);
  fleet.run(seconds(1));
  STRCMP_EQUAL("page three is fine", caller(1).streamed.c_str());
  CHECK_EQUAL(1U, caller(1).completed.size());
  CHECK_EQUAL(2U, fleet.dispatches.size());
  STRCMP_EQUAL(fleet.dispatches[0].command.backendName.c_str(),
               fleet.dispatches[1].command.backendName.c_str());
}

TEST(NodeCore, BrokenNonRepeatableIsUnknownAndStaysSoForItsRequestId) {
  fleet.publishSample();
  fleet.backend = [this](const SeenDispatch& dispatch) { fleet.hangUp(dispatch); };
  fleet.call(1, TestFleet::press(1, "release-1"));
  fleet.run(seconds(1));
  CHECK(errorOfCaller(1).kind == ErrorKind::OutcomeNotKnown);
  fleet.call(1, TestFleet::press(2, "release-1"));
  fleet.run(seconds(1));
  CHECK(errorOfCaller(2).outcome == RunOutcome::OutcomeUnknown);
  CHECK_EQUAL(1U, fleet.dispatches.size());
  CHECK_EQUAL(1U, fleet.core(1).counters().callsUnknown);
}

TEST(NodeCore, CallerThatLeftANonRepeatableCallGetsItsAnswerLater) {
  fleet.publishSample();
  fleet.call(1, TestFleet::press(1, "release-1"));
  fleet.run(seconds(1));
  fleet.core(1).onCallerGone(CallHandle(1), fleet.now);
  CHECK(fleet.cancels.empty());
  fleet.finish(fleet.dispatches.at(0), "receipt 9");
  fleet.run(seconds(1));
  CHECK(!caller(1).isAnswered());
  fleet.call(1, TestFleet::press(2, "release-1"));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, caller(2).completed.size());
  STRCMP_EQUAL("receipt 9", caller(2).completed[0].answer.c_str());
  CHECK_EQUAL(1U, fleet.dispatches.size());
}

TEST(NodeCore, CallerThatLeftARepeatableCallFreesTheEngine) {
  fleet.publishSample();
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.run(seconds(1));
  fleet.core(1).onCallerGone(CallHandle(1), fleet.now);
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.cancels.size());
  CHECK_EQUAL(0U, fleet.core(1).counters().callsUnderWay);
}

TEST(NodeCore, LateEventsOfAnEndedCallAreCounted) {
  fleet.publishSample();
  answerEverything();
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.run(seconds(1));
  fleet.finish(fleet.dispatches.at(0), "late");
  CHECK_EQUAL(1U, fleet.core(1).counters().lateEventsDropped);
  CHECK_EQUAL(1U, caller(1).completed.size());
}

TEST(NodeCore, RefusalOfALeavingBackendStopsNewWorkAtEveryNode) {
  fleet.publishSample();
  fleet.run(seconds(2));
  fleet.backend = [this](const SeenDispatch& dispatch) {
    if (dispatch.command.backendName == "lm-1") {
      fleet.report(dispatch, engine::DispatchRefused{dispatch.command.id.attempt, 503, "", true});
      return;
    }
    fleet.finish(dispatch, "fine");
  };
  std::uint64_t handle = 0;
  const auto ask = [&](std::uint32_t node) {
    ++handle;
    engine::CallRequest request = TestFleet::proof(handle, "r-" + std::to_string(handle));
    request.key.name = "order-" + std::to_string(handle);
    fleet.call(node, request);
  };
  while (fleet.dispatchesTo("lm-1").empty() && handle < 30) {
    ask(1);
    fleet.run(milliseconds(100));
  }
  CHECK_EQUAL(1U, fleet.dispatchesTo("lm-1").size());
  fleet.run(seconds(3));
  for (int round = 0; round < 10; ++round) {
    for (std::uint32_t node = 1; node <= 3; ++node) {
      ask(node);
    }
    fleet.run(milliseconds(100));
  }
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.dispatchesTo("lm-1").size());
  CHECK_EQUAL(handle, fleet.dispatchesTo("lm-2").size());
}

TEST(NodeCore, ExhaustedRetryBudgetAnswersAtOnce) {
  nlohmann::json bundle = fleet.sample(1, 0);
  bundle["works"][0]["back_ends"] = {"lm-1"};
  fleet.publish(bundle);
  fleet.backend = [this](const SeenDispatch& dispatch) { fleet.hangUp(dispatch); };
  constexpr std::uint64_t kCalls = 40;
  for (std::uint64_t handle = 1; handle <= kCalls; ++handle) {
    engine::CallRequest request = TestFleet::proof(handle, "r-" + std::to_string(handle));
    request.key.name = "order-" + std::to_string(handle);
    fleet.call(1, request);
  }
  fleet.run(seconds(5));  // The calls' time limit is 20 s.
  for (std::uint64_t handle = 1; handle <= kCalls; ++handle) {
    CHECK(errorOfCaller(handle).retryAfterSeconds > 0);
  }
  CHECK(fleet.dispatches.size() < 3 * kCalls);
}

TEST(NodeCore, ClosedProgramTakesNoMoreCalls) {
  fleet.publishSample();
  answerEverything();
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.run(seconds(1));
  fleet.core(1).onCloseProgram(CallHandle(2), {"hall-1", "press-a", "order-17"}, fleet.now);
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, caller(2).closed);
  fleet.call(1, TestFleet::proof(3, "request-2"));
  fleet.run(seconds(1));
  CHECK(errorOfCaller(3).kind == ErrorKind::ProgramClosed);
}

TEST(NodeCore, StopEndsCallsUnderWayAndDrains) {
  fleet.publishSample();
  fleet.call(1, TestFleet::proof(1, "request-1"));
  fleet.run(seconds(1));
  fleet.core(1).beginStop(fleet.now);
  fleet.run(seconds(1));
  CHECK(!fleet.core(1).isDrained());
  fleet.call(1, TestFleet::proof(2, "request-2"));
  CHECK(errorOfCaller(2).kind == ErrorKind::NodeStopping);
  fleet.finish(fleet.dispatches.at(0), "fine");
  fleet.run(seconds(2));
  CHECK_EQUAL(1U, caller(1).completed.size());
  CHECK(fleet.core(1).isDrained());
}

TEST(NodeCore, NodeWithoutTheLogLearnsTheBundleFromAPeer) {
  fleet.core(1).onBundleEnvelope(fleet.seal(fleet.sample(1, 0)), fleet.now);
  fleet.run(seconds(5));
  CHECK_EQUAL(1U, fleet.core(2).counters().bundleVersion);
  CHECK_EQUAL(1U, fleet.core(3).counters().bundleVersion);
}

TEST(NodeCore, RefusedBundleChangesNothing) {
  fleet.publishSample();
  fleet.core(1).onBundleEnvelope("{}", fleet.now);
  CHECK_EQUAL(1U, fleet.core(1).counters().bundlesRefused);
  CHECK_EQUAL(1U, fleet.core(1).counters().bundleVersion);
}

TEST(NodeCore, TakeoverAfterTheOwnersDeathNeverRunsNonRepeatableWorkAgain) {
  fleet.publishSample();
  fleet.run(seconds(2));
  fleet.call(1, TestFleet::press(1, "release-1"));
  fleet.run(seconds(1));
  CHECK_EQUAL(1U, fleet.dispatches.size());
  fleet.kill(NodeId(1));
  fleet.run(seconds(5));
  fleet.call(2, TestFleet::press(2, "release-1"));
  fleet.run(seconds(2));
  CHECK(errorOfCaller(2).outcome == RunOutcome::OutcomeUnknown);
  CHECK_EQUAL(1U, fleet.dispatches.size());
}
