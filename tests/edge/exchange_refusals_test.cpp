// Guards against refusals whose log lines lack the figures that led to them.
#include <memory>
#include <string>

#include "edge/exchange_world.h"
#include "edge/scripted_ledger.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;
using ledger::CoordinatorState;

TEST_GROUP(ExchangeRefusals) {
  ExchangeWorld world;

  std::shared_ptr<ClientView> startIn(EdgeContext & context, CallRequest call) {
    auto client = std::make_shared<ClientView>();
    world.views.push_back(client);
    std::make_shared<Exchange>(context, std::move(call), std::make_unique<FakeWriter>(client))
        ->start();
    return client;
  }
  /// \return all log lines so far.
  const char* lines() {
    world.eventLog.flush();
    return world.lines.c_str();
  }
};

TEST(ExchangeRefusals, aReservationBlockedByOtherNodesLeasesIsLoggedWithItsFigures) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable});
  ledger.reply.reason = ledger::UndecidedReason::UnseenSpending;
  ledger.reply.tokensUsed = 600;
  ledger.reply.tokensUnseen = 450;
  ledger.reply.tokensUnsettled = 288;
  ledger.reply.unseenLeases = ledger::UnrecordedSpending::Primary;
  ledger.reply.partition = "budgets/3";
  ledger.reply.repliedBy = "b:1";
  ledger.reply.asked = {{"a:1", CoordinatorState::NotAlive, {}},
                        {"b:1", CoordinatorState::Undecided, "unseen_spending"}};
  EdgeContext context = world.contextWith(ledger);
  LONGS_EQUAL(503, startIn(context, ExchangeWorld::turn("again"))->status);
  STRCMP_CONTAINS(
      "event=reservation_refused request=q1 program=program previous_turn=\"\" "
      "reason=unseen_spending partition=budgets/3 replied_by=b:1 asked_tokens=288 used_tokens=600 "
      "unsettled_tokens=288 unseen_tokens=450 unseen_leases=primary budget=1000 "
      "nodes=a:1/not_alive,b:1/undecided(unseen_spending)\n",
      lines());
  STRCMP_CONTAINS("outcome=refused_503 reason=reservation_unavailable", lines());
}

TEST(ExchangeRefusals, aReservationThatFailsTwiceInParallelWithTheDispatchIsLoggedOnce) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable},
                        ledger::ReservationOutlook::Likely);
  ledger.timers = &world.timers;
  ledger.reply.reason = ledger::UndecidedReason::NoAnswer;
  EdgeContext context = world.contextWith(ledger);
  const auto client = startIn(context, ExchangeWorld::turn("again"));
  world.timers.advance(context.knobs.reservationRetryDelay + milliseconds(20));
  LONGS_EQUAL(502, client->status);
  const std::string written = lines();
  const std::size_t first = written.find("event=reservation_refused");
  CHECK(first != std::string::npos);
  CHECK(written.find("event=reservation_refused", first + 1) == std::string::npos);
  STRCMP_CONTAINS("reason=no_answer", written.c_str());
}

TEST(ExchangeRefusals, aSpentBudgetIsNotLoggedAsARefusedReservation) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Spent});
  EdgeContext context = world.contextWith(ledger);
  LONGS_EQUAL(402, startIn(context, ExchangeWorld::turn("again"))->status);
  CHECK(std::string(lines()).find("reservation_refused") == std::string::npos);
}

TEST(ExchangeRefusals, anUnreadableHistoryIsLoggedWithPartitionsAndNodes) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Granted});
  const ledger::UnreadPartition first{
      "turns/2", 0, "no answer", {{"a:1", CoordinatorState::Silent, {}}}, true};
  const ledger::UnreadPartition second{"turns/5", 1, "time limit reached", {}, false};
  ledger.history = ledger::LedgerUnavailable{"no answer", {first, second, second, second}};
  EdgeContext context = world.contextWith(ledger);
  CallRequest turn = ExchangeWorld::turn("kept");
  turn.previousTurnId = "q0";
  LONGS_EQUAL(503, startIn(context, turn)->status);
  const std::string written = lines();
  STRCMP_CONTAINS(
      "event=history_refused request=q1 program=program previous_turn=q0 reason=\"no answer\" "
      "partition=turns/2 choice=0 unread_partitions=4 nodes=a:1/silent coordinator_lives=1\n",
      written.c_str());
  STRCMP_CONTAINS("partition=turns/5 choice=1 unread_partitions=4 nodes=\"\" coordinator_lives=0",
                  written.c_str());
  const std::string event = "event=history_refused";
  std::size_t reported = 0;
  for (std::size_t at = written.find(event); at != std::string::npos;
       at = written.find(event, at + 1)) {
    ++reported;
  }
  LONGS_EQUAL(2, reported);
  STRCMP_CONTAINS("outcome=refused_503 reason=history_unavailable", written.c_str());
}

TEST(ExchangeRefusals, theLinesOfARefusalFitTheReservedBytes) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable});
  ledger.reply.reason = ledger::UndecidedReason::LeaseInsufficient;
  ledger.reply.partition = "gorsetrail-budgets/7";
  ledger.reply.repliedBy = "10.200.101.117:18306";
  ledger.reply.tokensUsed = ledger.reply.tokensUnseen = ledger.reply.tokensUnsettled = 1234567;
  for (int node = 0; node < 4; ++node) {
    ledger.reply.asked.push_back(
        {"10.200.101.117:18306", CoordinatorState::Undecided, "lease_insufficient"});
  }
  EdgeContext context = world.contextWith(ledger);
  CallRequest turn = ExchangeWorld::turn("again");
  turn.requestId = turn.programId = turn.previousTurnId = "0123456789abcdef";
  startIn(context, turn);
  const std::string written = lines();
  CHECK_TEXT(written.size() <= kRefusalBytes, std::to_string(written.size()).c_str());
  CHECK_TEXT(written.size() >= kRefusalBytes * 8 / 10, std::to_string(written.size()).c_str());
}
