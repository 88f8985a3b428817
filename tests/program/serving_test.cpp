// Serving of calls by one live owner: quorum, order, replay, conflicts, history, budgets, closing.
#include "program/journal_cluster.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

TEST_GROUP(Serving) {
  JournalCluster cluster{4, 1};
  static std::string userTurn(const std::string& text) {
    return R"({"content":")" + text + R"(","role":"user"})";
  }
  static std::string assistantTurn(const std::string& text) {
    return R"({"content":")" + text + R"(","role":"assistant"})";
  }
  void checkError(CallHandle handle, ErrorKind kind, RunOutcome outcome) {
    const CallReport& report = cluster.finish(handle);
    CHECK(report.error.has_value());
    STRCMP_EQUAL(std::string(errorKindName(kind)).c_str(),
                 std::string(errorKindName(report.error->kind)).c_str());
    CHECK(report.error->outcome == outcome);
    CHECK(!report.error->remedy.empty());
  }
};

TEST(Serving, aCallIsAdmittedDispatchedOnceAndRecorded) {
  const CallReport& report = cluster.finish(cluster.call(1, "pay"));
  CHECK(report.answer.has_value());
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Serving, anOwnerOutsideTheGroupServesToo) {
  CHECK(cluster.finish(cluster.call(4, "pay")).answer.has_value());
}

TEST(Serving, theSameRequestGetsTheSameAnswerAndRunsOnce) {
  const std::string first = *cluster.finish(cluster.call(1, "pay")).answer;
  const CallReport& again = cluster.finish(cluster.call(1, "pay"));
  STRCMP_EQUAL(first.c_str(), again.answer->c_str());
  CHECK(again.replayed);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Serving, theSameRequestWhileUnderWayWaitsForTheSameAnswer) {
  const CallHandle first = cluster.call(1, "pay");
  const CallHandle second = cluster.call(1, "pay");
  cluster.run(milliseconds(20));
  const CallHandle third = cluster.call(1, "pay");
  const std::string answer = *cluster.finish(first).answer;
  STRCMP_EQUAL(answer.c_str(), cluster.finish(second).answer->c_str());
  STRCMP_EQUAL(answer.c_str(), cluster.finish(third).answer->c_str());
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Serving, theSameRequestIdWithAnotherContentIsAConflict) {
  cluster.finish(cluster.call(1, "pay", false, "[1]"));
  checkError(cluster.call(1, "pay", false, "[2]"), ErrorKind::RequestConflict, RunOutcome::NotRun);
}

TEST(Serving, callsOfOneBranchRunInOrderAndBranchesSideBySide) {
  const CallHandle first = cluster.call(1, "a");
  const CallHandle second = cluster.call(1, "b");
  const CallHandle aside = cluster.call(1, "c", false, "[]", "sub");
  cluster.run(milliseconds(30));
  CHECK(cluster.report(first).dispatched);
  CHECK(cluster.report(aside).dispatched);
  CHECK(!cluster.report(second).dispatched);
  CHECK(cluster.finish(second).answer.has_value());
}

TEST(Serving, aFullQueueIsRefusedWithRetryAfter) {
  cluster.finish(cluster.call(1, "open"));
  for (int index = 0; index < 17; ++index) {
    cluster.call(1, "queued-" + std::to_string(index));
  }
  const CallHandle last = cluster.call(1, "too many");
  checkError(last, ErrorKind::AdmissionRefused, RunOutcome::NotRun);
  CHECK(cluster.report(last).error->retryAfterSeconds > 0);
}

TEST(Serving, anotherNodeIsSentToTheLiveOwner) {
  cluster.finish(cluster.call(1, "a"));
  const CallHandle elsewhere = cluster.call(2, "b");
  checkError(elsewhere, ErrorKind::ProgramOwnedElsewhere, RunOutcome::NotRun);
  STRCMP_EQUAL("http://node-1", cluster.report(elsewhere).error->location.c_str());
}

TEST(Serving, aCallMustBeginWithTheKnownHistory) {
  const std::string first = userTurn("check my cover");
  const std::string answer =
      *cluster.finish(cluster.call(1, "turn-1", true, "[" + first + "]")).answer;
  const std::string known = first + "," + assistantTurn(answer);
  const std::string next = "[" + known + "," + userTurn("and the spine") + "]";
  checkError(cluster.call(1, "mixed", true,
                          "[" + userTurn("another customer") + "," + assistantTurn(answer) + "," +
                              first + "]"),
             ErrorKind::HistoryMismatch, RunOutcome::NotRun);
  checkError(cluster.call(1, "lost", true, "[" + first + "]"), ErrorKind::HistoryMismatch,
             RunOutcome::NotRun);
  CHECK(cluster.finish(cluster.call(1, "turn-2", true, next)).answer.has_value());
  const auto summary = cluster.service(1).summaryOf(cluster.key);
  CHECK(summary->history.find("check my cover") != std::string::npos);
  CHECK(summary->history.find("another customer") == std::string::npos);
  const std::string fromSummary = summary->history.substr(0, summary->history.size() - 1);
  CHECK(cluster
            .finish(cluster.call(1, "turn-3", true,
                                 fromSummary + "," + userTurn("replacement caller") + "]"))
            .answer.has_value());
}

TEST(Serving, messagesThatAreNoArrayAreRefused) {
  checkError(cluster.call(1, "bad", true, "{"), ErrorKind::InvalidField, RunOutcome::NotRun);
}

TEST(Serving, theBudgetHoldsForALoopingProgramWithSubAgents) {
  cluster.limits = BudgetLimits{5, 0, 0};
  unsigned answered = 0;
  for (int index = 0; index < 12; ++index) {
    const std::string branch = index % 2 == 0 ? "" : "sub";
    const auto& report =
        cluster.finish(cluster.call(1, "loop-" + std::to_string(index), false, "[]", branch));
    answered += report.answer ? 1 : 0;
    if (report.error) {
      STRCMP_EQUAL("calls_per_program", report.error->field.c_str());
    }
  }
  LONGS_EQUAL(5, answered);
}

TEST(Serving, tokensAreReservedByTheWorstCaseAndSettledByUse) {
  cluster.limits = BudgetLimits{0, 100, 0};
  CHECK(cluster.finish(cluster.call(1, "a", false, "[]", "", 90)).answer.has_value());
  // 7 were used: 93 are left, so 94 do not fit, but 93 do.
  checkError(cluster.call(1, "b", false, "[]", "", 94), ErrorKind::BudgetExceeded,
             RunOutcome::NotRun);
  CHECK(cluster.finish(cluster.call(1, "c", false, "[]", "", 93)).answer.has_value());
}

TEST(Serving, secondsAreReservedByTheTimeLimit) {
  cluster.limits = BudgetLimits{0, 0, 10};
  CHECK(cluster.finish(cluster.call(1, "a")).answer.has_value());
  cluster.timeLimit = seconds(11);
  checkError(cluster.call(1, "b"), ErrorKind::BudgetExceeded, RunOutcome::NotRun);
}

TEST(Serving, aClosedProgramReplaysButRunsNothingNew) {
  cluster.finish(cluster.call(1, "a"));
  CHECK(cluster.finish(cluster.close(1)).answer.has_value());
  CHECK(cluster.finish(cluster.call(1, "a")).replayed);
  checkError(cluster.call(1, "b"), ErrorKind::ProgramClosed, RunOutcome::NotRun);
}

TEST(Serving, closingWhatNeverWasIsNotFound) {
  checkError(cluster.close(1), ErrorKind::ProgramNotFound, RunOutcome::NotRun);
}

TEST(Serving, withoutAQuorumNothingRuns) {
  cluster.kill(2);
  cluster.kill(3);
  checkError(cluster.call(1, "pay"), ErrorKind::QuorumUnavailable, RunOutcome::NotRun);
  LONGS_EQUAL(0, cluster.runsOf("pay"));
}

TEST(Serving, aPlannedStopLetsTheRunningCallEndAndHandsOver) {
  const CallHandle running = cluster.call(1, "a");
  cluster.run(milliseconds(30));
  const CallHandle waiting = cluster.call(1, "b");
  cluster.service(1).beginStop(cluster.now());
  CHECK(!cluster.service(1).isDrained());
  CHECK(cluster.finish(running).answer.has_value());
  checkError(waiting, ErrorKind::NodeStopping, RunOutcome::NotRun);
  cluster.run(milliseconds(50));
  CHECK(cluster.service(1).isDrained());
  // No suspicion is needed: the release tells the next owner that it may seal.
  CHECK(cluster.finish(cluster.call(2, "a")).replayed);
  CHECK(cluster.finish(cluster.call(2, "c")).answer.has_value());
}

TEST(Serving, anIdleProgramIsClosedByItsLease) {
  cluster.finish(cluster.call(1, "a"));
  cluster.run(seconds(901));
  CHECK(cluster.service(1).summaryOf(cluster.key)->closed);
  cluster.run(seconds(302));
  CHECK(!cluster.service(1).summaryOf(cluster.key).has_value());
}
