// Each promise's check on hand-made histories: silent on a good one, loud on a bad one.
#include "lab/sim/promise_checker.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::sim;

TEST_GROUP(PromiseChecker) {
  PromiseReport report;
  CheckerLimits limits{3, 100};
  PromiseChecker checker{limits, report};
  const RequestTag first{"p", "", 0};
  const RequestTag second{"p", "", 1};
  const RequestMeaning chat{false, true};
  const RequestMeaning filing{true, false};

  static Instant at(int second) { return Instant(seconds(second)); }
  std::uint64_t broken(Promise promise) const { return report.violationCount(promise); }

  void complete(const RequestTag& tag, const RequestMeaning& meaning, const std::string& answer) {
    checker.onSubmitted(tag, meaning);
    checker.onRunStarted(tag, "d-" + answer, at(1));
    checker.onRunFinished(tag, "d-" + answer, answer, 10, at(2));
    checker.onCompleted(tag, {answer, false, false, ""}, at(3));
  }
  static Error notRun() {
    return {ErrorKind::AdmissionRefused, "", "full", "wait", RunOutcome::NotRun, 1};
  }
};

TEST(PromiseChecker, GoodHistoryBreaksNothing) {
  complete(first, chat, "a");
  complete(second, filing, "b");
  checker.onProgramGone("p", at(4));
  CHECK_EQUAL(0U, report.totalViolations());
  CHECK(report.checks(Promise::CallOrder) > 0);
}

TEST(PromiseChecker, LaterStepBeforeAnEarlierOneBreaksOrderOnceAcknowledged) {
  complete(second, chat, "b");
  checker.onSubmitted(first, chat);
  checker.onRunStarted(first, "d", at(4));
  checker.onRunFinished(first, "d", "late", 10, at(5));
  CHECK_EQUAL(0U, broken(Promise::CallOrder));
  CHECK_EQUAL(1U, checker.runsOutOfOrder());
  checker.onCompleted(first, {"late", false, false, ""}, at(6));
  CHECK_EQUAL(1U, broken(Promise::CallOrder));
}

TEST(PromiseChecker, NonRepeatableRunOutOfOrderBreaksOrderAtOnce) {
  complete(second, chat, "b");
  checker.onSubmitted(first, filing);
  checker.onRunStarted(first, "d", at(4));
  CHECK_EQUAL(1U, broken(Promise::CallOrder));
}

TEST(PromiseChecker, LostOrChangedAnswersBreakHistory) {
  complete(first, chat, "a");
  checker.onAuditAnswer(first, std::string("a"), "", at(5));
  CHECK_EQUAL(0U, broken(Promise::History));
  checker.onAuditAnswer(first, std::nullopt, "gone", at(5));
  CHECK_EQUAL(1U, broken(Promise::History));
  checker.onHistoryRead("p", "nothing of it", at(6));
  CHECK_EQUAL(2U, broken(Promise::History));
  checker.onHistoryRead("p", "a [[q||0]]", at(6));
  CHECK_EQUAL(3U, broken(Promise::History));
}

TEST(PromiseChecker, TooManyCallsOrTokensBreakTheBudget) {
  for (std::uint32_t step = 0; step < 3; ++step) {
    complete({"p", "", step}, chat, std::to_string(step));
  }
  CHECK_EQUAL(0U, broken(Promise::Budget));
  complete({"p", "", 3}, chat, "x");
  CHECK_EQUAL(1U, broken(Promise::Budget));
  checker.onRunFinished({"p", "", 3}, "d", "y", 100, at(9));
  CHECK_EQUAL(2U, broken(Promise::Budget));
}

TEST(PromiseChecker, StreamOfAProgramThatIsGoneMustEnd) {
  checker.onStreamHeld("e", first, at(0), seconds(30), at(80));
  CHECK_EQUAL(0U, broken(Promise::EngineMemory));
  checker.onStreamHeld("e", first, at(0), seconds(30), at(100));
  CHECK_EQUAL(1U, broken(Promise::EngineMemory));
  checker.onProgramGone("p", at(110));
  checker.onStreamHeld("e", second, at(100), seconds(3600), at(160));
  CHECK_EQUAL(1U, broken(Promise::EngineMemory));
  checker.onStreamHeld("e", second, at(100), seconds(3600), at(180));
  CHECK_EQUAL(2U, broken(Promise::EngineMemory));
}

TEST(PromiseChecker, ForeignOrIncompleteAnswersAreFound) {
  checker.onSubmitted(first, chat);
  checker.onRunStarted(first, "d", at(1));
  checker.onRunFinished(first, "d", "whole", 10, at(2));
  checker.onCompleted(first, {"who", false, false, ""}, at(3));
  CHECK_EQUAL(1U, broken(Promise::WholeAnswer));
  checker.onSubmitted(first, chat);
  checker.onCompleted(first, {"whole", true, false, "wh"}, at(4));
  CHECK_EQUAL(2U, broken(Promise::WholeAnswer));
}

TEST(PromiseChecker, NotRunIsALieAfterOrBeforeARun) {
  checker.onSubmitted(first, filing);
  checker.onRunStarted(first, "d", at(1));
  checker.onRefused(first, notRun(), at(2));
  CHECK_EQUAL(1U, broken(Promise::NotRun));
  checker.onSubmitted(second, filing);
  checker.onRefused(second, notRun(), at(3));
  CHECK_EQUAL(1U, broken(Promise::NotRun));
  checker.onRunStarted(second, "d", at(4));
  CHECK_EQUAL(2U, broken(Promise::NotRun));
}

TEST(PromiseChecker, NotRunThenAskedAgainMayRun) {
  checker.onSubmitted(first, filing);
  checker.onRefused(first, notRun(), at(2));
  complete(first, filing, "a");
  CHECK_EQUAL(0U, report.totalViolations());
}

TEST(PromiseChecker, NotRunReadLateByAPausedCallerWasTrueWhenItWasSaid) {
  checker.onSubmitted(first, filing);
  complete(first, filing, "a");  // By the caller that replaced the paused one; it ran at 1 s.
  checker.onRefused(first, notRun(), Instant(milliseconds(900)));
  CHECK_EQUAL(0U, report.totalViolations());
}

TEST(PromiseChecker, SecondRunOfAFilingIsFound) {
  complete(first, filing, "a");
  checker.onRunStarted(first, "d2", at(5));
  CHECK_EQUAL(1U, broken(Promise::AtMostOnce));
}

TEST(PromiseChecker, NewWorkAtALeavingBackendIsFoundAfterItsGrace) {
  checker.onBackendLeaving("e", true, at(10));
  checker.onDispatchArrived("e", at(14));
  CHECK_EQUAL(0U, broken(Promise::LeavingBackend));
  checker.onDispatchArrived("e", at(16));
  CHECK_EQUAL(1U, broken(Promise::LeavingBackend));
  checker.onBackendLeaving("e", false, at(20));
  checker.onDispatchArrived("e", at(30));
  CHECK_EQUAL(1U, broken(Promise::LeavingBackend));
}

TEST(PromiseChecker, StopThatCutsOffOrNeverDrainsIsFound) {
  checker.onPlannedStop(NodeId(1), 0, true, at(1));
  CHECK_EQUAL(0U, broken(Promise::PlannedStop));
  checker.onPlannedStop(NodeId(1), 2, true, at(1));
  checker.onPlannedStop(NodeId(1), 0, false, at(1));
  CHECK_EQUAL(2U, broken(Promise::PlannedStop));
}

TEST(PromiseChecker, BundleThatRevertsOrStaysAwayIsFound) {
  checker.onBundleSeen(NodeId(1), Incarnation(1), BundleVersion(3), at(1));
  checker.onBundleSeen(NodeId(1), Incarnation(2), BundleVersion(0), at(2));
  CHECK_EQUAL(0U, broken(Promise::Bundle));
  checker.onBundleSeen(NodeId(1), Incarnation(2), BundleVersion(3), at(3));
  checker.onBundleSeen(NodeId(1), Incarnation(2), BundleVersion(2), at(4));
  CHECK_EQUAL(1U, broken(Promise::Bundle));
  checker.onBundleDue(NodeId(1), BundleVersion(2), BundleVersion(3), at(0), at(9));
  CHECK_EQUAL(1U, broken(Promise::Bundle));
  checker.onBundleDue(NodeId(1), BundleVersion(2), BundleVersion(3), at(0), at(11));
  CHECK_EQUAL(2U, broken(Promise::Bundle));
}
