// Guards the reasons and figures reported for undecided reservations, and for lookups that could
// not read a partition.
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger/budget_fleet.h"
#include "ledger/ledger_fleet.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using namespace gorsetrail::ledger::testing;
using logstore::FakeFault;

namespace {

constexpr Duration kTimeLeft = seconds(5);

}  // namespace

TEST_GROUP(RefusedReservation) {
  BudgetFleet budgets;

  ReservationReply ask(BudgetNode & home, const char* request, std::uint64_t tokens,
                       Duration wait = seconds(2)) {
    auto reply = std::make_shared<std::optional<ReservationReply>>();
    home.partition.reserve({{request, "program", tokens}, 1000, kTimeLeft}, seconds(1),
                           [reply](const ReservationReply& made) { *reply = made; });
    if (!*reply) {
      budgets.timers.advance(wait);
    }
    CHECK_TRUE(reply->has_value());
    return reply->value_or(ReservationReply{});
  }
};

TEST(RefusedReservation, reportsTokensCountedForTheLeaseOfADeadNode) {
  budgets.startWithLease("a");
  budgets.kill("a");
  BudgetNode& next = budgets.startWithLease("b");
  CHECK(ask(next, "r1", 600).outcome == ReservationOutcome::Granted);
  const ReservationReply reply = ask(next, "r2", 100);
  CHECK(reply.outcome == ReservationOutcome::Unavailable);
  CHECK(reply.reason == UndecidedReason::UnseenSpending);
  CHECK(reply.unseenLeases == UnrecordedSpending::Primary);
  LONGS_EQUAL(600, reply.tokensUsed);
  LONGS_EQUAL(600,
              reply.tokensUnseen);  // A turn of 600 tokens may have been granted under that lease.
}

TEST(RefusedReservation, distinguishesAnInsufficientLeaseFromNoLease) {
  BudgetNode& holder = budgets.startWithLease("a");
  BudgetNode& other = budgets.start("b");
  budgets.log.fault = FakeFault::Busy;
  // Both nodes detect that the store does not answer.
  for (BudgetNode* const home : {&holder, &other}) {
    budgets.spend(*home, "r1", "program", 800, 1000, kTimeLeft, milliseconds(150));
  }
  const ReservationReply held = ask(holder, "r3", 800);
  CHECK(held.outcome == ReservationOutcome::Unavailable);
  CHECK(held.reason == UndecidedReason::LeaseInsufficient);
  const ReservationReply none = ask(other, "r4", 100);
  CHECK(none.outcome == ReservationOutcome::Unavailable);
  CHECK(none.reason == UndecidedReason::NoLease);
}

TEST(RefusedReservation, reportsAFailedAppend) {
  BudgetNode& home = budgets.start("a");
  budgets.log.fault = FakeFault::Silent;
  const ReservationReply reply = ask(home, "r1", 100);
  CHECK(reply.outcome == ReservationOutcome::Unavailable);
  CHECK(reply.reason == UndecidedReason::AppendFailed);
}

TEST(RefusedReservation, reportsADecisionMadeTooLate) {
  BudgetNode& home = budgets.start("a");
  home.storeLink.cut = true;
  std::optional<ReservationReply> reply;
  home.partition.reserve({{"r1", "program", 100}, 1000, kTimeLeft}, seconds(30),
                         [&reply](const ReservationReply& made) { reply = made; });
  budgets.timers.advance(BudgetLeaseKnobs{}.maxDecisionDelay + seconds(1));
  home.storeLink.cut = false;
  budgets.timers.advance(seconds(20));
  CHECK_TRUE(reply.has_value());
  CHECK(reply->outcome == ReservationOutcome::Unavailable);
  CHECK(reply->reason == UndecidedReason::DecidedTooLate);
}

TEST_GROUP(RefusedLedgerCall) {
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  Fleet fleet{log, timers};

  ReservationReply reserve(int node, const char* request) {
    auto reply = std::make_shared<std::optional<ReservationReply>>();
    fleet.node(node).ledger.reserve({{request, "program", 100}, 1000, {}}, seconds(2),
                                    [reply](const ReservationReply& made) { *reply = made; });
    timers.advance(seconds(6));
    CHECK_TRUE(reply->has_value());
    return reply->value_or(ReservationReply{});
  }
};

TEST(RefusedLedgerCall, carriesTheReasonGivenByACoordinator) {
  log.fault = FakeFault::Silent;
  const std::vector<std::string> both = fleet.budgetCoordinators();
  const int asking = Fleet::nodeThatIsNoneOf(both);
  fleet.dead = {both[0]};
  const ReservationReply reply = reserve(asking, "r1");
  CHECK(reply.outcome == ReservationOutcome::Unavailable);
  STRCMP_EQUAL(both[1].c_str(), reply.repliedBy.c_str());
  CHECK(reply.reason == UndecidedReason::AppendFailed);
  STRCMP_EQUAL(logstore::textOf(LedgerPartitions({}).ofBudget("program")).c_str(),
               reply.partition.c_str());
  STRCMP_EQUAL((both[0] + "/no_reply," + both[1] + "/undecided(append_failed)").c_str(),
               textOf(reply.asked).c_str());
}

TEST(RefusedLedgerCall, reportsThatNoNodeReplied) {
  const std::vector<std::string> both = fleet.budgetCoordinators();
  const int asking = Fleet::nodeThatIsNoneOf(both);
  log.fault = FakeFault::Silent;
  fleet.silent = {both[0], both[1]};
  const ReservationReply reply = reserve(asking, "r1");
  CHECK(reply.outcome == ReservationOutcome::Unavailable);
  STRCMP_CONTAINS((both[0] + "/not_alive," + both[1] + "/not_alive,").c_str(),
                  textOf(reply.asked).c_str());
}

TEST(RefusedLedgerCall, reportsThatTheNodeListIsNotKnownYet) {
  fleet.known = false;
  const ReservationReply reply = reserve(0, "r1");
  CHECK(reply.outcome == ReservationOutcome::Unavailable);
  CHECK(reply.reason == UndecidedReason::NodesNotKnown);
  CHECK_TRUE(reply.asked.empty());
}

TEST(RefusedLedgerCall, grantNamesTheDecidingNode) {
  const std::vector<std::string> both = fleet.budgetCoordinators();
  const ReservationReply reply = reserve(Fleet::nodeThatIsNoneOf(both), "r1");
  CHECK(reply.outcome == ReservationOutcome::Granted);
  STRCMP_EQUAL(both[0].c_str(), reply.repliedBy.c_str());
  STRCMP_EQUAL((both[0] + "/answered").c_str(), textOf(reply.asked).c_str());
}

TEST(RefusedLedgerCall, unreadHistoryListsEachPartitionAndTheNodesCalled) {
  log.fault = FakeFault::Silent;
  std::optional<HistoryAnswer> answer;
  fleet.node(0).ledger.findHistory({"t1"},
                                   [&answer](HistoryAnswer found) { answer = std::move(found); });
  timers.advance(seconds(12));
  CHECK_TRUE(answer.has_value());
  const auto& unavailable = std::get<LedgerUnavailable>(*answer);
  // Both partitions in both zones of the region.
  LONGS_EQUAL(4, unavailable.unread.size());
  const LedgerPartitions layout{{}};
  for (std::uint32_t choice = 0; choice < kTurnChoices; ++choice) {
    const UnreadPartition& unread = unavailable.unread[choice];
    LONGS_EQUAL(choice, unread.choice);
    STRCMP_EQUAL(logstore::textOf(layout.ofTurn({"a", choice}, "t1")).c_str(),
                 unread.partition.c_str());
    CHECK_FALSE(unread.asked.empty());
    CHECK_TRUE(unread.coordinatorLives);
  }
}
