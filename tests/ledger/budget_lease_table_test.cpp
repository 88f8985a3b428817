// Which leases count against a program: held, ended, cleared; and the arithmetic of a lease.
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

  std::uint64_t end = 0;  ///< Of the log.

  /// The log's next record.
  void tell(const BudgetLease& record, Instant now) { table.applyRecord(record, end++, now); }
  UnseenSpending unseen(bool hasTimeLeft, Instant now = kStart, const char* own = "") {
    return table.unseenSpending(own, hasTimeLeft, kMaxOffset, now);
  }
  UnseenSpending unseenBelow(std::uint64_t offset, bool hasTimeLeft = true) {
    return table.unseenSpending("", hasTimeLeft, offset, kStart);
  }
  bool counts(bool hasTimeLeft, Instant now = kStart, const char* own = "") {
    return unseen(hasTimeLeft, now, own) != UnseenSpending::None;
  }
  /// "x" has ended in the primary slot, and "y" is held in the secondary one.
  void holdSecondary() {
    tell(record("x", BudgetLeaseState::Held), kStart);
    tell(record("x", BudgetLeaseState::Ended), kStart);
    CHECK_TRUE(table.hasSlotFor("y"));
    tell(record("y", BudgetLeaseState::Held), kStart);
  }
  /// The lease ends and is cleared, as after its holder's death.
  void endAndClear(const char* lease, Instant now = kStart) {
    tell(record(lease, BudgetLeaseState::Ended, 9), now);
    tell(record(lease, BudgetLeaseState::Cleared, 9), now);
  }
};

TEST(BudgetLeaseTable, aHeldLeaseCountsForEverybodyButItsHolder) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  CHECK_TRUE(counts(true));
  CHECK_FALSE(counts(true, kStart, "x"));
  CHECK_FALSE(counts(false, kStart, "x"));
}

TEST(BudgetLeaseTable, anEndedLeaseStillCounts) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  tell(record("x", BudgetLeaseState::Ended), kStart);
  CHECK_TRUE(counts(true));
}

TEST(BudgetLeaseTable, aLeaseThatWasClearedAfterItsEndCountsOnlyForProgramsThatMayBeOlder) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  endAndClear("x");
  CHECK_FALSE(counts(true));
  CHECK_TRUE(counts(false));
  CHECK_FALSE(counts(false, kStart + knobs.retention));
}

TEST(BudgetLeaseTable, whileALeaseIsHeldTheRecordOfAnotherIsVoid) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  tell(record("y", BudgetLeaseState::Held), kStart);
  CHECK_FALSE(table.stateOf("y").has_value());
  CHECK_FALSE(table.hasSlotFor("y"));
  CHECK_FALSE(counts(true, kStart, "x"));
}

TEST(BudgetLeaseTable, besideALeaseThatHasEndedAnotherEntersTheSecondarySlotAndBothCount) {
  holdSecondary();
  CHECK(table.slotOf("x") == BudgetLeaseSlot::Primary);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK(unseen(true) == UnseenSpending::Both);
  CHECK(unseen(true, kStart, "x") == UnseenSpending::Secondary);
  CHECK(unseen(true, kStart, "y") == UnseenSpending::Primary);
}

TEST(BudgetLeaseTable, whileTwoLeasesAreInForceTheRecordOfAThirdIsVoid) {
  holdSecondary();
  tell(record("z", BudgetLeaseState::Held), kStart);
  CHECK_FALSE(table.stateOf("z").has_value());
  CHECK_FALSE(table.hasSlotFor("z"));
  CHECK_TRUE(table.hasSlotFor("y"));
  tell(record("z", BudgetLeaseState::Held, 2), kStart);
  CHECK_FALSE(table.stateOf("z").has_value());
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK_TRUE(table.hasSlotFor("z"));
  tell(record("z", BudgetLeaseState::Held, 3), kStart);
  CHECK(table.stateOf("z") == BudgetLeaseState::Held);
}

TEST(BudgetLeaseTable, aRenewalMovesTheSecondaryLeaseUpWhenThePrimarySlotIsFree) {
  holdSecondary();
  tell(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK_FALSE(table.canPromote("y"));
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK_TRUE(table.canPromote("y"));
  tell(record("y", BudgetLeaseState::Held, 2), kStart);  // An old one that stands twice.
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  tell(record("y", BudgetLeaseState::Held, 3), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Primary);
  CHECK_FALSE(table.canPromote("y"));
}

TEST(BudgetLeaseTable, whenAnotherTookThePrimarySlotFirstTheSecondaryLeaseStays) {
  holdSecondary();
  endAndClear("x");
  tell(record("z", BudgetLeaseState::Held), kStart);
  tell(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("z") == BudgetLeaseSlot::Primary);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
}

TEST(BudgetLeaseTable, aReaderWhosePartitionLostTheFirstRecordBelievesTheRenewalsSlot) {
  BudgetLease renewal = record("y", BudgetLeaseState::Held, 5);
  renewal.slot = BudgetLeaseSlot::Secondary;
  tell(renewal, kStart);
  tell(record("x", BudgetLeaseState::Held, 5), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Secondary);
  CHECK(table.slotOf("x") == BudgetLeaseSlot::Primary);
}

TEST(BudgetLeaseTable, aLeaseThatWasGivenBackOwesNothingEvenToLatePrograms) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK_FALSE(counts(true));
  CHECK_FALSE(counts(false));
}

TEST(BudgetLeaseTable, lateProgramsCountClearedLeasesThatWereUnclearedAtOneTimeTogether) {
  holdSecondary();
  endAndClear("x");
  CHECK(unseen(true) == UnseenSpending::Secondary);
  CHECK(unseen(false) == UnseenSpending::Both);
  CHECK(unseen(false, kStart, "y") == UnseenSpending::Primary);
  endAndClear("y", kStart + seconds(1));
  CHECK(unseen(true) == UnseenSpending::None);
  CHECK(unseen(false, kStart + seconds(1), "z") == UnseenSpending::Both);
  CHECK(unseen(false, kStart + seconds(1) + knobs.retention, "z") == UnseenSpending::None);
}

TEST(BudgetLeaseTable, lateProgramsCountLeasesThatCameAfterOneAnotherOnce) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  endAndClear("x");
  tell(record("y", BudgetLeaseState::Held), kStart);
  endAndClear("y");
  CHECK(unseen(false) == UnseenSpending::Primary);
}

TEST(BudgetLeaseTable, aLeaseThatWasGivenBackBehindAnOffsetCountsThere) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t clearedAt = end;
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  tell(record("x", BudgetLeaseState::Cleared), kStart);  // It stands twice.
  CHECK(unseenBelow(clearedAt) == UnseenSpending::Primary);
  CHECK(unseenBelow(clearedAt + 1) == UnseenSpending::None);
}

TEST(BudgetLeaseTable, aLeaseThatWasClearedAfterItsEndBehindAnOffsetCountsThere) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  const std::uint64_t endedAt = end;
  endAndClear("x");
  CHECK(unseenBelow(endedAt) == UnseenSpending::Primary);
  CHECK(unseenBelow(endedAt + 1) == UnseenSpending::Primary);
  CHECK(unseenBelow(endedAt + 2) == UnseenSpending::None);
}

TEST(BudgetLeaseTable, aLeaseThatWasClearedBehindAnOffsetCountsThereBesideOneThatMovedUpSince) {
  holdSecondary();
  const std::uint64_t clearedAt = end;
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  tell(record("y", BudgetLeaseState::Held, 2), kStart);
  CHECK(table.slotOf("y") == BudgetLeaseSlot::Primary);
  CHECK(unseenBelow(clearedAt) == UnseenSpending::Both);
  CHECK(unseenBelow(clearedAt + 1) == UnseenSpending::Primary);
}

TEST(BudgetLeaseTable, aLeaseThatWasGivenBackBehindAnOffsetCountsThereWithWhatWasClearedBesideIt) {
  holdSecondary();
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  const std::uint64_t givenBackAt = end;
  tell(record("y", BudgetLeaseState::Cleared), kStart);
  CHECK(unseenBelow(givenBackAt, false) == UnseenSpending::Both);
  CHECK(unseenBelow(givenBackAt + 1, false) == UnseenSpending::Primary);
}

TEST(BudgetLeaseTable, statesOnlyGoForwards) {
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  tell(record("x", BudgetLeaseState::Held, 9), kStart + seconds(1));
  CHECK(table.stateOf("x") == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, anEndIsVoidWhenTheLeaseWasRenewedBeforeIt) {
  tell(record("x", BudgetLeaseState::Held, 1), kStart);
  tell(record("x", BudgetLeaseState::Held, 2), kStart);
  tell(record("x", BudgetLeaseState::Ended, 1), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Held);
  tell(record("x", BudgetLeaseState::Ended, 2), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
}

TEST(BudgetLeaseTable, aLeaseIsDueToEndWhenItsHolderStartedAnewOrWasNotHeardForLong) {
  tell(record("x", BudgetLeaseState::Held, 3), kStart);
  CHECK_FALSE(table.nextTransition("own", "other", kStart + knobs.expiry - seconds(1)).has_value());
  CHECK_FALSE(table.nextTransition("x", "home", kStart + knobs.expiry).has_value());
  const auto restarted = table.nextTransition("own", "home", kStart);
  CHECK_TRUE(restarted.has_value());
  CHECK(restarted->state == BudgetLeaseState::Ended);
  LONGS_EQUAL(3, restarted->renewal);
  CHECK_TRUE(table.nextTransition("own", "other", kStart + knobs.expiry).has_value());
}

TEST(BudgetLeaseTable, renewalsPutTheExpiryOff) {
  tell(record("x", BudgetLeaseState::Held, 1), kStart);
  tell(record("x", BudgetLeaseState::Held, 2), kStart + seconds(20));
  CHECK_FALSE(table.nextTransition("own", "other", kStart + knobs.expiry).has_value());
}

TEST(BudgetLeaseTable, aHolderStopsBeforeOthersTakeItsLeaseForExpired) {
  CHECK(knobs.validity < knobs.expiry);
}

TEST(BudgetLeaseTable, anEndedLeaseIsDueToBeClearedWhenItsProgramsShouldBeOver) {
  tell(record("x", BudgetLeaseState::Held), kStart);
  tell(record("x", BudgetLeaseState::Ended), kStart);
  const Duration span = knobs.maxRemainingProgramTime + knobs.maxDecisionDelay;
  CHECK_FALSE(table.nextTransition("own", "other", kStart + span - seconds(1)).has_value());
  CHECK(table.nextTransition("own", "other", kStart + span)->state == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, eachOfTwoDeadLeasesIsDueToEnd) {
  holdSecondary();
  const auto end = table.nextTransition("own", "home", kStart);
  STRCMP_EQUAL("y", end->lease.c_str());
  CHECK(end->state == BudgetLeaseState::Ended);
  tell(*end, kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
  CHECK(table.stateOf("y") == BudgetLeaseState::Ended);
  const Instant past = kStart + knobs.maxRemainingProgramTime + knobs.maxDecisionDelay;
  CHECK_FALSE(table.nextTransition("own", "home", past - seconds(1)).has_value());
  for (const char* const lease : {"x", "y"}) {
    const auto clearing = table.nextTransition("own", "home", past);
    STRCMP_EQUAL(lease, clearing->lease.c_str());
    CHECK(clearing->state == BudgetLeaseState::Cleared);
    tell(*clearing, past);
  }
  CHECK_FALSE(table.nextTransition("own", "home", past).has_value());
}

TEST(BudgetLeaseTable, aLeaseWhoseOnlyRecordLeftIsItsEndMayHaveSpentAll) {
  tell(record("x", BudgetLeaseState::Cleared), kStart);
  CHECK(unseen(true) == UnseenSpending::None);
  CHECK(unseen(false) == UnseenSpending::Both);
}

TEST(BudgetLeaseTable, forgetsOnlyWhatWasClearedLongAgo) {
  tell(record("cleared", BudgetLeaseState::Cleared), kStart);
  tell(record("held", BudgetLeaseState::Held), kStart);
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

TEST(LeaseAllowance, aSecondaryLeaseAllowsLess) {
  const LeaseAllowance allowance(knobs, 1000);
  const auto allows = [&](std::uint64_t ahead, std::uint64_t tokens) {
    return allowance.allows(BudgetLeaseSlot::Secondary, ahead, tokens);
  };
  CHECK_TRUE(allows(100, 50));
  CHECK_FALSE(allows(101, 50));
  CHECK_TRUE(allows(0, 150));
  CHECK_FALSE(allows(0, 151));
}

TEST(LeaseAllowance, aSecondaryLeaseWithALargerSingleTurnAllowsItWhenNothingElseIsAhead) {
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

TEST(LeaseAllowance, othersCountTheMostThatItAllows) {
  const LeaseAllowance allowance(knobs, 1000);
  LONGS_EQUAL(0, allowance.maxSpent(UnseenSpending::None, 900));
  LONGS_EQUAL(450, allowance.maxSpent(UnseenSpending::Primary, 300));
  LONGS_EQUAL(600, allowance.maxSpent(UnseenSpending::Primary, 600));
  LONGS_EQUAL(700, allowance.maxSpent(UnseenSpending::Primary, 900));
  LONGS_EQUAL(150, allowance.maxSpent(UnseenSpending::Secondary, 100));
  LONGS_EQUAL(150, allowance.maxSpent(UnseenSpending::Secondary, 900));
  LONGS_EQUAL(600, allowance.maxSpent(UnseenSpending::Both, 300));
  LONGS_EQUAL(850, allowance.maxSpent(UnseenSpending::Both, 900));
}

// Whoever counts both leases keeps within the budget and one turn, whichever larger turn was spent
// under one of them: note 0011.
TEST(LeaseAllowance, aSingleTurnOfASecondaryLeaseFitsThePrimaryShare) {
  CHECK(knobs.secondary.singleTurnShare <= knobs.primary.share);
  CHECK(knobs.secondary.share <= knobs.primary.share);
  CHECK(knobs.primary.share + knobs.secondary.share <= 1.0);
}
