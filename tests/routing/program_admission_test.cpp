// Guards against a service that is filled by programs that start, so that none ends in time, and
// against a limit that is lowered or raised without a reason.
#include "routing/program_admission.h"

#include <string>
#include <vector>

#include "program_replay.h"
#include "routing/admission_policy.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;
using namespace gorsetrail::routing::testing;

namespace {

constexpr double kSlots = 100;
constexpr std::uint32_t kMostUrgent = 0;
constexpr std::uint32_t kLessUrgent = 1;

/// Programs that the replay's engine can end in the five seconds of a burst: a program occupies a
/// slot for 0.6 s.
constexpr int kBurstCapacity = 1000;

struct BurstResult {
  int inTime = 0;         ///< Of the programs that began in the burst.
  int lateAfter = 0;      ///< Of the programs that began from 3 s after its end on.
  double cutOffLoad = 0;  ///< Highest load per slot caused by nodes without digests.
};

/// Replays three usual seconds, five of 2.3 times the load and seven usual ones.
/// \param beforeSecond changes the replay before each second.
template <typename Change>
BurstResult replayBurst(bool usesDecision, Change beforeSecond) {
  constexpr int kNodes = 21;
  ProgramReplay replay(kNodes, usesDecision);
  BurstResult result;
  for (int second = 0; second < 15; ++second) {
    beforeSecond(replay, second);
    replay.runSecond(second >= 3 && second < 8 ? 2.3 : 1.0);
    result.cutOffLoad = std::max(result.cutOffLoad, replay.cutOffLoadPerSlot());
  }
  // Programs of the last second are still in progress.
  for (std::size_t second = 3; second < 14; ++second) {
    const ReplaySecond& counts = replay.seconds()[second];
    result.inTime += second < 8 ? counts.inTime : 0;
    result.lateAfter += second >= 11 ? counts.begun - counts.inTime : 0;
  }
  return result;
}

}  // namespace

TEST_GROUP(ProgramAdmission) {
  ProgramAdmission admission{{}};
  Instant now;
  OtherNodes others{9, 9};
  std::vector<ProgramLimitReport> reports;

  static ServiceLoad loadOf(double perSlot, double own = 0) {
    return {kSlots, perSlot * kSlots, own};
  }
  /// Runs steps of 100 ms.
  void update(int steps, double load, double inflation, double rejected = 0,
              double completed = 100) {
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(100);
      const ServiceReport report{0, completed, rejected, inflation};
      for (ProgramLimitReport& change :
           admission.update({{"model", loadOf(load), report}}, others, now)) {
        reports.push_back(std::move(change));
      }
    }
  }
  bool starts(std::uint32_t priority, const ServiceLoad& load) {
    return std::holds_alternative<ProgramAdmitted>(admission.decide({"model", priority}, load));
  }
  ProgramRefusalCause causeOf(std::uint32_t priority, const ServiceLoad& load) {
    return std::get<ProgramNotAdmitted>(admission.decide({"model", priority}, load)).cause;
  }
};

TEST(ProgramAdmission, programsStartUpToTheInitialLimitAndLessUrgentOnesUpToAPartOfIt) {
  CHECK_TRUE(starts(kLessUrgent, loadOf(0.99)));
  CHECK_FALSE(starts(kLessUrgent, loadOf(1.0)));
  CHECK_TRUE(starts(kMostUrgent, loadOf(1.19)));
  CHECK_FALSE(starts(kMostUrgent, loadOf(1.2)));
  LONGS_EQUAL(2, admission.refusals());
  CHECK_TRUE(starts(kLessUrgent, {}));  // Without replicas the request is refused for that reason.
}

// Without the pause between decreases one episode, which reports show for a second, takes most of
// the limit.
TEST(ProgramAdmission, slowTurnsLowerTheLimitOnceInFiveSteps) {
  update(1, 1.1, 2.0);
  DOUBLES_EQUAL(1.08, admission.limitOf("model"), 1e-9);
  update(4, 1.1, 2.0);
  DOUBLES_EQUAL(1.08, admission.limitOf("model"), 1e-9);
  update(1, 1.1, 2.0);
  DOUBLES_EQUAL(0.972, admission.limitOf("model"), 1e-9);
}

TEST(ProgramAdmission, rejectedDispatchesLowerTheLimit) {
  update(1, 1.1, 1.0, 4.0);
  CHECK_TRUE(admission.limitOf("model") > 1.2);
  update(1, 1.1, 1.0, 8.0);
  DOUBLES_EQUAL(1.0935, admission.limitOf("model"), 1e-9);
}

// Replicas may slow down for 600 ms without an overload; reports show it for 1.3 s.
TEST(ProgramAdmission, noiseTakesAtMostThreeDecreasesAndOnlyWhileTheLimitIsInUse) {
  update(13, 1.0, 2.5);
  CHECK_TRUE(admission.limitOf("model") > 1.2 * 0.72);
  update(30, 1.1, 1.2);
  CHECK_TRUE(admission.limitOf("model") > 1.2);
  const double before = admission.limitOf("model");
  update(13, 0.5, 2.5);
  DOUBLES_EQUAL(before, admission.limitOf("model"), 1e-9);
}

TEST(ProgramAdmission, theLimitRisesOnlyWhileItIsInUseAndTurnsAreMeasured) {
  update(20, 0.5, 1.1);
  DOUBLES_EQUAL(1.2, admission.limitOf("model"), 1e-9);
  update(20, 1.1, 1.0, 0, 0);
  DOUBLES_EQUAL(1.2, admission.limitOf("model"), 1e-9);
  update(5, 1.1, 1.1);
  DOUBLES_EQUAL(1.275, admission.limitOf("model"), 1e-9);
  update(100, 1.4, 1.1);
  DOUBLES_EQUAL(1.45, admission.limitOf("model"), 1e-9);
}

TEST(ProgramAdmission, theLimitHasAFloorAtWhichProgramsStillStart) {
  for (int step = 0; step < 100; ++step) {
    update(5, admission.limitOf("model"), 3.0);
  }
  DOUBLES_EQUAL(0.5, admission.limitOf("model"), 1e-9);
  update(20, 0.2, 3.0);
  CHECK_TRUE(starts(kLessUrgent, loadOf(0.2)));
}

// A backlog far above the limit is made of programs that have started. Lowering the limit further
// does not shorten it, and leaves slots free once it is gone.
TEST(ProgramAdmission, aBacklogFarAboveTheLimitDoesNotLowerItFurther) {
  update(30, 2.0, 4.0);
  DOUBLES_EQUAL(1.2, admission.limitOf("model"), 1e-9);
  CHECK_FALSE(starts(kMostUrgent, loadOf(2.0)));
}

// Nodes see each other's programs 100 to 200 ms late and filled the same free slots all at once.
TEST(ProgramAdmission, whileTheLimitIsInUseANodeStartsItsShareOfTheRoom) {
  update(1, 1.0, 1.2);
  update(3, 0.9, 1.2);  // Room for 30 programs, three at each node; a node saves up one start.
  int started = 0;
  while (started < 100 && starts(kMostUrgent, loadOf(0.9))) {
    ++started;
  }
  LONGS_EQUAL(1, started);
  CHECK_TRUE(ProgramRefusalCause::Pace == causeOf(kMostUrgent, loadOf(0.9)));
  update(1, 0.9, 1.2);
  CHECK_TRUE(starts(kMostUrgent, loadOf(0.9)));
}

TEST(ProgramAdmission, startsAreNotPacedWhenTheLimitIsNotInUse) {
  update(1, 1.0, 1.2);
  update(11, 0.4, 1.0);
  for (int program = 0; program < 40; ++program) {
    CHECK_TRUE(starts(kLessUrgent, loadOf(0.4)));
  }
}

// Nodes that were cut off admitted programs without an end, since they saw only their own load.
TEST(ProgramAdmission, withoutDigestsANodeStartsUpToItsEqualShare) {
  update(10, 1.1, 1.6);
  const double learned = admission.limitOf("model");
  others = {9, 0};
  update(20, 1.0, 3.0);
  DOUBLES_EQUAL(learned, admission.limitOf("model"), 1e-9);
  int own = 0;
  while (own < 100 && starts(kMostUrgent, loadOf(0.01 * own, own))) {
    ++own;
  }
  LONGS_EQUAL(static_cast<int>(learned * kSlots / 10), own);
  CHECK_TRUE(ProgramRefusalCause::OwnRequests == causeOf(kMostUrgent, loadOf(0.01 * own, own)));
}

TEST(ProgramAdmission, withoutDigestsANodeOfAFleetWithFewSlotsStillStartsOneProgram) {
  others = {399, 0};
  update(1, 0, 1.0);
  CHECK_TRUE(starts(kLessUrgent, loadOf(0, 0)));
  CHECK_FALSE(starts(kLessUrgent, loadOf(0.01, 1)));
}

TEST(ProgramAdmission, aNodeWithoutOtherNodesKnowsTheLoad) {
  others = {};
  update(1, 0.3, 1.0);
  CHECK_TRUE(starts(kLessUrgent, loadOf(0.3, 30)));
}

TEST(ProgramAdmission, aRestartedNodeAndAServiceThatReturnsHaveTheInitialLimit) {
  update(1, 1.1, 2.0);
  CHECK_TRUE(admission.limitOf("model") < 1.2);
  DOUBLES_EQUAL(1.2, ProgramAdmission({}).limitOf("model"), 1e-9);
  admission.update({}, others, now);
  LONGS_EQUAL(0, admission.limits().size());
  DOUBLES_EQUAL(1.2, admission.limitOf("model"), 1e-9);
}

TEST(ProgramAdmission, changesOfATenthAreReportedAtMostOnceASecond) {
  update(1, 1.1, 2.0, 1);
  LONGS_EQUAL(1, reports.size());
  DOUBLES_EQUAL(1.08, reports[0].limit, 1e-9);
  DOUBLES_EQUAL(1.1, reports[0].load, 1e-9);
  DOUBLES_EQUAL(2.0, reports[0].inflation, 1e-9);
  DOUBLES_EQUAL(1.0 / 101, reports[0].rejectedFraction, 1e-9);
  update(9, 1.1, 2.0);
  LONGS_EQUAL(1, reports.size());
  update(1, 1.1, 2.0);
  LONGS_EQUAL(2, reports.size());
}

TEST(ProgramAdmission, reportsOfThisAndOtherNodesAreWeightedByCompletedRequests) {
  const ServiceReport merged = mergedReport({7, 10, 1, 1.0}, {7, 30, 3, 2.0});
  DOUBLES_EQUAL(1.75, merged.inflation, 1e-9);
  DOUBLES_EQUAL(4.0 / 44, rejectedFractionOf(merged), 1e-9);
  DOUBLES_EQUAL(1.0, mergedReport({}, {}).inflation, 1e-9);
  DOUBLES_EQUAL(0.0, rejectedFractionOf({}), 1e-9);
}

// On P, programs past their deadline kept 0.6 of the slots also while turns took three times as
// long.
TEST(ProgramAdmission, aServiceThatSlowsDownLeavesLessToABacklogOfOverduePrograms) {
  const AdmissionPolicy policy{{}};
  Replica replica;
  replica.entry.slots = 10;
  replica.othersInFlight = 4;
  const auto admitsOverdue = [&] {
    return policy.admits(replica,
                         {WorkStage::Overdue, kMostUrgent, {}, admission.limitOf("model")});
  };
  CHECK_TRUE(admitsOverdue());
  for (int step = 0; step < 10; ++step) {
    update(5, admission.limitOf("model"), 3.0);
  }
  CHECK_FALSE(admitsOverdue());
  replica.othersInFlight = 1;
  CHECK_TRUE(admitsOverdue());
}

// A burst of 2.3 times the load: without the decision almost all programs start and miss their
// deadlines for each other.
TEST(ProgramAdmission, inABurstThreeQuartersOfTheCapacityGoToProgramsThatEndInTime) {
  const auto nothing = [](ProgramReplay&, int) {};
  CHECK_TRUE(replayBurst(false, nothing).inTime < kBurstCapacity / 2);
  const BurstResult result = replayBurst(true, nothing);
  CHECK_TRUE(result.inTime >= kBurstCapacity * 3 / 4);
  LONGS_EQUAL(0, result.lateAfter);
}

TEST(ProgramAdmission, inABurstAThirdOfTheNodesWithoutDigestsStaysWithinItsShare) {
  const auto cutOff = [](ProgramReplay& replay, int second) {
    replay.firstCutOffNode = second >= 3 && second < 9 ? 14 : ProgramReplay::kNoNode;
  };
  CHECK_TRUE(replayBurst(false, cutOff).cutOffLoad > 1.2);
  const BurstResult result = replayBurst(true, cutOff);
  // A third of the highest limit, and programs that have started.
  CHECK_TRUE(result.cutOffLoad < 0.6);
  CHECK_TRUE(result.inTime >= kBurstCapacity * 3 / 4);
  LONGS_EQUAL(0, result.lateAfter);
}

// Programs of a failed node have started, so that the nodes to which they move do not refuse them.
TEST(ProgramAdmission, inABurstAFifthOfTheNodesFailsAndProgramsStillEndInTime) {
  const auto fail = [](ProgramReplay& replay, int second) {
    for (std::size_t node = 0; second == 6 && node < 4; ++node) {
      replay.restart(node);
    }
  };
  CHECK_TRUE(replayBurst(false, fail).inTime < kBurstCapacity / 2);
  const BurstResult result = replayBurst(true, fail);
  CHECK_TRUE(result.inTime >= kBurstCapacity * 3 / 4);
  LONGS_EQUAL(0, result.lateAfter);
}

TEST(ProgramAdmission, underUsualLoadEveryProgramStartsAlsoWhereNodesDiffer) {
  ProgramReplay replay(21, true);
  replay.isSkewed = true;
  for (int second = 0; second < 6; ++second) {
    replay.runSecond(1.0);
  }
  for (std::size_t second = 0; second < 5; ++second) {
    LONGS_EQUAL(replay.seconds()[second].begun, replay.seconds()[second].inTime);
  }
}
