// Ownership moves: dead owners, paused owners that wake up, replicas that lost their memory.
#include "program/epochs.h"
#include "program/journal_cluster.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

TEST_GROUP(Takeover) {
  JournalCluster cluster{5, 7};
  static constexpr std::uint32_t kOwner = 4;  // Outside the group, so replicas fail on their own.
  static constexpr std::uint32_t kNext = 5;

  void open() { CHECK(cluster.finish(cluster.call(kOwner, "first")).answer.has_value()); }
  void pauseAndSuspect(std::uint32_t node) {
    cluster.pause(node);
    cluster.suspect(node);
  }
  void checkOutcome(CallHandle handle, ErrorKind kind, RunOutcome outcome) {
    const CallReport& report = cluster.finish(handle);
    CHECK(report.error.has_value());
    STRCMP_EQUAL(std::string(errorKindName(kind)).c_str(),
                 std::string(errorKindName(report.error->kind)).c_str());
    CHECK(report.error->outcome == outcome);
  }
};

TEST(Takeover, aDeadOwnersProgramGoesOnWithItsHistoryAndReplays) {
  open();
  const std::string answer = *cluster.finish(cluster.call(kOwner, "pay")).answer;
  cluster.kill(kOwner);
  const CallReport& again = cluster.finish(cluster.call(kNext, "pay"));
  CHECK(again.replayed);
  STRCMP_EQUAL(answer.c_str(), again.answer->c_str());
  CHECK(cluster.finish(cluster.call(kNext, "next")).answer.has_value());
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, aRestartedOwnerTakesItsOwnProgramBack) {
  open();
  cluster.restart(kOwner);
  CHECK(cluster.finish(cluster.call(kOwner, "first")).replayed);
}

TEST(Takeover, anIntentWithoutOutcomeIsUnknownAndNeverRunAgain) {
  open();
  const CallHandle cutShort = cluster.call(kOwner, "pay");
  cluster.run(milliseconds(20));
  CHECK(cluster.report(cutShort).dispatched);
  cluster.kill(kOwner);
  checkOutcome(cluster.call(kNext, "pay"), ErrorKind::OutcomeNotKnown, RunOutcome::OutcomeUnknown);
  checkOutcome(cluster.call(kNext, "pay"), ErrorKind::OutcomeNotKnown, RunOutcome::OutcomeUnknown);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, aRepeatableRequestMayBeAskedAgain) {
  open();
  cluster.call(kOwner, "ask", true);
  cluster.run(milliseconds(20));
  cluster.kill(kOwner);
  CHECK(cluster.finish(cluster.call(kNext, "ask", true)).answer.has_value());
  LONGS_EQUAL(2, cluster.runsOf("ask"));
}

TEST(Takeover, aPausedOwnerIsFencedWhenItWakesUp) {
  open();
  pauseAndSuspect(kOwner);
  CHECK(cluster.finish(cluster.call(kNext, "pay")).answer.has_value());
  cluster.resume(kOwner);
  // It still believes that it owns the program; its intent reaches no quorum.
  checkOutcome(cluster.call(kOwner, "pay"), ErrorKind::StaleEpoch, RunOutcome::NotRun);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
  // Now it knows, and sends callers to the new owner.
  checkOutcome(cluster.call(kOwner, "pay"), ErrorKind::ProgramOwnedElsewhere, RunOutcome::NotRun);
}

TEST(Takeover, aFalselySuspectedOwnerEndsItsDispatchedCallAsUnknown) {
  open();
  const CallHandle dispatched = cluster.call(kOwner, "pay");
  cluster.run(milliseconds(20));
  CHECK(cluster.report(dispatched).dispatched);
  cluster.suspect(kOwner);
  checkOutcome(cluster.call(kNext, "pay"), ErrorKind::OutcomeNotKnown, RunOutcome::OutcomeUnknown);
  checkOutcome(dispatched, ErrorKind::StaleEpoch, RunOutcome::OutcomeUnknown);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, twoCandidatesRaceAndTheRequestRunsOnce) {
  open();
  cluster.kill(kOwner);
  const CallHandle one = cluster.call(1, "pay");
  const CallHandle two = cluster.call(2, "pay");
  cluster.finish(one);
  cluster.finish(two);
  CHECK(cluster.askUntilAnswered("pay").answer.has_value());
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, aRestartedReplicaIsRefilledWithoutEndingTheOwnersCalls) {
  open();
  const ProgramId program = programIdOf(cluster.key);
  const CallHandle running = cluster.call(kOwner, "pay");
  cluster.run(milliseconds(20));
  cluster.restart(2);
  CHECK(cluster.finish(running).answer.has_value());
  cluster.run(milliseconds(500));
  CHECK(cluster.service(2).replica().trustOf(program) == ReplicaTrust::Filled);
  // The refilled replica counts: with one of the others gone the program goes on.
  cluster.kill(1);
  CHECK(cluster.finish(cluster.call(kOwner, "next")).answer.has_value());
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, aReplicaThatForgotItsPromiseDoesNotLetAPausedOwnerRun) {
  open();
  pauseAndSuspect(kOwner);
  // The new owner reaches replicas 1 and 2 only; replica 3 still promises the old epoch.
  cluster.cut(kNext, 3);
  CHECK(cluster.finish(cluster.call(kNext, "pay")).answer.has_value());
  cluster.restart(2);
  cluster.cut(kOwner, 1);  // So that replica 1 cannot tell the old owner.
  cluster.resume(kOwner);
  const CallReport& report = cluster.finish(cluster.call(kOwner, "pay"));
  CHECK(!report.dispatched);
  CHECK(report.error->outcome == RunOutcome::NotRun);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, aReplicaThatForgotAnIntentDoesNotLetACandidateRunItAgain) {
  open();
  // The intent stands on replicas 1 and 2; replica 3 lacks it.
  cluster.cut(kOwner, 3);
  cluster.call(kOwner, "pay");
  cluster.run(milliseconds(20));
  LONGS_EQUAL(1, cluster.runsOf("pay"));
  cluster.kill(kOwner);
  cluster.restart(2);
  cluster.cut(kNext, 1);  // The candidate sees only the restarted replica and the lagging one.
  checkOutcome(cluster.call(kNext, "pay"), ErrorKind::QuorumUnavailable, RunOutcome::NotRun);
  cluster.cut(kNext, 1, false);
  checkOutcome(cluster.call(kNext, "pay"), ErrorKind::OutcomeNotKnown, RunOutcome::OutcomeUnknown);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Takeover, anAnswerOfAnEarlierLifeOfAReplicaCompletesNoQuorum) {
  open();
  const ProgramId program = programIdOf(cluster.key);
  const Epoch before = cluster.service(1).replica().promisedOf(program);
  cluster.restart(2);
  cluster.finish(cluster.call(kOwner, "pay"));
  cluster.run(milliseconds(500));
  // The barrier put every epoch that the earlier life can have granted below all promises.
  for (const std::uint32_t node : {1U, 2U, 3U}) {
    CHECK(barrierAbove(before) < cluster.service(node).replica().promisedOf(program));
  }
}

TEST(Takeover, withOneReplicaDeadNewProgramsStillOpen) {
  open();
  cluster.kill(3);
  cluster.key.name = "another";
  CHECK(cluster.finish(cluster.call(kOwner, "pay")).answer.has_value());
}

TEST(Takeover, budgetAndHistoryOutliveTheOwner) {
  cluster.limits = BudgetLimits{3, 0, 0};
  open();
  cluster.call(kOwner, "lost");
  cluster.run(milliseconds(20));
  cluster.kill(kOwner);
  CHECK(cluster.finish(cluster.call(kNext, "third")).answer.has_value());
  checkOutcome(cluster.call(kNext, "fourth"), ErrorKind::BudgetExceeded, RunOutcome::NotRun);
}
