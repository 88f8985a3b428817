// Load limits per program stage, spare capacity, and overflow to other replicas.
#include "routing/admission_policy.h"

#include <string>
#include <vector>
// CppUTest redefines `new`: it comes after the standard headers.
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

TEST(AdmissionPolicy, admitsEveryStageAtAnIdleReplica) {
  CHECK_TRUE(admits(0, WorkStage::Runaway));
  CHECK_TRUE(admits(0, WorkStage::FirstTurn));
  CHECK_TRUE(admits(0, WorkStage::Continuing));
}

TEST(AdmissionPolicy, refusesRunawaysFirstAndContinuingProgramsLast) {
  CHECK_FALSE(admits(7, WorkStage::Runaway));
  CHECK_TRUE(admits(7, WorkStage::FirstTurn));
  CHECK_FALSE(admits(13, WorkStage::FirstTurn));
  CHECK_TRUE(admits(13, WorkStage::Continuing));
  CHECK_FALSE(admits(21, WorkStage::Continuing));
}

// After a burst, programs past their deadline kept engines busy for ten seconds, and new programs
// missed their deadlines for them.
TEST(AdmissionPolicy, overdueProgramsUseOnlyFreeSlots) {
  CHECK_TRUE(admits(5, WorkStage::Overdue));
  CHECK_FALSE(admits(6, WorkStage::Overdue));
  CHECK_FALSE(admits(6, WorkStage::Overdue, 0));
  CHECK_TRUE(admits(6, WorkStage::FirstTurn));
}

TEST(AdmissionPolicy, raisesTheLimitForPriorityZeroExceptForRunaways) {
  CHECK_FALSE(admits(13, WorkStage::FirstTurn, 1));
  CHECK_TRUE(admits(13, WorkStage::FirstTurn, 0));
  CHECK_FALSE(admits(7, WorkStage::Runaway, 0));
}

TEST(AdmissionPolicy, hasSpareCapacityIfMeanLoadIsLowOrHalfOfTheReplicasAreLightlyLoaded) {
  const auto hasSpareCapacity = [&](const std::vector<double>& loads) {
    std::vector<Replica> replicas(loads.size());
    std::vector<const Replica*> candidates;
    for (std::size_t index = 0; index < loads.size(); ++index) {
      replicas[index].entry.slots = 10;
      replicas[index].othersInFlight = loads[index];
      candidates.push_back(&replicas[index]);
    }
    return policy.hasSpareCapacity(candidates);
  };
  CHECK_TRUE(
      hasSpareCapacity({5.5, 5.5, 5.5, 0}));  // Mean load 41%; one of four is lightly loaded.
  CHECK_TRUE(hasSpareCapacity({30, 30, 4.9, 4.9}));
  CHECK_FALSE(hasSpareCapacity({30, 30, 5, 4.9}));
  CHECK_FALSE(hasSpareCapacity({5, 5, 5, 5}));
}

TEST(AdmissionPolicy, aQuarterOfContinuingAttemptsMayOverflow) {
  constexpr int kAttempts = 4000;
  int overflowing = 0;
  for (int number = 0; number < kAttempts; ++number) {
    const std::string attempt = "q" + std::to_string(number);
    overflowing += policy.mayOverflow({WorkStage::Continuing, 1, attempt}) ? 1 : 0;
    CHECK_FALSE(policy.mayOverflow({WorkStage::FirstTurn, 0, attempt}));
    CHECK_FALSE(policy.mayOverflow({WorkStage::Runaway, 0, attempt}));
  }
  CHECK_TRUE(overflowing > kAttempts / 5 && overflowing < kAttempts * 3 / 10);
}

TEST(AdmissionPolicy, overflowAndFirstTurnsHaveTheSameLimit) {
  replica.othersInFlight = 11.9;
  CHECK_TRUE(policy.admitsFirstTurns(replica));
  CHECK_TRUE(policy.admits(replica, {WorkStage::FirstTurn, 1}));
  replica.othersInFlight = 12;
  CHECK_FALSE(policy.admitsFirstTurns(replica));
  CHECK_FALSE(policy.admits(replica, {WorkStage::FirstTurn, 1}));
}

// A tenant above its share kept half of the engines busy with started programs, while programs of
// other tenants could not start.
TEST(AdmissionPolicy, startedProgramsOfATenantAboveItsShareGetTheLimitOfThoseThatStart) {
  AdmissionRequest request{WorkStage::Continuing, 1, "q"};
  request.isTenantAboveShare = true;
  replica.othersInFlight = 11;
  CHECK_TRUE(policy.admits(replica, request));
  replica.othersInFlight = 13;
  CHECK_FALSE(policy.admits(replica, request));
  for (int attempt = 0; attempt < 100; ++attempt) {
    const std::string id = "q" + std::to_string(attempt);
    request.attempt = id;
    CHECK_FALSE(policy.mayOverflow(request));
  }
}
