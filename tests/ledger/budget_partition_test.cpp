// Budgets with and without a store at hand: dead, cut off, restarted and disagreeing homes.
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
/// Longer than leases need to end and to be cleared.
constexpr Duration kUntilCleared = seconds(17);

}  // namespace

TEST_GROUP(BudgetPartition) {
  BudgetFleet fleet;

  ReservationOutcome spend(Home & home, const char* request, std::uint64_t tokens,
                           std::uint64_t budget = 1000, const char* program = "program") {
    return fleet.spend(home, request, program, tokens, budget, kTimeLeft);
  }
  /// Asks for ten turns of 100 tokens at once. \param replies counts those that were answered.
  void askForTenTurns(Home & home, Duration timeLimit, int& replies) {
    for (int number = 0; number < 10; ++number) {
      const BudgetReservation turn{"t" + std::to_string(number), "program", 100};
      home.partition.reserve({turn, 1000, kTimeLeft}, timeLimit,
                             [this, &replies](const ReservationReply& reply) {
                               ++replies;
                               const bool granted = reply.outcome == ReservationOutcome::Granted;
                               fleet.handedOut["program"] += granted ? 100 : 0;
                             });
    }
  }
};

TEST(BudgetPartition, grantsAtOnceUnderItsLeaseAndRecordsSoonAfter) {
  Home& home = fleet.startWithLease("a");
  const int appends = fleet.log.appends;
  bool granted = false;
  home.partition.reserve({{"r1", "program", 300}, 1000, kTimeLeft}, seconds(1),
                         [&granted](const ReservationReply& reply) {
                           granted = reply.outcome == ReservationOutcome::Granted;
                         });
  CHECK_TRUE(granted);
  LONGS_EQUAL(1, home.partition.unrecordedGrants());
  home.partition.settle({"r1", "program", 90});
  fleet.timers.advance(seconds(1));
  LONGS_EQUAL(0, home.partition.unrecordedGrants());
  LONGS_EQUAL(appends + 1, fleet.log.appends);  // Reservation and settlement share one.
  LONGS_EQUAL(90, home.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, withoutALeaseOnlyTheLogDecides) {
  Home& home = fleet.start("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(home, "r1", 300) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, repliesAtOnceWhereNoLeaseHelpsAndTheStoreIsKnownNotToAnswer) {
  Home& home = fleet.start("a");
  fleet.log.fault = FakeFault::Busy;
  fleet.spend(home, "r1", "program", 300, 1000, kTimeLeft, milliseconds(150));
  bool replied = false;
  home.partition.reserve({{"r3", "program", 300}, 1000, kTimeLeft}, seconds(1),
                         [&replied](const ReservationReply&) { replied = true; });
  CHECK_TRUE(replied);
}

TEST(BudgetPartition, aHomeWithALeaseGoesOnWhileTheStoreIsDown) {
  Home& home = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  CHECK(spend(home, "r1", 200) == ReservationOutcome::Granted);
  home.partition.settle({"r1", "program", 80});
  fleet.timers.advance(seconds(3));
  CHECK(spend(home, "r2", 200) == ReservationOutcome::Granted);
  home.partition.settle({"r2", "program", 80});
  CHECK(spend(home, "r3", 200) == ReservationOutcome::Granted);
  LONGS_EQUAL(3, home.partition.unrecordedGrants());
  fleet.log.fault = FakeFault::None;
  fleet.timers.advance(seconds(4));
  LONGS_EQUAL(0, home.partition.unrecordedGrants());
  LONGS_EQUAL(360, home.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, whatWasSpentAheadIsReadByTheNextHome) {
  Home& home = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  spend(home, "r1", 200);
  home.partition.settle({"r1", "program", 80});
  fleet.log.fault = FakeFault::None;
  fleet.timers.advance(seconds(4));
  home.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  Home& next = fleet.start("b");
  CHECK(spend(next, "r2", 100) == ReservationOutcome::Granted);
  LONGS_EQUAL(180, next.partition.tokensUsedBy("program"));
}

TEST(BudgetPartition, aProgramThatLoopsInAnOutageGetsNoMoreThanTheLeasesShare) {
  Home& home = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(home, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(450, fleet.handedOut["program"]);
}

TEST(BudgetPartition, anOutageDoesNotMakeTheBudgetLarger) {
  Home& home = fleet.startWithLease("a");
  for (int number = 0; number < 16; ++number) {
    spend(home, ("r" + std::to_string(number)).c_str(), 50);
    fleet.timers.advance(seconds(1));
  }
  fleet.log.fault = FakeFault::Silent;
  for (int number = 16; number < 40; ++number) {
    fleet.spend(home, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  LONGS_EQUAL(1000, fleet.handedOut["program"]);
}

TEST(BudgetPartition, theNextHomeCountsWhatADeadOneMayHaveSpent) {
  Home& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 450) == ReservationOutcome::Granted);
  fleet.kill("a");
  fleet.log.fault = FakeFault::None;
  Home& next = fleet.startWithLease("b");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(next, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  // Within the budget and one turn, although 450 tokens were never recorded.
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 950);
}

TEST(BudgetPartition, whatOnlyAnEarlierHomeMayHaveSpentIsNotCalledSpent) {
  fleet.startWithLease("a");
  fleet.kill("a");
  Home& next = fleet.startWithLease("b");
  CHECK(spend(next, "r1", 600) == ReservationOutcome::Granted);
  CHECK(spend(next, "r2", 100) == ReservationOutcome::Unavailable);
  LONGS_EQUAL(1, next.partition.counters().uncertain);
  CHECK(spend(next, "r3", 1001) == ReservationOutcome::Spent);
}

TEST(BudgetPartition, aRestartedHomeEndsItsEarlierLeaseAndLaterProgramsOweItNothing) {
  fleet.startWithLease("a");
  Home& again = fleet.start("a");
  fleet.tend(again, kUntilCleared);
  // All of the budget is there for a program that began since.
  CHECK(fleet.spend(again, "r1", "new", 600, 1000, kTimeLeft) == ReservationOutcome::Granted);
  CHECK(fleet.spend(again, "r2", "new", 400, 1000, kTimeLeft) == ReservationOutcome::Granted);
  // One that is late may be older.
  CHECK(fleet.spend(again, "r3", "late", 600, 1000, Duration::zero()) ==
        ReservationOutcome::Granted);
  CHECK(fleet.spend(again, "r4", "late", 400, 1000, Duration::zero()) ==
        ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, aProgramOfTheDeadHomeIsCountedEvenAfterItsLeaseWasCleared) {
  Home& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 400) == ReservationOutcome::Granted);
  fleet.log.fault = FakeFault::None;
  Home& again = fleet.start("a");
  fleet.tend(again, kUntilCleared);
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 50, 1000, Duration::zero());
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

TEST(BudgetPartition, allPowerLostTwiceAmidOutagesKeepsTheBudget) {
  for (int life = 0; life < 2; ++life) {
    Home& home = fleet.startWithLease("a");
    fleet.log.fault = FakeFault::Silent;
    for (int number = 0; number < 30; ++number) {
      fleet.spend(home, "r" + std::to_string(life) + "-" + std::to_string(number), "program", 50,
                  1000, kTimeLeft);
    }
    fleet.kill("a");
    fleet.log.fault = FakeFault::None;
  }
  Home& last = fleet.startWithLease("a");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(last, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

TEST(BudgetPartition, aHomeThatIsCutOffAndTheNextOneKeepTheBudgetTogether) {
  Home& first = fleet.startWithLease("a");
  first.way.cut = true;
  Home& second = fleet.startWithLease("b");
  for (int number = 0; number < 30; ++number) {
    fleet.spend(first, "r" + std::to_string(number), "program", 50, 1000, kTimeLeft);
    fleet.spend(second, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 900);
}

TEST(BudgetPartition, nothingIsSpentUnderALeaseThatWasNotRenewedForLong) {
  Home& home = fleet.startWithLease("a");
  home.way.cut = true;
  fleet.timers.advance(BudgetLeaseKnobs{}.validity);
  CHECK_FALSE(home.partition.holdsLease());
  CHECK(spend(home, "r1", 50) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, aHomeWhoseLeaseOthersEndedTakesANewOneWhenTheirsIsCleared) {
  Home& first = fleet.startWithLease("a");
  first.way.cut = true;
  Home& second = fleet.start("b");
  fleet.tend(second, BudgetLeaseKnobs{}.expiry + kUntilCleared + seconds(3));
  CHECK_TRUE(second.partition.holdsLease());
  first.way.cut = false;
  fleet.timers.advance(seconds(2));
  fleet.tend(first, seconds(3));
  CHECK_FALSE(first.partition.holdsLease());
  second.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  fleet.tend(first, seconds(4));
  CHECK(first.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
}

TEST(BudgetPartition, ofThreeHomesThatTakeALeaseAtOnceOneHoldsIt) {
  std::vector<Home*> homes{&fleet.start("a"), &fleet.start("b"), &fleet.start("c")};
  for (Home* const home : homes) {
    home->partition.maintainLease();
  }
  fleet.timers.advance(seconds(1));
  const auto holdersOf = [&](std::optional<BudgetLeaseSlot> slot) {
    return std::count_if(homes.begin(), homes.end(),
                         [&](const Home* home) { return home->partition.heldLeaseSlot() == slot; });
  };
  LONGS_EQUAL(1, holdersOf(BudgetLeaseSlot::Primary));
  LONGS_EQUAL(2, holdersOf(std::nullopt));
}

TEST(BudgetPartition, aRestartedHomeHoldsASecondaryLeaseWithinASecondAndServesAnOutageUnderIt) {
  fleet.startWithLease("a");
  Home& again = fleet.start("a");
  fleet.tend(again, seconds(1));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(again, "r1", 100) == ReservationOutcome::Granted);
  LONGS_EQUAL(1, again.partition.counters().grantedAheadSecondary);
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 10, 1000, kTimeLeft);
  }
  LONGS_EQUAL(150, fleet.handedOut["program"]);
}

// Else two dead leases would count together after a further fault, and turns that go on would find
// no room.
TEST(BudgetPartition, theNextHomeHasNoLeaseWhileADeadOnesIsHeldAndASecondaryOneOnceItHasEnded) {
  fleet.startWithLease("a");
  fleet.kill("a");
  Home& next = fleet.start("b");
  fleet.tend(next, BudgetLeaseKnobs{}.expiry - seconds(2));
  CHECK_FALSE(next.partition.holdsLease());
  fleet.tend(next, seconds(4));
  CHECK(next.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
}

TEST(BudgetPartition, aSecondaryLeaseMovesUpWithoutAGapWhenTheDeadOneIsCleared) {
  fleet.startWithLease("a");
  Home& again = fleet.start("a");
  fleet.tend(again, seconds(1));
  for (int second = 0; second < 20; ++second) {
    fleet.tend(again, seconds(1));
    CHECK_TRUE(again.partition.holdsLease());
  }
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(again, "r1", 600, 1000, "new") == ReservationOutcome::Granted);
}

TEST(BudgetPartition, whatWasSpentUnderASecondaryLeaseCountsAfterItMovedUp) {
  fleet.startWithLease("a");
  Home& again = fleet.start("a");
  fleet.tend(again, seconds(2));
  // Each 50 ms another program spends: the newest one's grant is not recorded when the lease moves.
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

TEST(BudgetPartition, aThirdLifeWithinTheTimeOfClearingHasNoLeaseAndKeepsTheBudget) {
  for (int life = 0; life < 2; ++life) {
    Home& home = fleet.start("a");
    fleet.tend(home, seconds(1));
    CHECK_TRUE(home.partition.holdsLease());
    fleet.log.fault = FakeFault::Silent;
    for (int number = 0; number < 10; ++number) {
      fleet.spend(home, "r" + std::to_string(life) + "-" + std::to_string(number), "program", 50,
                  1000, kTimeLeft, milliseconds(100));
    }
    fleet.kill("a");
    fleet.log.fault = FakeFault::None;
  }
  LONGS_EQUAL(600, fleet.handedOut["program"]);
  Home& third = fleet.start("a");
  fleet.tend(third, seconds(2));
  CHECK_FALSE(third.partition.holdsLease());
  for (int number = 0; number < 30; ++number) {
    fleet.spend(third, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft);
  }
  CHECK(fleet.handedOut["program"] <= 1050);
  CHECK(fleet.handedOut["program"] >= 950);
  fleet.tend(third, kUntilCleared);
  CHECK_TRUE(third.partition.holdsLease());
}

TEST(BudgetPartition, aProgramOfTwoDeadHomesIsCountedEvenAfterTheirLeasesWereCleared) {
  for (int life = 0; life < 2; ++life) {
    Home& home = fleet.start("a");
    fleet.tend(home, seconds(1));
    fleet.log.fault = FakeFault::Silent;
    fleet.spend(home, "r" + std::to_string(life), "program", life == 0 ? 450 : 150, 1000,
                kTimeLeft);
    fleet.log.fault = FakeFault::None;
  }
  LONGS_EQUAL(600, fleet.handedOut["program"]);
  Home& third = fleet.start("a");
  fleet.tend(third, kUntilCleared + kUntilCleared);
  CHECK(third.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
  for (int number = 0; number < 30; ++number) {
    fleet.spend(third, "s" + std::to_string(number), "program", 50, 1000, Duration::zero());
  }
  CHECK(fleet.handedOut["program"] <= 1050);
}

// The holder of the secondary lease does not know of the one that took the primary slot before it
// could move up: that one counts the secondary lease's whole share, and each other home counts
// both.
TEST(BudgetPartition, twoLiveHoldersThatAreCutOffSpendWithinTheBudget) {
  fleet.startWithLease("a");
  Home& again = fleet.start("a");
  fleet.tend(again, seconds(2));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  spend(again, "r0", 400);
  fleet.timers.advance(seconds(1));
  // The dead one's lease is cleared, and another home's record enters the slot first.
  std::vector<std::string>& log = fleet.log.logs[{"budgets", 0}];
  std::string first;
  for (const std::string& record : log) {
    const Fact fact = valueOf(decodeFact(record));
    if (const auto* const lease = std::get_if<BudgetLease>(&fact); lease && first.empty()) {
      first = lease->lease;
    }
  }
  log.push_back(encodeFact(BudgetLease{first, "a", BudgetLeaseState::Cleared, 9}));
  Home& other = fleet.startWithLease("c");
  CHECK(other.partition.heldLeaseSlot() == BudgetLeaseSlot::Primary);
  fleet.tend(again, seconds(8));
  CHECK(again.partition.heldLeaseSlot() == BudgetLeaseSlot::Secondary);
  fleet.tend(other, seconds(2));
  again.way.cut = true;
  other.way.cut = true;
  for (int number = 0; number < 30; ++number) {
    fleet.spend(again, "s" + std::to_string(number), "program", 50, 1000, kTimeLeft,
                milliseconds(50));
    fleet.spend(other, "t" + std::to_string(number), "program", 50, 1000, kTimeLeft,
                milliseconds(50));
  }
  LONGS_EQUAL(1000, fleet.handedOut["program"]);
}

TEST(BudgetPartition, aLeaseThatWasGivenBackIsNotCounted) {
  Home& first = fleet.startWithLease("a");
  spend(first, "r1", 300);
  fleet.timers.advance(seconds(1));
  first.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  CHECK_FALSE(first.partition.holdsLease());
  Home& second = fleet.startWithLease("b");
  CHECK(fleet.spend(second, "r2", "new", 600, 1000, kTimeLeft) == ReservationOutcome::Granted);
  CHECK(fleet.spend(second, "r3", "new", 400, 1000, kTimeLeft) == ReservationOutcome::Granted);
}

TEST(BudgetPartition, aLeaseIsGivenBackOnlyAfterAllWasRecorded) {
  Home& home = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Busy;
  spend(home, "r1", 300);
  home.partition.releaseLease();
  CHECK_FALSE(home.partition.holdsLease());
  fleet.timers.advance(seconds(1));
  home.way.cut = true;
  fleet.log.fault = FakeFault::None;
  Home& next = fleet.start("b");
  // Until it is given back, it counts.
  spend(next, "r2", 600);
  CHECK(spend(next, "r3", 100) == ReservationOutcome::Unavailable);
  home.way.cut = false;
  for (int tick = 0; tick < 20; ++tick) {
    home.partition.releaseLease();
    fleet.timers.advance(milliseconds(200));
  }
  LONGS_EQUAL(0, home.partition.unrecordedGrants());
  CHECK(fleet.spend(next, "r4", "new", 600, 1000, kTimeLeft) == ReservationOutcome::Granted);
  CHECK(fleet.spend(next, "r5", "new", 400, 1000, kTimeLeft) == ReservationOutcome::Granted);
}

// What was spent under the lease is recorded behind the reservations, and so is its end: between
// append and decision the next home reads both.
TEST(BudgetPartition, aLeaseThatIsGivenBackBehindAReservationCountsForIt) {
  constexpr int kRecordsToRead = 2000;
  Home& first = fleet.startWithLease("a");
  std::vector<std::string>& log = fleet.log.logs[{"budgets", 0}];
  for (int number = 0; number < kRecordsToRead; ++number) {
    log.push_back(encodeFact(BudgetReservation{"x" + std::to_string(number), "other", 1}));
  }
  fleet.tend(first, seconds(9));
  for (int number = 0; number < 4; ++number) {
    fleet.spend(first, "r" + std::to_string(number), "program", 100, 1000, kTimeLeft,
                Duration::zero());
  }
  LONGS_EQUAL(400, fleet.handedOut["program"]);
  Home& next = fleet.start("b");
  int replies = 0;
  const std::size_t end = log.size();
  askForTenTurns(next, seconds(1), replies);
  fleet.timers.advance(milliseconds(30));
  LONGS_EQUAL(end + 10, log.size());
  LONGS_EQUAL(0, replies);
  first.partition.releaseLease();
  fleet.timers.advance(seconds(3));
  LONGS_EQUAL(0, first.partition.unrecordedGrants());
  LONGS_EQUAL(10, replies);
  CHECK(fleet.handedOut["program"] <= 1100);
  CHECK(fleet.handedOut["program"] >= 900);
  // A later reservation stands behind the lease's end, and does not count it.
  CHECK(spend(next, "later1", 600, 1000, "new") == ReservationOutcome::Granted);
  CHECK(spend(next, "later2", 400, 1000, "new") == ReservationOutcome::Granted);
}

// By then a lease may be cleared under which the program spent.
TEST(BudgetPartition, aReservationWhoseProgramsTimeWasToldLongAgoIsNotDecided) {
  Home& first = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(spend(first, "r1", 450) == ReservationOutcome::Granted);
  fleet.log.fault = FakeFault::None;
  Home& again = fleet.start("a");
  Home& slow = fleet.start("b");
  slow.way.cut = true;
  int replies = 0;
  askForTenTurns(slow, 2 * kUntilCleared, replies);
  fleet.tend(again, kUntilCleared);
  again.partition.releaseLease();
  fleet.timers.advance(seconds(1));
  LONGS_EQUAL(0, replies);
  slow.way.cut = false;
  fleet.timers.advance(kUntilCleared);
  LONGS_EQUAL(10, replies);
  LONGS_EQUAL(450, fleet.handedOut["program"]);
  LONGS_EQUAL(10, slow.partition.counters().decidedTooLate);
}

TEST(BudgetPartition, longProgramsAndThoseThatDoNotTellTheirTimeWaitForTheLog) {
  Home& home = fleet.startWithLease("a");
  fleet.log.fault = FakeFault::Silent;
  CHECK(fleet.spend(home, "r1", "long", 50, 1000, seconds(11)) == ReservationOutcome::Unavailable);
  CHECK(fleet.spend(home, "r2", "untold", 50, 1000, {}) == ReservationOutcome::Unavailable);
}

TEST(BudgetPartition, leasesCanBeSwitchedOff) {
  BudgetPartitionKnobs knobs;
  knobs.leases.enabled = false;
  BudgetFleet without(knobs);
  Home& home = without.startWithLease("a");
  CHECK_FALSE(home.partition.holdsLease());
  LONGS_EQUAL(0, without.log.appends);
}
