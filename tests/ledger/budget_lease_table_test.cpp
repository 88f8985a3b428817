// Guards the states and slots of leases, which leases count against a program, and the share
// arithmetic.
#include "ledger/budget_lease_table.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

namespace {

constexpr Instant kStart{seconds(1000)};

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
  UnrecordedSpending countedLeases(bool hasTimeLeft, Instant now = kStart, const char* own = "") {
    return table.unrecordedSpending(own, hasTimeLeft, kMaxOffset, now);
  }
  UnrecordedSpending countedLeasesBelow(std::uint64_t offset, bool hasTimeLeft = true) {
    return table.unrecordedSpending("", hasTimeLeft, offset, kStart);
  }
  bool counts(bool hasTimeLeft, Instant now = kStart, const char* own = "") {
    return countedLeases(hasTimeLeft, now, own) != UnrecordedSpending::None;
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
  CHECK_TRUE(counts(true));
  CHECK_FALSE(counts(true, kStart, "x"));
  CHECK_FALSE(counts(false, kStart, "x"));
}

TEST(BudgetLeaseTable, endedLeaseStillCounts) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Ended), kStart);
  CHECK_TRUE(counts(true));
}

TEST(BudgetLeaseTable, leaseClearedAfterItsEndCountsOnlyForOverduePrograms) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  endAndClear("x");
  CHECK_FALSE(counts(true));
  CHECK_TRUE(counts(false));
  CHECK_FALSE(counts(false, kStart + knobs.retention));
}

TEST(BudgetLeaseTable, secondLeaseIsVoidWhileThePrimaryIsHeld) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("y", BudgetLeaseState::Held), kStart);
  CHECK_FALSE(table.stateOf("y").has_value());
  CHECK_FALSE(table.hasSlotFor("y"));
  CHECK_FALSE(counts(true, kStart, "x"));
}

TEST(BudgetLeaseTable, newLeaseTakesTheSecondarySlotAfterThePrimaryEndedAndBothCount) {
  holdSecondary();
  CHECK(table.slotOf("x") == BudgetLeaseSlot::Primary);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK(countedLeases(true) == UnrecordedSpending::Both);
  CHECK(countedLeases(true, kStart, "x") == UnrecordedSpending::Secondary);
  CHECK(countedLeases(true, kStart, "y") == UnrecordedSpending::Primary);
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

TEST(BudgetLeaseTable, releasedLeaseDoesNotCountForOverduePrograms) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK_FALSE(counts(true));
  CHECK_FALSE(counts(false));
}

TEST(BudgetLeaseTable, overdueProgramsCountOverlappingClearedLeasesTogether) {
  holdSecondary();
  endAndClear("x");
  CHECK(countedLeases(true) == UnrecordedSpending::Secondary);
  CHECK(countedLeases(false) == UnrecordedSpending::Both);
  CHECK(countedLeases(false, kStart, "y") == UnrecordedSpending::Primary);
  endAndClear("y", kStart + seconds(1));
  CHECK(countedLeases(true) == UnrecordedSpending::None);
  CHECK(countedLeases(false, kStart + seconds(1), "z") == UnrecordedSpending::Both);
  CHECK(countedLeases(false, kStart + seconds(1) + knobs.retention, "z") ==
        UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, overdueProgramsCountConsecutiveClearedLeasesOnce) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  endAndClear("x");
  apply(record("y", BudgetLeaseState::Held), kStart);
  endAndClear("y");
  CHECK(countedLeases(false) == UnrecordedSpending::Primary);
}

TEST(BudgetLeaseTable, leaseReleasedAfterAnOffsetCountsAtThatOffset) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t clearedAt = end;
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  apply(record("x", BudgetLeaseState::Cleared), kStart);  // A duplicate.
  CHECK(countedLeasesBelow(clearedAt) == UnrecordedSpending::Primary);
  CHECK(countedLeasesBelow(clearedAt + 1) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, leaseEndedAndClearedAfterAnOffsetCountsAtThatOffset) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t endedAt = end;
  endAndClear("x");
  CHECK(countedLeasesBelow(endedAt) == UnrecordedSpending::Primary);
  CHECK(countedLeasesBelow(endedAt + 1) == UnrecordedSpending::Primary);
  CHECK(countedLeasesBelow(endedAt + 2) == UnrecordedSpending::None);
}

TEST(BudgetLeaseTable, leaseClearedAfterAnOffsetCountsThereBesideAPromotedOne) {
  holdSecondary();
  const std::uint64_t clearedAt = end;
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  apply(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Primary);
  CHECK(countedLeasesBelow(clearedAt) == UnrecordedSpending::Both);
  CHECK(countedLeasesBelow(clearedAt + 1) == UnrecordedSpending::Primary);
}

TEST(BudgetLeaseTable, leaseReleasedAfterAnOffsetCountsThereWithAnOverlappingClearedOne) {
  holdSecondary();
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  const std::uint64_t givenBackAt = end;
  apply(record("y", BudgetLeaseState::Cleared), kStart);
  CHECK(countedLeasesBelow(givenBackAt, false) == UnrecordedSpending::Both);
  CHECK(countedLeasesBelow(givenBackAt + 1, false) == UnrecordedSpending::Primary);
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

TEST(BudgetLeaseTable, endedLeaseIsClearedAfterTheLongestProgramTimeAndDecisionDelay) {
  apply(record("x", BudgetLeaseState::Held), kStart);
  apply(record("x", BudgetLeaseState::Ended), kStart);
  const Duration span = knobs.maxRemainingProgramTime + knobs.maxDecisionDelay;
  CHECK_FALSE(table.nextTransition("own", "other", kStart + span - seconds(1)).has_value());
  CHECK(table.nextTransition("own", "other", kStart + span)->state == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, bothLeasesOfADeadHolderAreEndedAndCleared) {
  holdSecondary();
  const auto end = table.nextTransition("own", "home", kStart);
  STRCMP_EQUAL("y", end->lease.c_str());
  CHECK(end->state == BudgetLeaseState::Ended);
  apply(*end, kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
  CHECK(table.stateOf("y") == BudgetLeaseState::Ended);
  const Instant past = kStart + knobs.maxRemainingProgramTime + knobs.maxDecisionDelay;
  CHECK_FALSE(table.nextTransition("own", "home", past - seconds(1)).has_value());
  for (const char* const lease : {"x", "y"}) {
    const auto clearing = table.nextTransition("own", "home", past);
    STRCMP_EQUAL(lease, clearing->lease.c_str());
    CHECK(clearing->state == BudgetLeaseState::Cleared);
    apply(*clearing, past);
  }
  CHECK_FALSE(table.nextTransition("own", "home", past).has_value());
}

TEST(BudgetLeaseTable, leaseKnownOnlyByItsClearingCountsAsBothSlots) {
  apply(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(countedLeases(true) == UnrecordedSpending::None);
  CHECK(countedLeases(false) == UnrecordedSpending::Both);
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
