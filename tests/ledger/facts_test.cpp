// Guards the encoding of facts, and the rejection of corrupt records.
#include "ledger/facts.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

TEST_GROUP(Facts){};

TEST(Facts, fieldsSurviveEncodingAndDecoding) {
  const auto turn = decodeFact(encodeFact(CompletedTurn{"t2", "t1", "a\nb\n"}));
  STRCMP_EQUAL("t1", std::get<CompletedTurn>(valueOf(turn)).base.c_str());
  STRCMP_EQUAL("a\nb\n", std::get<CompletedTurn>(valueOf(turn)).history.c_str());
  const auto reservation = decodeFact(encodeFact(BudgetReservation{"r", "p", 288}));
  LONGS_EQUAL(288, std::get<BudgetReservation>(valueOf(reservation)).tokens);
  const auto settlement = decodeFact(encodeFact(BudgetSettlement{"r", "p", 9}));
  STRCMP_EQUAL("p", std::get<BudgetSettlement>(valueOf(settlement)).program.c_str());
  const auto lease = decodeFact(
      encodeFact(BudgetLease{"l", "home", BudgetLeaseState::Ended, 7, BudgetLeaseSlot::Secondary}));
  STRCMP_EQUAL("l", std::get<BudgetLease>(valueOf(lease)).lease.c_str());
  STRCMP_EQUAL("home", std::get<BudgetLease>(valueOf(lease)).holder.c_str());
  CHECK(std::get<BudgetLease>(valueOf(lease)).state == BudgetLeaseState::Ended);
  LONGS_EQUAL(7, std::get<BudgetLease>(valueOf(lease)).renewal);
  CHECK(std::get<BudgetLease>(valueOf(lease)).slot == BudgetLeaseSlot::Secondary);
}

TEST(Facts, turnWithoutABaseKeepsAnEmptyBase) {
  const auto turn = decodeFact(encodeFact(CompletedTurn{"t1", "", "x"}));
  CHECK(std::get<CompletedTurn>(valueOf(turn)).base.empty());
}

TEST(Facts, corruptBytesAreRejected) {
  const std::string whole = encodeFact(CompletedTurn{"t2", "t1", "text"});
  for (std::size_t length = 0; length < whole.size(); length += 2) {
    CHECK_FALSE(succeeded(decodeFact(whole.substr(0, length))));
  }
  CHECK_FALSE(succeeded(decodeFact("no fact at all")));
}
