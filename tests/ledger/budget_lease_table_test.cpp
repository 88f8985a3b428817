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

  std::uint64_t spenders(bool isTimely, Instant now = kStart, const char* own = "") {
    return table.unseenSpenders(own, isTimely, std::nullopt, now);
  }
};

TEST(BudgetLeaseTable, aHeldLeaseCountsForEverybodyButItsHolder) {
  table.onRecord(record("x", BudgetLeaseState::Held), kStart);
  LONGS_EQUAL(1, spenders(true));
  LONGS_EQUAL(0, spenders(true, kStart, "x"));
}

TEST(BudgetLeaseTable, anEndedLeaseStillCounts) {
  table.onRecord(record("x", BudgetLeaseState::Held), kStart);
  table.onRecord(record("x", BudgetLeaseState::Ended), kStart);
  LONGS_EQUAL(1, spenders(true));
}

TEST(BudgetLeaseTable, aClearedLeaseCountsOnlyForProgramsThatMayBeOlder) {
  table.onRecord(record("x", BudgetLeaseState::Cleared), kStart);
  LONGS_EQUAL(0, spenders(true));
  LONGS_EQUAL(1, spenders(false));
  LONGS_EQUAL(0, table.unseenSpenders("", false, kStart + seconds(1), kStart + seconds(2)));
  LONGS_EQUAL(1, table.unseenSpenders("", false, kStart - seconds(1), kStart + seconds(2)));
  LONGS_EQUAL(0, spenders(false, kStart + knobs.memory));
}

TEST(BudgetLeaseTable, statesOnlyGoForwards) {
  table.onRecord(record("x", BudgetLeaseState::Cleared), kStart);
  table.onRecord(record("x", BudgetLeaseState::Held, 9), kStart + seconds(1));
  CHECK(table.stateOf("x") == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, anEndIsVoidWhenTheLeaseWasRenewedBeforeIt) {
  table.onRecord(record("x", BudgetLeaseState::Held, 1), kStart);
  table.onRecord(record("x", BudgetLeaseState::Held, 2), kStart);
  table.onRecord(record("x", BudgetLeaseState::Ended, 1), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Held);
  table.onRecord(record("x", BudgetLeaseState::Ended, 2), kStart);
  CHECK(table.stateOf("x") == BudgetLeaseState::Ended);
}

TEST(BudgetLeaseTable, aLeaseIsDueToEndWhenItsHolderStartedAnewOrWasNotHeardForLong) {
  table.onRecord(record("x", BudgetLeaseState::Held, 3), kStart);
  LONGS_EQUAL(0, table.due("own", "other", kStart + knobs.expiry - seconds(1)).size());
  LONGS_EQUAL(0, table.due("x", "home", kStart + knobs.expiry).size());
  const auto restarted = table.due("own", "home", kStart);
  LONGS_EQUAL(1, restarted.size());
  CHECK(restarted[0].state == BudgetLeaseState::Ended);
  LONGS_EQUAL(3, restarted[0].renewal);
  LONGS_EQUAL(1, table.due("own", "other", kStart + knobs.expiry).size());
}

TEST(BudgetLeaseTable, renewalsPutTheExpiryOff) {
  table.onRecord(record("x", BudgetLeaseState::Held, 1), kStart);
  table.onRecord(record("x", BudgetLeaseState::Held, 2), kStart + seconds(20));
  LONGS_EQUAL(0, table.due("own", "other", kStart + knobs.expiry).size());
}

TEST(BudgetLeaseTable, anEndedLeaseIsDueToBeClearedWhenItsProgramsShouldBeOver) {
  table.onRecord(record("x", BudgetLeaseState::Held), kStart);
  table.onRecord(record("x", BudgetLeaseState::Ended), kStart);
  const Duration span = knobs.longestProgramTime + knobs.longestCall;
  LONGS_EQUAL(0, table.due("own", "other", kStart + span - seconds(1)).size());
  const auto due = table.due("own", "other", kStart + span);
  LONGS_EQUAL(1, due.size());
  CHECK(due[0].state == BudgetLeaseState::Cleared);
}

TEST(BudgetLeaseTable, forgetsOnlyWhatWasClearedLongAgo) {
  table.onRecord(record("held", BudgetLeaseState::Held), kStart);
  table.onRecord(record("cleared", BudgetLeaseState::Cleared), kStart);
  table.forgetOld(kStart + knobs.memory - seconds(1));
  LONGS_EQUAL(2, table.size());
  table.forgetOld(kStart + knobs.memory);
  LONGS_EQUAL(1, table.size());
}

TEST_GROUP(LeaseAllowance) { BudgetLeaseKnobs knobs; };

TEST(LeaseAllowance, allowsAShareOfTheBudgetOrOneLargerTurn) {
  const LeaseAllowance allowance(knobs, 1000);
  CHECK_TRUE(allowance.allows(0, 450));
  CHECK_TRUE(allowance.allows(250, 200));
  CHECK_FALSE(allowance.allows(251, 200));
  CHECK_TRUE(allowance.allows(0, 700));
  CHECK_FALSE(allowance.allows(0, 701));
  CHECK_FALSE(allowance.allows(1, 700));
}

TEST(LeaseAllowance, othersCountTheMostThatItAllows) {
  const LeaseAllowance allowance(knobs, 1000);
  LONGS_EQUAL(0, allowance.mostSpentBy(0, 300));
  LONGS_EQUAL(450, allowance.mostSpentBy(1, 300));
  LONGS_EQUAL(1200, allowance.mostSpentBy(2, 600));
  LONGS_EQUAL(700, allowance.mostSpentBy(1, 900));
}
