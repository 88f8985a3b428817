// Under load first turns are turned away before later ones, runaways before all.
#include "routing/admission_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::routing;

TEST_GROUP(AdmissionPolicy) {
  AdmissionPolicy policy{{}};
  Replica replica;

  void setup() override { replica.entry.slots = 10; }
  bool admits(double load, WorkStage stage, std::uint32_t priority = 1) {
    replica.othersInFlight = load;
    return policy.admits(replica, {stage, priority});
  }
};

TEST(AdmissionPolicy, admitsEverythingAtAnEmptyReplica) {
  CHECK_TRUE(admits(0, WorkStage::Runaway));
  CHECK_TRUE(admits(0, WorkStage::FirstTurn));
  CHECK_TRUE(admits(0, WorkStage::Continuing));
}

TEST(AdmissionPolicy, turnsAwayInTheOrderOfWhatIsLost) {
  CHECK_FALSE(admits(7, WorkStage::Runaway));
  CHECK_TRUE(admits(7, WorkStage::FirstTurn));
  CHECK_FALSE(admits(13, WorkStage::FirstTurn));
  CHECK_TRUE(admits(13, WorkStage::Continuing));
  CHECK_FALSE(admits(21, WorkStage::Continuing));
}

TEST(AdmissionPolicy, admitsTheMostUrgentRouteALittleLonger) {
  CHECK_FALSE(admits(13, WorkStage::FirstTurn, 1));
  CHECK_TRUE(admits(13, WorkStage::FirstTurn, 0));
  CHECK_FALSE(admits(7, WorkStage::Runaway, 0));
}

TEST(AdmissionPolicy, turnsThatGoOnLeaveAFullReplicaForASpareOneWhileThereIsSpareRoom) {
  const AdmissionRequest turn{WorkStage::Continuing, 1};
  replica.othersInFlight = 4.9;
  CHECK_TRUE(policy.isSpare(replica));
  CHECK_TRUE(policy.takesElsewhere(replica, turn, true));
  CHECK_FALSE(policy.takesElsewhere(replica, turn, false));
  replica.othersInFlight = 5;
  CHECK_FALSE(policy.isSpare(replica));
  CHECK_FALSE(policy.takesElsewhere(replica, turn, true));
}

TEST(AdmissionPolicy, aProgramThatWasRefusedGoesWhereFirstTurnsDo) {
  const AdmissionRequest again{WorkStage::Continuing, 1, true};
  replica.othersInFlight = 11.9;
  CHECK_TRUE(policy.takesElsewhere(replica, again, false));
  CHECK_TRUE(policy.admits(replica, {WorkStage::FirstTurn, 1}));
  replica.othersInFlight = 12;
  CHECK_FALSE(policy.takesElsewhere(replica, again, false));
  CHECK_FALSE(policy.admits(replica, {WorkStage::FirstTurn, 1}));
}

TEST(AdmissionPolicy, firstTurnsAndRunawaysWaitForTheReplicaThatIsBestForThem) {
  CHECK_FALSE(policy.takesElsewhere(replica, {WorkStage::FirstTurn, 0, true}, true));
  CHECK_FALSE(policy.takesElsewhere(replica, {WorkStage::Runaway, 0, true}, true));
}
