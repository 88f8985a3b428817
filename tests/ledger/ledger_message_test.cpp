// Guards the wire encoding of ledger calls and replies.
#include "ledger/ledger_message.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

namespace {

template <class Request>
Request sentAndRead(const Request& request) {
  Result<LedgerRequest> read = decodeLedgerRequest(encodeLedgerRequest(request));
  CHECK_TRUE(succeeded(read));
  return std::get<Request>(valueOf(read));
}

}  // namespace

TEST_GROUP(LedgerMessage){};

TEST(LedgerMessage, requestsSurviveEncodingAndDecoding) {
  const auto find = sentAndRead(FindTurnRequest{{"hall-a", 1}, "t1"});
  STRCMP_EQUAL("hall-a", find.placement.zone.c_str());
  LONGS_EQUAL(1, find.placement.choice);
  STRCMP_EQUAL("t1", find.turn.c_str());
  const std::string bytes("a\0b", 3);
  const auto store = sentAndRead(StoreTurnRequest{{"z", 1}, {"t2", "t1", bytes}, milliseconds(70)});
  LONGS_EQUAL(1, store.placement.choice);
  STRCMP_EQUAL("t1", store.record.base.c_str());
  CHECK(store.record.history == bytes);
  CHECK(store.timeLimit == milliseconds(70));
  const auto reserve =
      sentAndRead(ReserveRequest{{{"r", "p", 288}, 1000, milliseconds(700)}, milliseconds(5)});
  LONGS_EQUAL(288, reserve.budget.reservation.tokens);
  LONGS_EQUAL(1000, reserve.budget.budget);
  CHECK(reserve.budget.programTimeLeft == milliseconds(700));
  const auto untold = sentAndRead(ReserveRequest{{{"r", "p", 1}, 10, {}}, milliseconds(5)});
  CHECK_FALSE(untold.budget.programTimeLeft.has_value());
  LONGS_EQUAL(9, sentAndRead(SettleRequest{{"r", "p", 9}}).settlement.tokens);
}

TEST(LedgerMessage, repliesSurviveEncodingAndDecoding) {
  LedgerReply reply{LedgerOutcome::BudgetSpent, "base", "history", 42, "why"};
  Result<LedgerReply> read = decodeLedgerReply(encodeLedgerReply(reply));
  CHECK_TRUE(succeeded(read));
  CHECK(valueOf(read).outcome == LedgerOutcome::BudgetSpent);
  STRCMP_EQUAL("base", valueOf(read).base.c_str());
  STRCMP_EQUAL("history", valueOf(read).history.c_str());
  LONGS_EQUAL(42, valueOf(read).tokensUsed);
  STRCMP_EQUAL("why", valueOf(read).reason.c_str());
  CHECK_TRUE(valueOf(read).canDecideReservations);
  reply.canDecideReservations = false;
  CHECK_FALSE(valueOf(decodeLedgerReply(encodeLedgerReply(reply))).canDecideReservations);
}

TEST(LedgerMessage, undecidedReasonSurvivesEncodingAndDecoding) {
  LedgerReply reply;
  reply.undecided = UndecidedReason::UnseenSpending;
  reply.unseenLeases = UnrecordedSpending::Both;
  reply.tokensUnseen = 600;
  reply.grantedUnder = "node/1/budgets-0/6/1";
  const LedgerReply read = valueOf(decodeLedgerReply(encodeLedgerReply(reply)));
  CHECK(read.undecided == UndecidedReason::UnseenSpending);
  CHECK(read.unseenLeases == UnrecordedSpending::Both);
  LONGS_EQUAL(600, read.tokensUnseen);
  STRCMP_EQUAL("node/1/budgets-0/6/1", read.grantedUnder.c_str());
}

TEST(LedgerMessage, unsupportedReasonsDecodeAsUnknown) {
  constexpr auto kOfANewerVersion = static_cast<UndecidedReason>(200);
  LedgerReply reply;
  reply.undecided = kOfANewerVersion;
  reply.unseenLeases = static_cast<UnrecordedSpending>(9);
  const LedgerReply read = valueOf(decodeLedgerReply(encodeLedgerReply(reply)));
  CHECK(read.undecided == UndecidedReason::Unknown);
  CHECK(read.unseenLeases == UnrecordedSpending::None);
  // Fields missing in the message of an older node get their defaults.
  const LedgerReply older = valueOf(decodeLedgerReply(encodeLedgerReply({})));
  CHECK(older.undecided == UndecidedReason::Unknown);
  LONGS_EQUAL(0, older.tokensUnseen);
}

TEST(LedgerMessage, truncatedCorruptAndForeignBytesAreRejected) {
  const std::string whole = encodeLedgerRequest(StoreTurnRequest{{"z", 0}, {"t", "", "text"}, {}});
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const auto read = decodeLedgerRequest(std::string_view(whole).substr(0, length));
    // Only padding bytes may be missing without an error.
    CHECK(!succeeded(read) || std::get<StoreTurnRequest>(valueOf(read)).record.history == "text");
  }
  CHECK_FALSE(succeeded(decodeLedgerReply(whole)));
  CHECK_FALSE(succeeded(decodeLedgerRequest(encodeLedgerReply({}))));
  CHECK_FALSE(succeeded(decodeLedgerRequest("no message at all, but long enough for a header")));
}
