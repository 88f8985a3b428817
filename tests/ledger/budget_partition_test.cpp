// Guards budgets against overspending while the store is down and while nodes die, restart, are
// isolated or disagree.
#include "ledger/budget_partition.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "ledger/budget_fleet.h"

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using namespace gorsetrail::ledger::testing;
using logstore::FakeFault;

namespace {

constexpr Duration kTimeLeft = seconds(5);
/// Longer than the time after which an ended lease is cleared.
constexpr Duration kUntilCleared = BudgetLeaseKnobs{}.retention + seconds(3);
/// Longer than programs that spent under an ended lease should run.
constexpr Duration kUntilOver = seconds(17);

}  // namespace

TEST_GROUP(BudgetPartition) {
  BudgetFleet fleet;

  ReservationOutcome spend(BudgetNode & node, const char* request, std::uint64_t tokens,
                           std::uint64_t budget = 1000, const char* program = "program") {
    return fleet.spend(node, request, program, tokens, budget, kTimeLeft);
  }
  /// Records a reservation without tokens, so that the program is known from the log.
  void record(BudgetNode & node, const std::string& program = "program") {
    fleet.spend(node, "first of " + program, program, 0, 1000, kTimeLeft);
    fleet.timers.advance(seconds(1));
  }
  /// Reserves ten turns of 100 tokens without waiting. \param replies counts the replies.
  void reserveTenTurns(BudgetNode & node, Duration timeLimit, int& replies) {
    for (int number = 0; number < 10; ++number) {
      const BudgetReservation turn{"t" + std::to_string(number), "program", 100};
      node.partition.reserve({turn, 1000, kTimeLeft}, timeLimit,
                             [this, &replies](const ReservationReply& reply) {
                               ++replies;
                               const bool granted = reply.outcome == ReservationOutcome::Granted;
                               fleet.handedOut["program"] += granted ? 100 : 0;
                             });
    }
  }
};

TEST(BudgetPartition, grantsSynchronouslyUnderALeaseAndRecordsLater) {
  BudgetNode& node = fleet.startWithLease("a");
  const int appends = fleet.log.appends;
  bool granted = false;
  node.partition.reserve({{"r1", "program", 300}, 1000, kTimeLeft}, seconds(1),
                         [&granted](const ReservationReply& reply) {
                           granted = reply.outcome == ReservationOutcome::Granted;
                         });
  CHECK_TRUE(granted);
  LONGS_EQUAL(1, node.partition.unrecordedGrants());
  node.partition.settle({"r1", "program", 90});
  fleet.timers.advance(seconds(1));
  LONGS_EQUAL(0, node.partition.unrecordedGrants());
  LONGS_EQUAL(appends + 1, fleet.log.appends);  // Reservation and settlement share one.
  LONGS_EQUAL(90, node.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, withoutALeaseOnlyTheLogDecides) {
  BudgetNode& node = fleet.start("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(node, "r1", 300) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, repliesSynchronouslyWithoutALeaseWhileTheStoreIsUnavailable) {
  BudgetNode& node = fleet.start("a");
  fleet.log.fault = FakeFault::Busy;
  fleet.spend(node, "r1", "program", 300, 1000, kTimeLeft, milliseconds(150));
  bool replied = false;
  node.partition.reserve({{"r3", "program", 300}, 1000, kTimeLeft}, seconds(1),
                         [&replied](const ReservationReply&) { replied = true; });
  CHECK_TRUE(replied);
}

TEST(BudgetPartition, coordinatorWithALeaseGrantsDuringAStoreOutage) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  CHECK(spend(node, "r1", 200) == ReservationOutcome::Granted);
  node.partition.settle({"r1", "program", 80});
  fleet.timers.advance(seconds(3));
  CHECK(spend(node, "r2", 200) == ReservationOutcome::Granted);
  node.partition.settle({"r2", "program", 80});
  CHECK(spend(node, "r3", 200) == ReservationOutcome::Granted);
  LONGS_EQUAL(3, node.partition.unrecordedGrants());
  fleet.log.fault = FakeFault::None;
  fleet.timers.advance(seconds(4));
  LONGS_EQUAL(0, node.partition.unrecordedGrants());
  LONGS_EQUAL(360, node.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, nextCoordinatorReadsGrantsRecordedAfterAnOutage) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  spend(node, "r1", 200);
  node.partition.settle({"r1", "program", 80});
  fleet.log.fault = FakeFault::None;
  fleet.timers.advance(seconds(4));
  node.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  BudgetNode& next = fleet.start("b");
  CHECK(spend(next, "r2", 100) == ReservationOutcome::Granted);
  LONGS_EQUAL(180, next.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, loopingProgramGetsAtMostTheLeaseShareDuringAnOutage) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(node, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(450, fleet.handedOut["program"]);
}

// The case of a program that is stopped by the death of all nodes and comes back: it declares new
// time, and what it was granted before the death stands in no record.
TEST(BudgetPartition, returningProgramIsNotGrantedUnrecordedTokensAgain) {
  for (const Duration pause : {seconds(1), seconds(10), seconds(16), seconds(27), seconds(55)}) {
    BudgetFleet one;
    BudgetNode& node = one.startWithLease("a");
    const auto loop = [&one](BudgetNode& at, const std::string& prefix) {
      ReservationOutcome last = ReservationOutcome::Granted;
      for (int number = 0; number < 40; ++number) {
        last = one.spend(at, prefix + std::to_string(number), "program", 50, 1000, kTimeLeft,
                         milliseconds(50));
      }
      return last;
    };
    one.spend(node, "first", "program", 50, 1000, kTimeLeft);
    one.timers.advance(seconds(1));
    one.log.fault = FakeFault::Silent;
    loop(node, "r");
    LONGS_EQUAL(500, one.handedOut["program"]);
    one.log.fault = FakeFault::None;
    BudgetNode& next = one.start("a");
    one.maintainLeaseFor(next, pause);
    loop(next, "s");
    CHECK(one.handedOut["program"] <= 1050);
    one.maintainLeaseFor(next, seconds(20));
    loop(next, "t");
    CHECK(one.handedOut["program"] <= 1050);
    CHECK(one.handedOut["program"] >= 950);
    // What is unknown will not become known, so the refusal is final.
    CHECK(one.spend(next, "u", "program", 50, 1000, kTimeLeft) == ReservationOutcome::Spent);
  }
}

// Likewise for a program of which no reservation was recorded before the death.
TEST(BudgetPartition, returningProgramThatBeganInAnOutageIsNotGrantedUnrecordedTokensAgain) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(node, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(450, fleet.handedOut["program"]);
  fleet.log.fault = FakeFault::None;
  BudgetNode& next = fleet.start("a");
  fleet.maintainLeaseFor(next, kUntilOver);
  for (int number = 0; number < 40; ++number) {
    fleet.spend(next, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 1000);
}

// Nothing proves that a program began after the death.
TEST(BudgetPartition, deadLeaseCostsLaterProgramsItsShare) {
  fleet.startWithLease("a");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, seconds(1));
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(600, fleet.handedOut["program"]);
}

TEST(BudgetPartition, outageDoesNotIncreaseTheBudget) {
  BudgetNode& node = fleet.startWithLease("a");
  for (int number = 0; number < 16; ++number) {
    spend(node, ("r" + std::to_string(number)).c_str(), 50);
    fleet.timers.advance(seconds(1));
  }
  fleet.log.fault = FakeFault::Silent;
  for (int number = 16; number < 40; ++number) {
    fleet.spend(node, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(1000, fleet.handedOut["program"]);
}

TEST(BudgetPartition, nextCoordinatorCountsTheLeaseOfADeadOne) {
  BudgetNode& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 450) == ReservationOutcome::Granted);
  fleet.kill("a");
  fleet.log.fault = FakeFault::None;
  BudgetNode& next = fleet.startWithLease("b");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(next, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  // The total stays within the budget and one turn, although 450 tokens were never recorded.
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 950);
}

TEST(BudgetPartition, possibleSpendingOfAnEarlierCoordinatorIsUndecidedNotSpent) {
  fleet.startWithLease("a");
  fleet.kill("a");
  BudgetNode& next = fleet.startWithLease("b");
  CHECK(spend(next, "r1", 600) == ReservationOutcome::Granted);
  CHECK(spend(next, "r2", 100) == ReservationOutcome::Unavailable);
  LONGS_EQUAL(1, next.partition.counters().uncertain);
  CHECK(spend(next, "r3", 1001) == ReservationOutcome::Spent);
}

TEST(BudgetPartition, endedLeaseMakesABudgetUncertainForNewProgramsAndSpentForOlderOnes) {
  BudgetNode& first = fleet.startWithLease("a");
  record(first, "old");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, kUntilOver);
  for (const Duration timeLeft : {kTimeLeft, Duration::zero()}) {
    const std::string late = timeLeft == Duration::zero() ? " overdue" : "";
    const auto spendHere = [&](const std::string& program, std::uint64_t tokens) {
      return fleet.spend(again, program + late + std::to_string(tokens), program, tokens, 1000,
                         timeLeft);
    };
    CHECK(spendHere("new" + late, 450) == ReservationOutcome::Granted);
    CHECK(spendHere("new" + late, 449) == ReservationOutcome::Granted);
    CHECK(spendHere("new" + late, 448) == ReservationOutcome::Unavailable);
  }
  // A program that was recorded before may have spent the share of the lease, and nobody will
  // record it any more.
  CHECK(spend(again, "r1", 450, 1000, "old") == ReservationOutcome::Granted);
  again.partition.settle({"r1", "old", 450});
  CHECK(spend(again, "r2", 100, 1000, "old") == ReservationOutcome::Granted);
  again.partition.settle({"r2", "old", 101});
  CHECK(spend(again, "r3", 100, 1000, "old") == ReservationOutcome::Spent);
}

TEST(BudgetPartition, overdueProgramOfADeadNodeCountsItsLease) {
  BudgetNode& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 400) == ReservationOutcome::Granted);
  fleet.log.fault = FakeFault::None;
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, kUntilOver);
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 50, 1000, Duration::zero());
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

TEST(BudgetPartition, budgetHoldsAfterTwoCrashesDuringStoreOutages) {
  for (int restart = 0; restart < 2; ++restart) {
    BudgetNode& node = fleet.startWithLease("a");
    fleet.log.fault = FakeFault::Silent;
    for (int number = 0; number < 30; ++number) {
      fleet.spend(node, "r" + std::to_string(restart) + "-" + std::to_string(number), "program", 50,
                  1000, kTimeLeft);
    }
    fleet.kill("a");
    fleet.log.fault = FakeFault::None;
  }
  BudgetNode& last = fleet.startWithLease("a");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(last, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

TEST(BudgetPartition, isolatedCoordinatorAndItsSuccessorTogetherStayWithinTheBudget) {
  BudgetNode& first = fleet.startWithLease("a");
  first.storeLink.cut = true;
  BudgetNode& second = fleet.startWithLease("b");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(first, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
    fleet.spend(second, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 900);
}

TEST(BudgetPartition, nothingIsGrantedUnderAnExpiredLease) {
  BudgetNode& node = fleet.startWithLease("a");
  node.storeLink.cut = true;
  fleet.timers.advance(BudgetLeaseKnobs{}.validity);
  CHECK_FALSE(node.partition.holdsLease());
  CHECK(spend(node, "r1", 50) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, nodeWhoseLeaseOthersEndedAcquiresANewOneWhenASlotIsFree) {
  BudgetNode& first = fleet.startWithLease("a");
  first.storeLink.cut = true;
  BudgetNode& second = fleet.start("b");
  fleet.maintainLeaseFor(second, BudgetLeaseKnobs{}.expiry + kUntilCleared + seconds(3));
  CHECK_TRUE(second.partition.holdsLease());
  first.storeLink.cut = false;
  fleet.timers.advance(seconds(2));
  fleet.maintainLeaseFor(first, seconds(3));
  CHECK_FALSE(first.partition.holdsLease());
  second.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  fleet.maintainLeaseFor(first, seconds(4));
  CHECK(first.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
}

TEST(BudgetPartition, concurrentAcquisitionsByThreeNodesYieldOneLease) {
  std::vector<BudgetNode*> nodes{&fleet.start("a"), &fleet.start("b"), &fleet.start("c")};
  for (BudgetNode* const node : nodes) {
    node->partition.maintainLease();
  }
  fleet.timers.advance(seconds(1));
  const auto holdersOf = [&](std::optional<BudgetLeaseSlot> slot) {
    return std::count_if(nodes.begin(), nodes.end(), [&](const BudgetNode* node) {
      return node->partition.heldLeaseSlot() == slot;
    });
  };
  LONGS_EQUAL(1, holdersOf(BudgetLeaseSlot::Primary));
  LONGS_EQUAL(2, holdersOf(std::nullopt));
}

TEST(BudgetPartition, restartedNodeGetsASecondaryLeaseWithinASecondAndServesAnOutageUnderIt) {
  fleet.startWithLease("a");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, seconds(1));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(again, "r1", 100) == ReservationOutcome::Granted);
  LONGS_EQUAL(1, again.partition.counters().grantedUnderSecondaryLease);
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 10, 1000, kTimeLeft);
  }
  LONGS_EQUAL(150, fleet.handedOut["program"]);
}

// Otherwise two dead leases would count together after a further failure, and running programs
// would be refused.
TEST(BudgetPartition, nextCoordinatorGetsASecondaryLeaseOnlyAfterTheLeaseOfADeadOneHasEnded) {
  fleet.startWithLease("a");
  fleet.kill("a");
  BudgetNode& next = fleet.start("b");
  fleet.maintainLeaseFor(next, BudgetLeaseKnobs{}.expiry - seconds(2));
  CHECK_FALSE(next.partition.holdsLease());
  fleet.maintainLeaseFor(next, seconds(4));
  CHECK(next.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
}

TEST(BudgetPartition, secondaryLeaseIsPromotedWithoutAGapWhenTheDeadNodesLeaseIsCleared) {
  fleet.startWithLease("a");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, seconds(1));
  for (Duration passed{}; passed < kUntilCleared; passed += seconds(1)) {
    fleet.maintainLeaseFor(again, seconds(1));
    CHECK_TRUE(again.partition.holdsLease());
  }
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(again, "r1", 450, 1000, "new") == ReservationOutcome::Granted);
}

TEST(BudgetPartition, grantsUnderASecondaryLeaseCountAfterItsPromotion) {
  fleet.startWithLease("a");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, BudgetLeaseKnobs{}.retention - seconds(20));
  // Another program spends every 50 ms, so the newest grant is unrecorded when the lease is
  // promoted.
  std::string program;
  for (int number = 0; again.partition.heldLeaseSlot() != BudgetLeaseSlot::Primary; ++number) {
    CHECK(number < 1000);
    program = "p" + std::to_string(number);
    fleet.spend(again, "r" + program, program, 150, 1000, kTimeLeft, Duration::zero());
    again.partition.maintainLease();
    fleet.timers.advance(milliseconds(50));
  }
  LONGS_EQUAL(150, fleet.handedOut[program]);
  fleet.log.fault = FakeFault::Silent;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), program, 50, 1000, kTimeLeft,
                Duration::zero());
  }
  LONGS_EQUAL(450, fleet.handedOut[program]);
}

TEST(BudgetPartition, thirdIncarnationBeforeClearingGetsNoLeaseAndStaysWithinTheBudget) {
  for (int restart = 0; restart < 2; ++restart) {
    BudgetNode& node = fleet.start("a");
    fleet.maintainLeaseFor(node, seconds(1));
    CHECK_TRUE(node.partition.holdsLease());
    fleet.log.fault = FakeFault::Silent;
    for (int number = 0; number < 10; ++number) {
      fleet.spend(node, "r" + std::to_string(restart) + "-" + std::to_string(number), "program", 50,
                  1000, kTimeLeft, milliseconds(100));
    }
    fleet.kill("a");
    fleet.log.fault = FakeFault::None;
  }
  LONGS_EQUAL(600, fleet.handedOut["program"]);
  BudgetNode& third = fleet.start("a");
  fleet.maintainLeaseFor(third, seconds(2));
  CHECK_FALSE(third.partition.holdsLease());
  for (int number = 0; number < 30; ++number) {
    fleet.spend(third, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 950);
  fleet.maintainLeaseFor(third, kUntilCleared);
  CHECK_TRUE(third.partition.holdsLease());
}

TEST(BudgetPartition, overdueProgramOfTwoDeadNodesCountsTheirLeases) {
  for (int restart = 0; restart < 2; ++restart) {
    BudgetNode& node = fleet.start("a");
    fleet.maintainLeaseFor(node, seconds(1));
    fleet.log.fault = FakeFault::Silent;
    fleet.spend(node, "r" + std::to_string(restart), "program", restart == 0 ? 450 : 150, 1000,
                kTimeLeft);
    fleet.log.fault = FakeFault::None;
  }
  LONGS_EQUAL(600, fleet.handedOut["program"]);
  BudgetNode& third = fleet.start("a");
  fleet.maintainLeaseFor(third, kUntilOver + kUntilOver);
  CHECK_FALSE(third.partition.holdsLease());
  for (int number = 0; number < 30; ++number) {
    fleet.spend(third, "s" + std::to_string(number), "program", 50, 1000, Duration::zero());
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

// The holder of the secondary lease does not know that another node took the primary slot first.
// The new holder counts the whole secondary share, and all other nodes count both.
TEST(BudgetPartition, twoIsolatedLeaseHoldersStayWithinTheBudget) {
  fleet.startWithLease("a");
  BudgetNode& again = fleet.start("a");
  fleet.maintainLeaseFor(again, seconds(2));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  for (int number = 0; number < 8; ++number) {
    spend(again, ("r0-" + std::to_string(number)).c_str(), 50);
  }
  LONGS_EQUAL(400, fleet.handedOut["program"]);
  fleet.timers.advance(seconds(1));
  // The dead node's lease is cleared, and another node's record takes the slot first.
  std::vector<std::string>& log = fleet.log.logs[{"budgets", 0}];
  std::string first;
  for (const std::string& record : log) {
    const Fact fact = valueOf(decodeFact(record));
    if (const auto* const lease = std::get_if<BudgetLease>(&fact); lease && first.empty()) {
      first = lease->lease;
    }
  }
  log.push_back(encodeFact(BudgetLease{first, "a", BudgetLeaseState::Cleared, 9}));
  BudgetNode& other = fleet.startWithLease("c");
  CHECK(other.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
  fleet.maintainLeaseFor(again, seconds(8));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  fleet.maintainLeaseFor(other, seconds(2));
  again.storeLink.cut = true;
  other.storeLink.cut = true;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft,
                milliseconds(50));
    fleet.spend(other, "t" + std::to_string(number), "program", 50, 1000, kTimeLeft,
                milliseconds(50));
  }
  // Each counts the other's share, and both that of the dead lease.
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 700);
}

TEST(BudgetPartition, releasedLeaseIsNotCounted) {
  BudgetNode& first = fleet.startWithLease("a");
  spend(first, "r1", 300);
  fleet.timers.advance(seconds(1));
  first.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  CHECK_FALSE(first.partition.holdsLease());
  BudgetNode& second = fleet.startWithLease("b");
  CHECK(fleet.spend(second, "r2", "new", 600, 1000, kTimeLeft) == ReservationOutcome::Granted);
  CHECK(fleet.spend(second, "r3", "new", 400, 1000, kTimeLeft) == ReservationOutcome::Granted);
}

TEST(BudgetPartition, leaseIsReleasedOnlyAfterAllGrantsAreRecorded) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  spend(node, "r1", 300);
  node.partition.releaseLease();
  CHECK_FALSE(node.partition.holdsLease());
  fleet.timers.advance(seconds(1));
  node.storeLink.cut = true;
  fleet.log.fault = FakeFault::None;
  BudgetNode& next = fleet.start("b");
  // The lease counts until it is released.
  spend(next, "r2", 600);
  CHECK(spend(next, "r3", 100) == ReservationOutcome::Unavailable);
  node.storeLink.cut = false;
  for (int tick = 0; tick < 20; ++tick) {
    node.partition.releaseLease();
    fleet.timers.advance(milliseconds(200));
  }
  LONGS_EQUAL(0, node.partition.unrecordedGrants());
  CHECK(fleet.spend(next, "r4", "new", 600, 1000, kTimeLeft) == ReservationOutcome::Granted);
  CHECK(fleet.spend(next, "r5", "new", 400, 1000, kTimeLeft) == ReservationOutcome::Granted);
}

// The grants under the lease and its release are recorded after the reservation. The next
// coordinator reads both between its append and its decision.
TEST(BudgetPartition, leaseReleasedAfterAReservationsRecordCountsForIt) {
  constexpr int kRecordsToRead = 2000;
  BudgetNode& first = fleet.startWithLease("a");
  std::vector<std::string>& log = fleet.log.logs[{"budgets", 0}];
  for (int number = 0; number < kRecordsToRead; ++number) {
    log.push_back(encodeFact(BudgetReservation{"x" + std::to_string(number), "other", 1}));
  }
  fleet.maintainLeaseFor(first, seconds(9));
  for (int number = 0; number < 4; ++number) {
    fleet.spend(first, "r" + std::to_string(number), "program", 100, 1000, kTimeLeft,
                Duration::zero());
  }
  LONGS_EQUAL(400, fleet.handedOut["program"]);
  BudgetNode& next = fleet.start("b");
  int replies = 0;
  const std::size_t end = log.size();
  reserveTenTurns(next, seconds(1), replies);
  fleet.timers.advance(milliseconds(30));
  LONGS_EQUAL(end + 10, log.size());
  LONGS_EQUAL(0, replies);
  first.partition.releaseLease();
  fleet.timers.advance(seconds(3));
  LONGS_EQUAL(0, first.partition.unrecordedGrants());
  LONGS_EQUAL(10, replies);
  CHECK(fleet.handedOut["program"] <= 1100);
  CHECK(fleet.handedOut["program"] >= 900);
  // A later reservation comes after the release, and does not count the lease.
  CHECK(spend(next, "later1", 600, 1000, "new") == ReservationOutcome::Granted);
  CHECK(spend(next, "later2", 400, 1000, "new") == ReservationOutcome::Granted);
}

// Guards against not counting a lease that was cleared in the meantime and under which the program
// spent.
TEST(BudgetPartition, reservationWithAStaleRemainingTimeIsNotDecided) {
  BudgetNode& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 450) == ReservationOutcome::Granted);
  fleet.log.fault = FakeFault::None;
  BudgetNode& again = fleet.start("a");
  BudgetNode& slow = fleet.start("b");
  slow.storeLink.cut = true;
  int replies = 0;
  reserveTenTurns(slow, 2 * kUntilCleared, replies);
  fleet.maintainLeaseFor(again, kUntilCleared);
  again.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  LONGS_EQUAL(0, replies);
  slow.storeLink.cut = false;
  fleet.timers.advance(kUntilCleared);
  LONGS_EQUAL(10, replies);
  LONGS_EQUAL(450, fleet.handedOut["program"]);
  LONGS_EQUAL(10, slow.partition.counters().decidedTooLate);
}

TEST(BudgetPartition, leaseIsNotUsedForLongProgramsOrAnUnknownRemainingTime) {
  BudgetNode& node = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(fleet.spend(node, "r1", "long", 50, 1000, seconds(11)) == ReservationOutcome::Unavailable);
  CHECK(fleet.spend(node, "r2", "untold", 50, 1000, {}) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, noLeaseIsAcquiredWhenLeasesAreDisabled) {
  BudgetPartitionKnobs knobs;
  knobs.leases.enabled = false;
  BudgetFleet without(knobs);
  BudgetNode& node = without.startWithLease("a");
  CHECK_FALSE(node.partition.holdsLease());
  LONGS_EQUAL(0, without.log.appends);
}
