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
    return policy.admits(replica, stage, priority);
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
