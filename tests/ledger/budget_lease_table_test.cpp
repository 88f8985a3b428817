// Guards the states and slots of leases, which leases count against a program, and the share
// arithmetic.
#include "ledger/budget_lease_table.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

namespace {

constexpr Instant kStart{seconds(1000)};
constexpr std::optional<std::uint64_t> kNoRecord{};
/// A program whose first reservation precedes every lease record of the tests.
constexpr std::optional<std::uint64_t> kEarly{0};

BudgetLease record(const char* lease, BudgetLeaseState state, std::uint64_t renewal = 1,
                   const char* holder = "home") {
  return {lease, holder, state, renewal};
}

}  // namespace

TEST_GROUP(BudgetLeaseTable) {
  BudgetLeaseKnobs knobs;
  BudgetLeaseTable table{knobs};

  std::uint64_t end = 0;  ///< Next offset of the log.

  /// Applies a record at the next offset.
  void apply(const BudgetLease& record, Instant now) { table.applyRecord(record, end++, now); }
  UnrecordedSpending counted(std::optional<std::uint64_t> firstRecord, const char* own = "",
                             std::uint64_t below = kMaxOffset) {
    return table.foreignLeases(own, firstRecord, below, kStart).all;
  }
  /// \return the leases whose spending will not become known any more.
  UnrecordedSpending permanent(std::optional<std::uint64_t> firstRecord, Instant now) {
    return table.foreignLeases("", firstRecord, kMaxOffset, now).permanent;
  }
  /// Lease "x" has ended in the primary slot, and "y" is held in the secondary one.
  void holdSecondary() {
    apply(record("x", BudgetLeaseState::Held), kStart);
    apply(record("x", BudgetLeaseState::Ended), kStart);
    CHECK_TRUE(table.hasSlotFor("y"));
    apply(record("y", BudgetLeaseState::Held), kStart);
  }
  /// Ends and clears the lease, as after its holder's death.
  void endAndClear(const char* lease, Instant now = kStart) {
    apply(record(lease, BudgetLeaseState::Ended, 9), now);
    apply(record(lease, BudgetLeaseState::Cleared, 9), now);
  }
};

TEST(BudgetLeaseTable, heldLeaseCountsForAllNodesButItsHolder) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  CHECK(counted(kNoRecord) == UnrecordedSpending::Primary);
  CHECK(counted(kEarly) == UnrecordedSpending::Primary);
  CHECK(counted(kNoRecord, "x") == UnrecordedSpending::None);
  CHECK(counted(kEarly, "x") == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, endedLeaseStillCounts) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Ended), kStart);
  CHECK(counted(kEarly) == UnrecordedSpending::Primary);
  CHECK(counted(end + 1) == UnrecordedSpending::Primary);
  CHECK(counted(kNoRecord) == UnrecordedSpending::Primary);
}

// What a program that should be over by its declared time spent will not become known any more.
TEST(BudgetLeaseTable, spendingOfOlderProgramsIsPermanentAfterTheLongestProgramTime) {
  end = 1;
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Ended), kStart);
  const Instant over = kStart + knobs.longestProgramTime();
  CHECK(permanent(kEarly, over - seconds(1)) == UnrecordedSpending::None);
  CHECK(permanent(kEarly, over) == UnrecordedSpending::Primary);
  CHECK(permanent(end + 1, over) == UnrecordedSpending::None);
  CHECK(permanent(kNoRecord, over) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, clearedLeaseDoesNotCount) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  endAndClear("x");
  CHECK(counted(kEarly) == UnrecordedSpending::None);
  CHECK(counted(kNoRecord) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, secondLeaseIsVoidWhileThePrimaryIsHeld) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("y", BudgetLeaseState::Held), kStart);
  CHECK_FALSE(table.stateOf("y").has_value());
  CHECK_FALSE(table.hasSlotFor("y"));
  CHECK(counted(kEarly, "x") == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, newLeaseTakesTheSecondarySlotAfterThePrimaryEndedAndBothCount) {
  holdSecondary();
  CHECK(table.slotOf("x") == BudgetLeaseSlot::Primary);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK(counted(kEarly) == UnrecordedSpending::Both);
  CHECK(counted(kEarly, "x") == UnrecordedSpending::Secondary);
  CHECK(counted(kEarly, "y") == UnrecordedSpending::Primary);
}

TEST(BudgetLeaseTable, thirdLeaseIsVoidWhileTwoAreActive) {
  holdSecondary();
  apply(record("z", BudgetLeaseState::Held), kStart);
  CHECK_FALSE(table.stateOf("z").has_value());
  CHECK_FALSE(table.hasSlotFor("z"));
  CHECK_TRUE(table.hasSlotFor("y"));
  apply(record("z", BudgetLeaseState::Held, 2), kStart);
  CHECK_FALSE(table.stateOf("z").has_value());
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK_TRUE(table.hasSlotFor("z"));
  apply(record("z", BudgetLeaseState::Held, 3), kStart);
  CHECK(table.stateOf("z") == BudgetLeaseState::Held);
}

TEST(BudgetLeaseTable, renewalPromotesTheSecondaryLeaseWhenThePrimarySlotIsFree) {
  holdSecondary();
  apply(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK_FALSE(table.canPromote("y"));
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK_TRUE(table.canPromote("y"));
  apply(record("y", BudgetLeaseState::Held, 2), kStart);  // A duplicate of an old record.
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  apply(record("y", BudgetLeaseState::Held, 3), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Primary);
  CHECK_FALSE(table.canPromote("y"));
}

TEST(BudgetLeaseTable, secondaryLeaseIsNotPromotedWhenAnotherTookThePrimarySlot) {
  holdSecondary();
  endAndClear("x");
  apply(record("z", BudgetLeaseState::Held), kStart);
  apply(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("z") == BudgetLeaseSlot::Primary);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
}

TEST(BudgetLeaseTable, renewalSetsTheSlotWhenTheFirstRecordWasCompacted) {
  BudgetLease renewal = record("y", BudgetLeaseState::Held, 5);
  renewal.slot = BudgetLeaseSlot::Secondary;
  apply(renewal, kStart);
  apply(record("x", BudgetLeaseState::Held, 5), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK(table.slotOf("x") == BudgetLeaseSlot::Primary);
}

TEST(BudgetLeaseTable, releasedLeaseDoesNotCount) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(counted(kEarly) == UnrecordedSpending::None);
  CHECK(counted(kNoRecord) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, bothLeasesThatEndedUnderAProgramCount) {
  end = 1;
  holdSecondary();
  apply(record("y", BudgetLeaseState::Ended), kStart);
  CHECK(counted(kEarly) == UnrecordedSpending::Both);
  CHECK(counted(kNoRecord) == UnrecordedSpending::Both);
  CHECK(permanent(kEarly, kStart + knobs.longestProgramTime()) == UnrecordedSpending::Both);
}

TEST(BudgetLeaseTable, leaseReleasedAfterAnOffsetCountsAtThatOffset) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t clearedAt = end;
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  apply(record("x", BudgetLeaseState::Cleared), kStart);  // A duplicate.
  CHECK(counted(kEarly, "", clearedAt) == UnrecordedSpending::Primary);
  CHECK(counted(kEarly, "", clearedAt + 1) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, leaseEndedOrClearedAfterAnOffsetCountsAsBeforeAtThatOffset) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t endedAt = end;
  endAndClear("x");
  CHECK(counted(kNoRecord, "", endedAt) == UnrecordedSpending::Primary);
  CHECK(counted(kNoRecord, "", endedAt + 1) == UnrecordedSpending::Primary);
  CHECK(counted(kNoRecord, "", endedAt + 2) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, leaseClearedAfterAnOffsetCountsThereBesideAPromotedOne) {
  end = 1;
  holdSecondary();
  const std::uint64_t clearedAt = end;
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  apply(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Primary);
  CHECK(counted(kEarly, "", clearedAt) == UnrecordedSpending::Both);
  CHECK(counted(kEarly, "", clearedAt + 1) == UnrecordedSpending::Primary);
}

TEST(BudgetLeaseTable, leaseReleasedAfterAnOffsetCountsThereBesideAnEndedOne) {
  end = 1;
  holdSecondary();
  const std::uint64_t releasedAt = end;
  apply(record("y", BudgetLeaseState::Cleared), kStart);
  CHECK(counted(kEarly, "", releasedAt) == UnrecordedSpending::Both);
  CHECK(counted(kEarly, "", releasedAt + 1) == UnrecordedSpending::Primary);
}

TEST(BudgetLeaseTable, lateHeldRecordDoesNotReopenAClearedLease) {
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  apply(record("x", BudgetLeaseState::Held, 9), kStart + seconds(1));
  CHECK(table.stateOf("x") == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, endRecordIsVoidAfterANewerRenewal) {
  apply(record("x", BudgetLeaseState::Held, 1), kStart);
  apply(record("x", BudgetLeaseState::Held, 2), kStart);
  apply(record("x", BudgetLeaseState::Ended, 1), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Held);
  apply(record("x", BudgetLeaseState::Ended, 2), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
}

TEST(BudgetLeaseTable, leaseIsEndedWhenItsHolderRestartedOrItExpired) {
  apply(record("x", BudgetLeaseState::Held, 3), kStart);
  CHECK_FALSE(table.nextTransition("own", "other", kStart + knobs.expiry - seconds(1)).has_value());
  CHECK_FALSE(table.nextTransition("x", "home", kStart + knobs.expiry).has_value());
  const auto restarted = table.nextTransition("own", "home", kStart);
  CHECK_TRUE(restarted.has_value());
  CHECK(restarted->state == BudgetLeaseState::Ended);
  LONGS_EQUAL(3, restarted->renewal);
  CHECK_TRUE(table.nextTransition("own", "other", kStart + knobs.expiry).has_value());
}

TEST(BudgetLeaseTable, renewalPostponesExpiry) {
  apply(record("x", BudgetLeaseState::Held, 1), kStart);
  apply(record("x", BudgetLeaseState::Held, 2), kStart + seconds(20));
  CHECK_FALSE(table.nextTransition("own", "other", kStart + knobs.expiry).has_value());
}

TEST(BudgetLeaseTable, holderStopsUsingALeaseBeforeOthersTreatItAsExpired) {
  CHECK(knobs.validity < knobs.expiry);
}

// Guards against a second grant to a program that comes back with new time.
TEST(BudgetLeaseTable, endedLeaseIsClearedAfterTheRetention) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Ended), kStart);
  const Instant past = kStart + knobs.retention;
  CHECK_FALSE(table.nextTransition("own", "other", past - seconds(1)).has_value());
  CHECK(table.nextTransition("own", "other", past)->state == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, bothLeasesOfADeadHolderAreEndedAndCleared) {
  holdSecondary();
  const auto end = table.nextTransition("own", "home", kStart);
  STRCMP_EQUAL("y", end->lease.c_str());
  CHECK(end->state == BudgetLeaseState::Ended);
  apply(*end, kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
  CHECK(table.stateOf("y") == BudgetLeaseState::Ended);
  const Instant past = kStart + knobs.retention;
  CHECK_FALSE(table.nextTransition("own", "home", past - seconds(1)).has_value());
  for (const char* const lease : {"x", "y"}) {
    const auto clearing = table.nextTransition("own", "home", past);
    STRCMP_EQUAL(lease, clearing->lease.c_str());
    CHECK(clearing->state == BudgetLeaseState::Cleared);
    apply(*clearing, past);
  }
  CHECK_FALSE(table.nextTransition("own", "home", past).has_value());
}

TEST(BudgetLeaseTable, leaseKnownOnlyByItsClearingDoesNotCount) {
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(counted(kEarly) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, evictsOnlyLeasesClearedBeforeTheRetentionPeriod) {
  apply(record("cleared", BudgetLeaseState::Cleared), kStart);
  apply(record("held", BudgetLeaseState::Held), kStart);
  table.evictCleared(kStart + knobs.retention - seconds(1));
  LONGS_EQUAL(2, table.size());
  table.evictCleared(kStart + knobs.retention);
  LONGS_EQUAL(1, table.size());
}

TEST_GROUP(LeaseAllowance) { BudgetLeaseKnobs knobs; };

TEST(LeaseAllowance, allowsAShareOfTheBudgetOrOneLargerTurn) {
  const LeaseAllowance allowance(knobs, 1000);
  const auto allows = [&](std::uint64_t ahead, std::uint64_t tokens) {
    return allowance.allows(BudgetLeaseSlot::Primary, ahead, tokens);
  };
  CHECK_TRUE(allows(0, 450));
  CHECK_TRUE(allows(250, 200));
  CHECK_FALSE(allows(251, 200));
  CHECK_TRUE(allows(0, 700));
  CHECK_FALSE(allows(0, 701));
  CHECK_FALSE(allows(1, 700));
}

TEST(LeaseAllowance, secondaryLeaseAllowsALowerShare) {
  const LeaseAllowance allowance(knobs, 1000);
  const auto allows = [&](std::uint64_t ahead, std::uint64_t tokens) {
    return allowance.allows(BudgetLeaseSlot::Secondary, ahead, tokens);
  };
  CHECK_TRUE(allows(100, 50));
  CHECK_FALSE(allows(101, 50));
  CHECK_TRUE(allows(0, 150));
  CHECK_FALSE(allows(0, 151));
}

TEST(LeaseAllowance, largerSingleTurnShareOfASecondaryLeaseAppliesOnlyWithoutUnrecordedTokens) {
  knobs.secondary = {0.3, 0.45};
  const LeaseAllowance allowance(knobs, 1000);
  const auto allows = [&](std::uint64_t ahead, std::uint64_t tokens) {
    return allowance.allows(BudgetLeaseSlot::Secondary, ahead, tokens);
  };
  CHECK_TRUE(allows(150, 150));
  CHECK_FALSE(allows(151, 150));
  CHECK_TRUE(allows(0, 450));
  CHECK_FALSE(allows(0, 451));
  CHECK_FALSE(allows(1, 450));
}

TEST(LeaseAllowance, maxSpentIsTheMostThatALeaseAllows) {
  const LeaseAllowance allowance(knobs, 1000);
  LONGS_EQUAL(0, allowance.maxSpent(UnrecordedSpending::None, 900));
  LONGS_EQUAL(450, allowance.maxSpent(UnrecordedSpending::Primary, 300));
  LONGS_EQUAL(600, allowance.maxSpent(UnrecordedSpending::Primary, 600));
  LONGS_EQUAL(700, allowance.maxSpent(UnrecordedSpending::Primary, 900));
  LONGS_EQUAL(150, allowance.maxSpent(UnrecordedSpending::Secondary, 100));
  LONGS_EQUAL(150, allowance.maxSpent(UnrecordedSpending::Secondary, 900));
  LONGS_EQUAL(600, allowance.maxSpent(UnrecordedSpending::Both, 300));
  LONGS_EQUAL(850, allowance.maxSpent(UnrecordedSpending::Both, 900));
}

// Guards against shares that let a program exceed its budget by more than one turn when both leases
// count.
TEST(LeaseAllowance, aSingleTurnOfASecondaryLeaseFitsThePrimaryShare) {
  CHECK(knobs.secondary.singleTurnShare <= knobs.primary.share);
  CHECK(knobs.secondary.share <= knobs.primary.share);
  CHECK(knobs.primary.share + knobs.secondary.share <= 1.0);
}
