// Guards against reservations of refused turns that count as used: their programs would be told
// that their budget is spent although no turn of theirs ran.
#include <memory>
#include <optional>
#include <string>

#include "ledger/ledger_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using namespace gorsetrail::ledger::testing;
using logstore::FakeFault;

namespace {

constexpr std::uint64_t kBudget = 500;
constexpr std::uint64_t kTurn = 288;

}  // namespace

TEST_GROUP(RefusedTurns) {
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  Fleet fleet{log, timers};

  using Outcome = std::shared_ptr<std::optional<ReservationOutcome>>;

  /// A node that is no coordinator of the program.
  Node& caller() { return fleet.node(Fleet::nodeThatIsNoneOf(fleet.budgetCoordinators())); }
  Outcome begin(const std::string& request, Duration timeLimit) {
    Outcome outcome = std::make_shared<std::optional<ReservationOutcome>>();
    caller().ledger.reserve({{request, "program", kTurn}, kBudget, seconds(9)}, timeLimit,
                            [outcome](const ReservationReply& reply) { *outcome = reply.outcome; });
    return outcome;
  }
  ReservationOutcome reserve(const std::string& request) {
    const Outcome outcome = begin(request, seconds(2));
    timers.advance(seconds(2));
    return outcome->value_or(ReservationOutcome::Unavailable);
  }
  /// Reserves a turn whose client leaves after a second, amid an outage.
  void leaveDuringOutage() {
    begin("gone", seconds(4));
    timers.advance(seconds(1));
    caller().ledger.settle({"gone", "program", 0});
  }
};

// The record of "gone" is appended when the store is back, after its settlement was turned away by
// the coordinators and had failed at the caller's own node.
TEST(RefusedTurns, settlementThatNobodyCouldRecordIsRecordedAfterTheOutage) {
  log.fault = FakeFault::Busy;
  leaveDuringOutage();
  timers.advance(milliseconds(2500));
  log.fault = FakeFault::None;
  timers.advance(seconds(2));
  CHECK(reserve("next") == ReservationOutcome::Granted);
}

// A coordinator acknowledges a settlement before it is recorded.
TEST(RefusedTurns, settlementAcceptedJustBeforeAnOutageIsRecordedAfterIt) {
  CHECK(reserve("first") == ReservationOutcome::Granted);
  caller().ledger.settle({"first", "program", 0});
  timers.advance(milliseconds(10));
  log.fault = FakeFault::Silent;
  timers.advance(seconds(10));
  log.fault = FakeFault::None;
  timers.advance(seconds(8));
  // Another coordinator knows only what is recorded.
  fleet.dead.insert(fleet.budgetCoordinators().front());
  timers.advance(seconds(1));
  CHECK(reserve("next") == ReservationOutcome::Granted);
}

TEST(RefusedTurns, settlementIsKeptWhileNoNodeCanRecordIt) {
  CHECK(reserve("first") == ReservationOutcome::Granted);
  for (const auto& [address, node] : fleet.nodes) {
    if (node.get() != &caller()) {
      fleet.dead.insert(address);
    }
  }
  log.fault = FakeFault::Busy;
  begin("probe", seconds(4));  // Lets the caller's node notice the outage.
  const logstore::PartitionAddress budgets = LedgerPartitions({}).ofBudget("program");
  for (int waited = 0; waited < 400 && caller().local.answers(budgets); ++waited) {
    timers.advance(milliseconds(5));
  }
  CHECK_FALSE(caller().local.answers(budgets));
  caller().ledger.settle({"first", "program", 0});
  timers.advance(milliseconds(100));
  LONGS_EQUAL(1, caller().ledger.settlementsWaiting());
  timers.advance(seconds(5));
  log.fault = FakeFault::None;
  fleet.dead.clear();
  timers.advance(seconds(5));
  LONGS_EQUAL(0, caller().ledger.settlementsWaiting());
  LONGS_EQUAL(1, caller().ledger.counters().settledLate);
  CHECK(reserve("next") == ReservationOutcome::Granted);
}

// Guards against a program that is taken for one in a loop, and refused first, because of what dead
// nodes may have granted it.
TEST(RefusedTurns, possibleSpendingOfDeadNodesIsNotKnownUse) {
  const auto lease = [this](BudgetLeaseState state) {
    log.logs[LedgerPartitions({}).ofBudget("program")].push_back(
        encodeFact(BudgetLease{"x", "dead", state, 1}));
  };
  lease(BudgetLeaseState::Held);
  lease(BudgetLeaseState::Ended);
  CHECK(reserve("first") == ReservationOutcome::Granted);
  caller().ledger.settle({"first", "program", 100});
  timers.advance(seconds(1));
  CHECK(reserve("second") == ReservationOutcome::Granted);
  LONGS_EQUAL(100 + kTurn, caller().ledger.knownTokenUse("program"));
  LONGS_EQUAL(100 + kTurn + kTurn, caller().ledger.possibleTokenUse("program"));
}
