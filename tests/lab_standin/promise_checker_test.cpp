#include "lab/load/promise_checker.h"

#include "lab/standin/answer_text.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::load;

// Each test feeds the checker a broken promise and, beside it, the kept one.
TEST_GROUP(PromiseChecker) {
  PromiseChecker checker{seconds(10)};
  ProgramIdentity program{"paino-lumo", {"hall-1", "press-a", "order-1"}};
  ProgramIdentity other{"paino-lumo", {"hall-1", "press-b", "order-1"}};
  const std::string digest = standin::messagesDigest("[1]");

  std::uint64_t violations(Promise promise) { return checker.tally().violations(promise); }
  void expectOnly(Promise promise, std::uint64_t count) {
    UNSIGNED_LONGS_EQUAL(count, violations(promise));
    UNSIGNED_LONGS_EQUAL(count, checker.tally().totalViolations());
    CHECK(checker.tally().checks(promise) > 0);
  }
  void start(const std::string& key, std::uint32_t sequence, bool application = false,
             const std::string& branch = "") {
    const std::string messages = application ? contentOf(key) : digest;
    checker.on(CallStarted{program, branch, key, messages, application, sequence});
  }
  CallAnswered answer(const std::string& key, std::uint32_t number) {
    return answerOf(program, key, number, digest);
  }
  CallAnswered answerOf(const ProgramIdentity& owner, const std::string& key, std::uint32_t number,
                        const std::string& messages) {
    CallAnswered answered;
    answered.key = key;
    answered.callNumber = number;
    answered.completionTokens = 40;
    answered.content = standin::answerText(
        {programIdOf(owner.key).toHex() + ".1." + std::to_string(number) + ".1", messages}, 40);
    return answered;
  }
  static std::string contentOf(const std::string& key) {
    return standin::messagesDigest("[\"" + key + "\"]");
  }
  CallAnswered receipt(const std::string& key, const std::string& keyInReceipt) {
    CallAnswered answered;
    answered.key = key;
    answered.callNumber = 1;
    answered.content = R"({"receipt":"app-)" + contentOf(keyInReceipt) + R"(-1","request_id":")" +
                       programIdOf(program.key).toHex() + R"(.1.1.1"})";
    return answered;
  }
};

TEST(PromiseChecker, CallNumbersMustRiseWithinABranch) {
  start("a", 1);
  start("b", 2);
  start("helper", 1, false, "helper");
  checker.on(answer("a", 5));
  checker.on(answer("helper", 3));
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(answer("b", 4));
  expectOnly(Promise::Order, 1);
}

TEST(PromiseChecker, EngineMustSeeTheProgramsOwnMessages) {
  start("a", 1);
  start("b", 2);
  checker.on(answer("a", 1));
  checker.on(answerOf(program, "b", 2, standin::messagesDigest("[2]")));
  expectOnly(Promise::History, 1);
}

TEST(PromiseChecker, AnswerOfAnotherProgramIsNoAnswer) {
  start("a", 1);
  checker.on(answerOf(other, "a", 1, digest));
  expectOnly(Promise::WholeAnswer, 1);
}

TEST(PromiseChecker, CutAnswerOrUnendedStreamIsNotWhole) {
  start("a", 1);
  start("b", 2);
  start("c", 3);
  CallAnswered cut = answer("a", 1);
  cut.content.resize(cut.content.size() - 4);
  checker.on(cut);
  CallAnswered unended = answer("b", 2);
  unended.ended = false;
  checker.on(unended);
  CallAnswered miscounted = answer("c", 3);
  ++miscounted.completionTokens;
  checker.on(miscounted);
  expectOnly(Promise::WholeAnswer, 3);
}

TEST(PromiseChecker, AnswerToACallNeverMadeIsAViolation) {
  checker.on(answer("nobody", 1));
  expectOnly(Promise::WholeAnswer, 1);
}

TEST(PromiseChecker, ReceiptOfAnotherRequestIsNoAnswer) {
  start("pay-1", 1, true);
  checker.on(receipt("pay-1", "pay-2"));
  expectOnly(Promise::WholeAnswer, 1);
}

TEST(PromiseChecker, RepeatMustGetTheSameAnswer) {
  start("a", 1);
  checker.on(answer("a", 1));
  checker.on(answer("a", 1));
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(answer("a", 2));
  expectOnly(Promise::AtMostOnce, 1);
}

TEST(PromiseChecker, SecondRunIsAViolationAlsoOnAnotherReplica) {
  start("pay-1", 1, true);
  checker.on(receipt("pay-1", "pay-1"));
  checker.on(RunsCounted{contentOf("pay-1"), 1});
  checker.on(RunsCounted{contentOf("pay-1"), 1});
  checker.finish(true);
  expectOnly(Promise::AtMostOnce, 1);
}

TEST(PromiseChecker, AnswerWithoutARunIsMadeUp) {
  start("pay-1", 1, true);
  checker.on(receipt("pay-1", "pay-1"));
  checker.finish(true);
  expectOnly(Promise::WholeAnswer, 1);
}

TEST(PromiseChecker, NotRunMustMeanNoRun) {
  start("pay-1", 1, true);
  start("pay-2", 2, true);
  checker.on(CallRefused{"pay-1", "admission_refused", RunOutcome::NotRun});
  checker.on(CallRefused{"pay-2", "outcome_not_known", RunOutcome::OutcomeUnknown});
  checker.on(RunsCounted{contentOf("pay-1"), 1});
  checker.on(RunsCounted{contentOf("pay-2"), 1});
  checker.finish(true);
  expectOnly(Promise::NotRunIsTrue, 1);
}

TEST(PromiseChecker, AttemptThatWasNotRunLeavesOneRunToTheAnsweredOne) {
  start("pay-1", 1, true);
  checker.on(CallRefused{"pay-1", "admission_refused", RunOutcome::NotRun});
  checker.on(receipt("pay-1", "pay-1"));
  checker.on(RunsCounted{contentOf("pay-1"), 2});
  checker.finish(true);
  UNSIGNED_LONGS_EQUAL(1, violations(Promise::NotRunIsTrue));
  UNSIGNED_LONGS_EQUAL(1, violations(Promise::AtMostOnce));
}

TEST(PromiseChecker, NotRunAfterAnAnswerIsALie) {
  start("a", 1);
  checker.on(answer("a", 1));
  checker.on(CallRefused{"a", "admission_refused", RunOutcome::NotRun});
  expectOnly(Promise::NotRunIsTrue, 1);
}

TEST(PromiseChecker, CallsAndTokensStayInTheBudget) {
  checker.setLimits("paino-lumo", "press-a", {2, 100});
  start("a", 1);
  start("b", 2);
  start("c", 3);
  checker.on(answer("a", 1));
  checker.on(answer("b", 2));
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(answer("c", 3));
  expectOnly(Promise::Budget, 1);
}

TEST(PromiseChecker, LoopingProgramMustBeStopped) {
  checker.on(ProgramEnded{program, true, true});
  checker.on(ProgramEnded{program, false, false});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(ProgramEnded{program, true, false});
  expectOnly(Promise::Budget, 1);
}

TEST(PromiseChecker, HistoryMustHoldEveryAnswerInOrder) {
  start("a", 1);
  start("b", 2);
  checker.on(answer("a", 1));
  checker.on(answer("b", 2));
  const std::string first = "\"" + answer("a", 1).content + "\"";
  const std::string second = "\"" + answer("b", 2).content + "\"";
  checker.on(HistorySeen{program, first + second});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(HistorySeen{program, second + first});
  checker.on(HistorySeen{program, first});
  expectOnly(Promise::History, 2);
}

TEST(PromiseChecker, ApplicationRequestsStandBesideTheHistory) {
  start("pay-1", 1, true);
  checker.on(receipt("pay-1", "pay-1"));
  checker.on(HistorySeen{program, "[]"});
  expectOnly(Promise::History, 0);
}

TEST(PromiseChecker, HistoryMustNotHoldAnotherProgramsAnswer) {
  checker.on(HistorySeen{program, answerOf(other, "x", 1, digest).content});
  expectOnly(Promise::History, 1);
}

TEST(PromiseChecker, BundleMustNotGoBackOnOneNode) {
  const Instant start{seconds(100)};
  checker.on(StatusSeen{"paino-lumo", 1, 1, 5, start});
  checker.on(StatusSeen{"paino-lumo", 1, 1, 4, start + seconds(1)});
  expectOnly(Promise::BundleInForce, 1);
}

TEST(PromiseChecker, BundleMustBeInForceEverywhereAfterTheGrace) {
  const Instant start{seconds(100)};
  checker.on(StatusSeen{"paino-lumo", 1, 1, 5, start});
  checker.on(StatusSeen{"paino-lumo", 2, 1, 4, start + seconds(9)});
  checker.on(StatusSeen{"brazos-bend", 2, 1, 4, start + seconds(9)});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(StatusSeen{"paino-lumo", 2, 1, 4, start + seconds(19)});
  expectOnly(Promise::BundleInForce, 1);
}

TEST(PromiseChecker, RestartedNodeMayLearnTheBundleAnew) {
  const Instant start{seconds(100)};
  checker.on(StatusSeen{"paino-lumo", 1, 1, 5, start});
  checker.on(StatusSeen{"paino-lumo", 1, 2, 0, start + seconds(60)});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(StatusSeen{"paino-lumo", 1, 2, 0, start + seconds(70)});
  expectOnly(Promise::BundleInForce, 1);
}

TEST(PromiseChecker, LeavingBackendMustGetNothingNew) {
  checker.on(LeavingWatched{"lm-1", 7, 7});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(LeavingWatched{"lm-1", 7, 8});
  expectOnly(Promise::Leaving, 1);
}

TEST(PromiseChecker, PlannedStopMustNotCutACall) {
  start("a", 1);
  checker.on(AttemptEnded{"a", 2, false, true});
  checker.on(AttemptEnded{"a", 3, true, false});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(AttemptEnded{"a", 3, true, true});
  expectOnly(Promise::PlannedStop, 1);
}

TEST(PromiseChecker, EnginesMustHoldNothingAfterTheRun) {
  checker.on(HoldsSeen{"lm-1", 0});
  UNSIGNED_LONGS_EQUAL(0, checker.tally().totalViolations());
  checker.on(HoldsSeen{"lm-1", 2});
  expectOnly(Promise::EngineMemory, 1);
}
