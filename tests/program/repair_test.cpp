// Background repair: replicas that restarted empty are filled again without a caller.
#include "program/epochs.h"
#include "program/journal_cluster.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

TEST_GROUP(Repair) {
  JournalCluster cluster{5, 11};
  static constexpr std::uint32_t kOwner = 4;  // Outside the group, so replicas fail on their own.
  static constexpr std::uint32_t kNext = 5;

  std::string open() { return *cluster.finish(cluster.call(kOwner, "pay")).answer; }
  /// The program stays, but nobody owns it.
  void release() {
    cluster.service(kOwner).beginStop(cluster.now());
    cluster.run(milliseconds(200));
    CHECK(cluster.service(kOwner).isDrained());
    cluster.restart(kOwner);
  }
  ReplicaTrust trustOf(std::uint32_t node) {
    return cluster.service(node).replica().trustOf(programIdOf(cluster.key));
  }
  void checkReplay(std::uint32_t node, const std::string& answer) {
    const CallReport& again = cluster.finish(cluster.call(node, "pay"));
    CHECK(again.replayed);
    STRCMP_EQUAL(answer.c_str(), again.answer->c_str());
    LONGS_EQUAL(1, cluster.runsOf("pay"));
  }
  void replaceOneAfterAnother(Duration pause) {
    for (const std::uint32_t node : {1U, 2U, 3U}) {
      cluster.run(pause);
      cluster.restart(node);
    }
    cluster.run(pause);
  }
};

TEST(Repair, aReleasedProgramOutlivesTheReplacementOfItsWholeGroup) {
  const std::string answer = open();
  release();
  replaceOneAfterAnother(seconds(20));
  checkReplay(kNext, answer);
}

TEST(Repair, aDeadOwnersProgramOutlivesTheReplacementOfItsWholeGroup) {
  const std::string answer = open();
  cluster.kill(kOwner);
  replaceOneAfterAnother(seconds(20));
  checkReplay(kNext, answer);
}

TEST(Repair, anIdleOwnersProgramOutlivesTheReplacementOfItsWholeGroup) {
  const std::string answer = open();
  replaceOneAfterAnother(seconds(20));
  cluster.kill(kOwner);
  checkReplay(kNext, answer);
}

TEST(Repair, aProgramOwnedByAMemberOutlivesTheReplacementOfItsWholeGroup) {
  const std::string answer = *cluster.finish(cluster.call(1, "pay")).answer;
  replaceOneAfterAnother(seconds(20));
  checkReplay(kNext, answer);
}

TEST(Repair, aRestartedReplicaIsFilledWithinSecondsWithoutACaller) {
  open();
  release();
  cluster.restart(2);
  cluster.run(seconds(4));
  CHECK(trustOf(2) == ReplicaTrust::Filled);
  // The first member did it, and let go.
  CHECK(cluster.service(1).isDrained());
}

TEST(Repair, theNextMemberStepsInForTheFirst) {
  const std::string answer = open();
  release();
  cluster.pause(1);
  cluster.restart(2);
  cluster.run(seconds(2));
  cluster.resume(1);  // It answered no barrier: only now can the restarted replica be filled.
  cluster.cut(1, 2);
  cluster.run(seconds(2));
  cluster.cut(1, 2, false);
  cluster.run(seconds(8));
  CHECK(trustOf(2) == ReplicaTrust::Filled);
  checkReplay(kNext, answer);
}

TEST(Repair, twoLossesWithinTheRepairTimeAreRefusedAndNothingRunsTwice) {
  open();
  release();
  cluster.restart(1);
  cluster.restart(2);
  cluster.run(seconds(20));
  const CallReport& again = cluster.finish(cluster.call(kNext, "pay"));
  CHECK(again.error.has_value());
  CHECK(again.error->kind == ErrorKind::QuorumUnavailable);
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(Repair, itDoesNotStealFromALiveOwner) {
  open();
  const CallHandle running = cluster.call(kOwner, "long");
  cluster.run(milliseconds(20));
  CHECK(cluster.report(running).dispatched);
  cluster.restart(2);
  CHECK(cluster.finish(running).answer.has_value());
  cluster.run(seconds(20));
  CHECK(trustOf(2) == ReplicaTrust::Filled);
  // Still the owner: it serves without an error, and others are sent to it.
  CHECK(cluster.finish(cluster.call(kOwner, "next")).answer.has_value());
  STRCMP_EQUAL("http://node-4",
               cluster.finish(cluster.call(kNext, "else")).error->location.c_str());
}

TEST(Repair, anotherCandidateOfTheSameRoundIsSentToTheLiveOwner) {
  open();
  // Node 5 asks for a first epoch above that of node 4; the replicas name node 4 all the same.
  STRCMP_EQUAL("http://node-4",
               cluster.finish(cluster.call(kNext, "else")).error->location.c_str());
}

TEST(Repair, aLostReleaseDoesNotKeepAProgramFromOthers) {
  const std::string answer = open();
  for (const std::uint32_t node : {1U, 2U, 3U}) {
    cluster.cut(kOwner, node);
  }
  cluster.service(kOwner).beginStop(cluster.now());
  cluster.run(seconds(1));
  for (const std::uint32_t node : {1U, 2U, 3U}) {
    cluster.cut(kOwner, node, false);
  }
  cluster.run(seconds(6));
  CHECK(cluster.service(kOwner).isDrained());
  cluster.restart(2);
  cluster.run(seconds(8));
  CHECK(trustOf(2) == ReplicaTrust::Filled);
  checkReplay(kNext, answer);
}

TEST(Repair, aPlannedStopWaitsForTheOtherCopiesButNotForEver) {
  open();
  cluster.kill(2);
  CHECK(cluster.finish(cluster.call(kOwner, "next")).answer.has_value());  // Node 2 lacks it.
  cluster.service(kOwner).beginStop(cluster.now());
  cluster.run(seconds(4));
  CHECK(!cluster.service(kOwner).isDrained());
  cluster.run(seconds(2));
  CHECK(cluster.service(kOwner).isDrained());
}

TEST(Repair, aPlannedStopWaitsForAMemberThatAsksForARefill) {
  open();
  release();
  cluster.pause(3);  // Without its answer the restarted replica stays in recovery.
  cluster.restart(2);
  cluster.run(seconds(3));
  cluster.service(1).beginStop(cluster.now());
  cluster.run(seconds(1));
  CHECK(!cluster.service(1).isDrained());
  cluster.run(seconds(5));
  CHECK(cluster.service(1).isDrained());
}

TEST_GROUP(RepairPace){};

TEST(RepairPace, aNodesCopiesAreRefilledNoFasterThanTheKnob) {
  ProgramKnobs knobs;
  knobs.repairsPerSecond = 20;
  JournalCluster cluster{4, 13, {}, knobs};
  constexpr int kPrograms = 100;
  for (int index = 0; index < kPrograms; ++index) {
    cluster.key.name = "program-" + std::to_string(index);
    CHECK(cluster.finish(cluster.call(4, "open")).answer.has_value());
  }
  cluster.kill(4);
  cluster.restart(2);
  const auto filled = [&] {
    int count = 0;
    for (int index = 0; index < kPrograms; ++index) {
      ProgramKey key = cluster.key;
      key.name = "program-" + std::to_string(index);
      const auto trust = cluster.service(2).replica().trustOf(programIdOf(key));
      count += trust == ReplicaTrust::Filled ? 1 : 0;
    }
    return count;
  };
  cluster.run(seconds(2));
  // Nodes 1 and 3 introduce and refill at most 20 a second each, both steps counted.
  CHECK(filled() <= 2 * 2 * 20);
  cluster.run(seconds(28));
  LONGS_EQUAL(kPrograms, filled());
}

TEST_GROUP(ZoneLoss) {
  JournalCluster cluster{5, 17};
  static constexpr std::uint32_t kOwner = 4;
  static constexpr std::uint32_t kNext = 5;

  void loseTheZone() {
    for (const std::uint32_t node : {1U, 2U, 3U}) {
      cluster.kill(node);
    }
    cluster.kill(kOwner);
    cluster.run(seconds(30));
    for (const std::uint32_t node : {1U, 2U, 3U, kOwner}) {
      cluster.restart(node);
    }
  }
  void checkRefused(std::uint32_t node, const std::string& request) {
    const CallReport& report = cluster.finish(cluster.call(node, request));
    CHECK(report.error.has_value());
    CHECK(report.error->kind == ErrorKind::OutcomeNotKnown);
    CHECK(report.error->outcome == RunOutcome::OutcomeUnknown);
    CHECK(!report.error->remedy.empty());
  }
};

TEST(ZoneLoss, aNonRepeatableRequestIsNotRunAgain) {
  CHECK(cluster.finish(cluster.call(kOwner, "pay")).answer.has_value());
  loseTheZone();
  checkRefused(kNext, "pay");
  cluster.run(seconds(60));
  checkRefused(kNext, "pay");
  // Repeatable ones are served, and that does not make a later owner forget.
  CHECK(cluster.finish(cluster.call(kNext, "ask", true)).answer.has_value());
  cluster.kill(kNext);
  checkRefused(kOwner, "pay");
  LONGS_EQUAL(1, cluster.runsOf("pay"));
}

TEST(ZoneLoss, afterTheStatedTimeNewProgramsAreServedAgain) {
  CHECK(cluster.finish(cluster.call(kOwner, "pay")).answer.has_value());
  loseTheZone();
  cluster.run(seconds(1801));
  cluster.key.name = "new";
  CHECK(cluster.finish(cluster.call(kNext, "pay-2")).answer.has_value());
}

TEST(ZoneLoss, oneByOneReplacementLeavesNewProgramsAlone) {
  CHECK(cluster.finish(cluster.call(kOwner, "pay")).answer.has_value());
  for (const std::uint32_t node : {1U, 2U, 3U}) {
    cluster.run(seconds(20));
    cluster.restart(node);
  }
  cluster.run(seconds(20));
  cluster.key.name = "new";
  CHECK(cluster.finish(cluster.call(kOwner, "pay-2")).answer.has_value());
}

TEST(ZoneLoss, oneRestartLeavesNewProgramsAlone) {
  CHECK(cluster.finish(cluster.call(kOwner, "pay")).answer.has_value());
  cluster.restart(2);
  cluster.key.name = "new";
  CHECK(cluster.finish(cluster.call(kOwner, "pay-2")).answer.has_value());
}
