// Guards the table of note 0011: what each record of a turn counts, in whatever order they come.
#include "ledger/budget_accounts.h"

#include <algorithm>
#include <array>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

namespace {

const Instant kNow{seconds(1000)};
const BudgetReservation kReservation{"r", "program", 300};

}  // namespace

TEST_GROUP(BudgetAccounts) {
  using Step = std::function<void(BudgetAccounts&)>;
  static Step reservedAt(std::uint64_t offset) {
    return [offset](BudgetAccounts& accounts) {
      accounts.applyReservation(kReservation, offset, kNow);
    };
  }
  static Step settledWith(std::uint64_t tokens) {
    return [tokens](BudgetAccounts& accounts) {
      accounts.applySettlement({"r", "program", tokens}, kNow);
    };
  }
  /// Applies the steps in every order, each of them twice, and checks what the request counts.
  static void checkInAnyOrder(std::uint64_t tokens, const std::array<Step, 3>& steps) {
    std::array<std::size_t, 6> order{0, 1, 2, 0, 1, 2};
    std::sort(order.begin(), order.end());
    do {
      BudgetAccounts accounts;
      for (const std::size_t step : order) {
        steps[step](accounts);
      }
      LONGS_EQUAL(tokens, accounts.tokensUsedBy("program"));
    } while (std::next_permutation(order.begin(), order.end()));
  }
};

TEST(BudgetAccounts, theLargestSettlementCountsWhateverComesAfterIt) {
  checkInAnyOrder(120, {reservedAt(4), settledWith(0), settledWith(120)});
}

TEST(BudgetAccounts, aRefusedTurnCountsNothing) {
  checkInAnyOrder(0, {reservedAt(4), reservedAt(9), settledWith(0)});
}

TEST(BudgetAccounts, aTurnWithoutASettlementCountsItsMost) {
  checkInAnyOrder(300, {reservedAt(4), reservedAt(9), reservedAt(2)});
}

// The reservation may be known only to a coordinator that has died.
TEST(BudgetAccounts, aSettlementCountsWithoutItsReservation) {
  BudgetAccounts accounts;
  settledWith(120)(accounts);
  LONGS_EQUAL(120, accounts.tokensUsedBefore("program", "other", 1));
}

TEST(BudgetAccounts, aRevokedGrantCountsWhatItsRecordsTell) {
  BudgetAccounts accounts;
  accounts.applyGrant(kReservation, kNow);
  LONGS_EQUAL(300, accounts.tokensUsedBy("program"));
  accounts.revokeGrant(kReservation);
  LONGS_EQUAL(0, accounts.tokensUsedBy("program"));
  accounts.applyGrant(kReservation, kNow);
  settledWith(120)(accounts);
  accounts.revokeGrant(kReservation);
  LONGS_EQUAL(120, accounts.tokensUsedBy("program"));
}

TEST(BudgetAccounts, aSmallerSettlementIsRecordedWithALargerOne) {
  BudgetAccounts accounts;
  CHECK_FALSE(accounts.isRecorded(BudgetSettlement{"r", "program", 0}));
  accounts.onSettlementRecorded({"r", "program", 120});
  CHECK_TRUE(accounts.isRecorded(BudgetSettlement{"r", "program", 0}));
  CHECK_FALSE(accounts.isRecorded(BudgetSettlement{"r", "program", 130}));
}
