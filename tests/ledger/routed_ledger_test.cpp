// Guards routed ledger calls against failed coordinators, an unavailable store and nodes that
// disagree, and against excessive store calls.
#include "ledger/routed_ledger.h"

#include <memory>
#include <optional>
#include <set>

#include "ledger_fleet.h"
#include "logstore/fake_log_store.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using logstore::FakeFault;
using logstore::FakeLogStore;
using logstore::FakeTimers;

using ledger::testing::Fleet;
using ledger::testing::Node;

TEST_GROUP(RoutedLedger) {
  FakeTimers timers;
  FakeLogStore log{timers};
  Fleet fleet{log, timers};

  bool storeTurn(int node, const std::string& turn, const std::string& previous,
                 const std::string& text, Duration wait = seconds(3)) {
    TurnToStore record{turn, previous, {}, text};
    if (!previous.empty()) {
      record.before = std::get<History>(find(node, previous));
    }
    std::optional<bool> stored;
    fleet.node(node).ledger.storeTurn(std::move(record), seconds(2),
                                      [&stored](const logstore::StoreResult<Success>& result) {
                                        stored = std::holds_alternative<Success>(result);
                                      });
    timers.advance(wait);
    return stored.value_or(false);
  }
  HistoryAnswer find(int node, const std::string& turn) {
    std::optional<HistoryAnswer> found;
    fleet.node(node).ledger.findHistory(
        {turn}, [&found](HistoryAnswer answer) { found = std::move(answer); });
    timers.advance(seconds(8));
    CHECK_TRUE(found.has_value());
    return *found;
  }
  std::string textOf(int node, const std::string& turn) {
    const HistoryAnswer answer = find(node, turn);
    const auto* const history = std::get_if<History>(&answer);
    return history == nullptr ? "<none>" : history->text;
  }
  std::optional<ReservationOutcome> reserve(int node, const std::string& request,
                                            std::uint64_t tokens, Duration wait = seconds(3)) {
    auto outcome = std::make_shared<std::optional<ReservationOutcome>>();
    fleet.node(node).ledger.reserve(
        {{request, "program", tokens}, 1000, {}}, seconds(2),
        [outcome](const ReservationReply& reply) { *outcome = reply.outcome; });
    timers.advance(wait);
    return *outcome;
  }
  /// \return all nodes except `own`.
  std::set<std::string> allBut(const std::string& own) {
    std::set<std::string> others;
    for (const auto& [address, node] : fleet.nodes) {
      others.insert(address);
    }
    others.erase(own);
    return others;
  }
};

TEST(RoutedLedger, everyNodeOfEveryZoneFindsATurn) {
  CHECK_TRUE(storeTurn(0, "t1", "", "in1 out1\n"));
  STRCMP_EQUAL("in1 out1\n", textOf(2, "t1").c_str());
  STRCMP_EQUAL("in1 out1\n", textOf(4, "t1").c_str());
  CHECK_TRUE(storeTurn(4, "t2", "t1", "in2 out2\n"));
  STRCMP_EQUAL("in1 out1\nin2 out2\n", textOf(0, "t2").c_str());
  CHECK_TRUE(std::holds_alternative<UnknownTurn>(find(1, "never")));
}

TEST(RoutedLedger, longHistoriesSpanSeveralPartitions) {
  std::string expected;
  std::string previous;
  for (int turn = 0; turn < 9; ++turn) {
    const std::string text(9000, static_cast<char>('a' + turn));
    const std::string name = "t" + std::to_string(turn);
    CHECK_TRUE(storeTurn(turn % 6, name, previous, text));
    expected += text;
    previous = name;
  }
  CHECK(expected == textOf(5, previous));
}

TEST(RoutedLedger, lookupOfACachedTurnMakesNoStoreCall) {
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  const int reads = log.reads;
  STRCMP_EQUAL("text", textOf(1, "t1").c_str());
  STRCMP_EQUAL("text", textOf(2, "t1").c_str());
  LONGS_EQUAL(reads, log.reads);
}

TEST(RoutedLedger, reservationsOfAllNodesShareAppendsAndOneBudget) {
  std::vector<ReservationOutcome> outcomes;
  for (int node = 0; node < 6; ++node) {
    fleet.node(node).ledger.reserve(
        {{"r" + std::to_string(node), "program", 300}, 1000, {}}, seconds(2),
        [&outcomes](const ReservationReply& reply) { outcomes.push_back(reply.outcome); });
  }
  timers.advance(milliseconds(100));
  LONGS_EQUAL(6, outcomes.size());
  LONGS_EQUAL(3, std::count(outcomes.begin(), outcomes.end(), ReservationOutcome::Granted));
  LONGS_EQUAL(1, log.appends);
}

TEST(RoutedLedger, budgetHoldsWhenNodesDisagreeOnTheCoordinator) {
  CHECK(reserve(0, "r1", 600) == ReservationOutcome::Granted);
  // No node replies to node 5, so it decides by the log itself.
  fleet.dead = allBut("node5");
  CHECK(reserve(5, "r2", 600) == ReservationOutcome::Unavailable);
  fleet.node(5).ledger.settle({"r2", "program", 0});
  CHECK(reserve(5, "r3", 300) == ReservationOutcome::Granted);
  fleet.dead.clear();
  timers.advance(seconds(2));
  CHECK(reserve(1, "r4", 200) == ReservationOutcome::Unavailable);
  fleet.node(1).ledger.settle({"r4", "program", 0});
  CHECK(reserve(2, "r5", 100) == ReservationOutcome::Granted);
}

TEST(RoutedLedger, resumedCoordinatorDoesNotSettleAReservationGrantedElsewhere) {
  CHECK(reserve(0, "r1", 300) == ReservationOutcome::Granted);
  // One coordinator grants "r2"; another one processes it late and finds it exceeds the budget.
  CHECK(reserve(1, "r2", 600) == ReservationOutcome::Granted);
  std::optional<LedgerOutcome> late;
  fleet.node(5).service.handle(ReserveRequest{{{"r2", "program", 600}, 500, {}}, seconds(2)},
                               [&late](const LedgerReply& reply) { late = reply.outcome; });
  timers.advance(seconds(2));
  CHECK(late == LedgerOutcome::BudgetSpent);
  // The tokens of "r2" are still in use and must not be reserved again.
  CHECK(reserve(3, "r3", 200) == ReservationOutcome::Unavailable);
  timers.advance(BudgetPartitionKnobs{}.unsettledTurnTime);
  CHECK(reserve(3, "r4", 200) == ReservationOutcome::Spent);
}

TEST(RoutedLedger, settlementReachesTheBudgetsCoordinator) {
  CHECK(reserve(0, "r1", 900) == ReservationOutcome::Granted);
  CHECK(reserve(1, "r2", 900) == ReservationOutcome::Unavailable);
  fleet.node(1).ledger.settle({"r2", "program", 0});
  fleet.node(0).ledger.settle({"r1", "program", 90});
  timers.advance(seconds(1));
  CHECK(reserve(1, "r3", 900) == ReservationOutcome::Granted);
}

TEST(RoutedLedger, unresponsiveCoordinatorDelaysOnlyTheFirstCall) {
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  fleet.silent = allBut("node0");
  CHECK_TRUE(storeTurn(0, "t2", "", "text", milliseconds(1000)));
  // The node is suspected for a while, so that clients are directed elsewhere.
  const auto suspects = [this] {
    return std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [this](const auto& entry) {
      return fleet.node(0).ledger.isSuspect(entry.first);
    });
  };
  CHECK(suspects() > 0);
  timers.advance(seconds(2));
  LONGS_EQUAL(0, suspects());
  STRCMP_EQUAL("text", textOf(0, "t1").c_str());
  fleet.silent = {};
  STRCMP_EQUAL("text", textOf(3, "t2").c_str());
}

TEST(RoutedLedger, turnAppendedByAnIsolatedNodeIsNeverReportedUnknown) {
  STRCMP_EQUAL("<none>", textOf(1, "t1").c_str());
  fleet.dead = allBut("node0");
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  fleet.dead.clear();
  timers.advance(seconds(2));
  STRCMP_EQUAL("text", textOf(1, "t1").c_str());
}

TEST(RoutedLedger, unresponsiveStoreYieldsUnavailable) {
  log.fault = FakeFault::Silent;
  CHECK(reserve(0, "r1", 100, seconds(6)) == ReservationOutcome::Unavailable);
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(1, "t1")));
  CHECK_FALSE(storeTurn(2, "t2", "", "text"));
}

TEST(RoutedLedger, storeOutageDoesNotMakeEveryNodeReadThePartition) {
  constexpr int kNodes = 24;
  Fleet large{log, timers, kNodes};
  log.fault = FakeFault::Busy;
  for (int round = 0; round < 3; ++round) {
    for (int node = 0; node < kNodes; ++node) {
      large.node(node).ledger.findHistory({"t1"}, [](const HistoryAnswer&) {});
    }
    timers.advance(milliseconds(700));
  }
  int askedTheStore = 0;
  for (int node = 0; node < kNodes; ++node) {
    askedTheStore += large.node(node).store.counters().calls > 0 ? 1 : 0;
  }
  // Two coordinators of two partitions in each zone.
  CHECK(askedTheStore <= 8);
  timers.advance(seconds(20));
}

TEST(RoutedLedger, isolatedNodeReadsTheStoreItself) {
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  fleet.dead = allBut("node5");
  STRCMP_EQUAL("text", textOf(5, "t1").c_str());
}

TEST(RoutedLedger, reportsWhetherTheLogAcceptsWrites) {
  Node& node = fleet.node(0);
  CHECK_TRUE(node.ledger.canStoreTurn({"t"}));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Likely);
  log.fault = FakeFault::Busy;
  reserve(0, "r1", 100, milliseconds(750));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Unlikely);
  log.fault = FakeFault::None;
  timers.advance(seconds(1));
  CHECK_TRUE(node.ledger.canStoreTurn({"t"}));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Likely);
}

TEST(RoutedLedger, reservationOutlookIsDoubtfulFromAFailureUntilADecision) {
  Node& node = fleet.node(0);
  CHECK(reserve(0, "r0", 1) == ReservationOutcome::Granted);
  fleet.silent = allBut("node0");
  log.fault = FakeFault::Silent;
  CHECK(reserve(0, "r1", 1, seconds(6)) == ReservationOutcome::Unavailable);
  log.fault = FakeFault::None;
  fleet.silent.clear();
  timers.advance(seconds(3));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Uncertain);
  // A settlement succeeds in the coordinator's memory, so it does not show that reservations work.
  node.ledger.settle({"r1", "program", 0});
  timers.advance(seconds(1));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Uncertain);
  CHECK(reserve(0, "r2", 1) == ReservationOutcome::Granted);
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Likely);
}

TEST(RoutedLedger, settlementReplyReportsThatTheCoordinatorCannotDecideReservations) {
  CHECK(reserve(0, "r0", 1) == ReservationOutcome::Granted);
  log.fault = FakeFault::Busy;
  // Another node's reservation makes the coordinator detect that the store does not answer.
  reserve(1, "r1", 1, milliseconds(400));
  // The nodes' own store calls have not failed.
  for (int number = 0; number < 6; ++number) {
    fleet.node(number).ledger.settle({"r0", "program", 1});
  }
  timers.advance(milliseconds(10));
  int uncertain = 0;
  for (int number = 0; number < 6; ++number) {
    uncertain +=
        fleet.node(number).ledger.reservationOutlook("program") == ReservationOutlook::Likely ? 0
                                                                                              : 1;
  }
  LONGS_EQUAL(6, uncertain);
}

TEST(RoutedLedger, callEndsEarlyWhenOneCoordinatorIsDeadAndTheOtherReportsAStoreOutage) {
  const auto coordinators = fleet.budgetCoordinators();
  const int asking = Fleet::nodeThatIsNoneOf(coordinators);
  // The second coordinator has detected that the store does not answer. The first one is dead and
  // does not refuse connections.
  log.fault = FakeFault::Busy;
  fleet.nodes[coordinators[1]]->local.reserve({{"x", "program", 1}, 1000, {}}, seconds(3),
                                              [](const ReservationReply&) {});
  timers.advance(milliseconds(400));
  fleet.silent = {coordinators[0]};
  const Instant asked = timers.now;
  std::optional<Instant> ended;
  fleet.node(asking).ledger.reserve({{"r1", "program", 1}, 1000, {}}, seconds(2),
                                    [&](const ReservationReply& reply) {
                                      CHECK(reply.outcome == ReservationOutcome::Unavailable);
                                      ended = timers.now;
                                    });
  timers.advance(seconds(3));
  CHECK_TRUE(ended.has_value());
  CHECK(*ended - asked < milliseconds(500));
}

TEST(RoutedLedger, turnIsStoredInItsSecondPartitionWhenTheFirstFails) {
  const LedgerPartitions layout{{}};
  log.downPartitions = {layout.ofTurn({"a", 0}, "t1")};
  CHECK_TRUE(storeTurn(0, "t1", "", "text", milliseconds(900)));
  STRCMP_EQUAL("text", textOf(1, "t1").c_str());
  STRCMP_EQUAL("text", textOf(4, "t1").c_str());
  // Another turn is undecided: it may be in the partition that cannot be read.
  std::string unseen;
  for (int number = 0; unseen.empty(); ++number) {
    const std::string name = "u" + std::to_string(number);
    unseen = layout.ofTurn({"a", 0}, name) == layout.ofTurn({"a", 0}, "t1") ? name : "";
  }
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(2, unseen)));
  log.downPartitions.clear();
  timers.advance(seconds(2));
  CHECK_TRUE(std::holds_alternative<UnknownTurn>(find(2, unseen)));
  STRCMP_EQUAL("text", textOf(3, "t1").c_str());
}

TEST(RoutedLedger, coordinatorServesACachedTurnDuringAStoreOutage) {
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  STRCMP_EQUAL("text", textOf(1, "t1").c_str());
  log.fault = FakeFault::Busy;
  for (int node = 0; node < 6; ++node) {
    storeTurn(node, "x" + std::to_string(node), "", "text", milliseconds(900));
  }
  STRCMP_EQUAL("text", textOf(2, "t1").c_str());
  STRCMP_EQUAL("text", textOf(4, "t1").c_str());
}

TEST(RoutedLedger, secondPartitionDiffersFromTheFirstForEveryTurn) {
  const LedgerPartitions layout{{}};
  std::set<logstore::PartitionAddress> seconds;
  for (int number = 0; number < 200; ++number) {
    const std::string name = "t" + std::to_string(number);
    CHECK(layout.ofTurn({"a", 0}, name) != layout.ofTurn({"a", 1}, name));
    seconds.insert(layout.ofTurn({"a", 1}, name));
  }
  LONGS_EQUAL(4, seconds.size());
}

TEST(RoutedLedger, nothingIsReadBeforeTheNodesAreKnown) {
  CHECK_TRUE(storeTurn(0, "t1", "", "text"));
  fleet.known = false;
  const int reads = log.reads;
  CHECK_FALSE(fleet.node(3).ledger.canStoreTurn({"t1"}));
  CHECK(fleet.node(3).ledger.reservationOutlook("program") == ReservationOutlook::Unlikely);
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(3, "t1")));
  LONGS_EQUAL(reads, log.reads);
}

TEST(RoutedLedger, slowCoordinatorIsWaitedForInsteadOfEveryNodeReadingThePartition) {
  CHECK_TRUE(storeTurn(0, "t1", "", std::string(1000, 'x')));
  // After a restart of all nodes, coordinators have to read the partition from a slow store.
  Fleet restarted(log, timers);
  log.latency = milliseconds(450);
  const int reads = log.reads;
  int found = 0;
  for (int node = 0; node < 3; ++node) {
    restarted.node(node).ledger.findHistory({"t1"}, [&found](const HistoryAnswer& answer) {
      found += std::holds_alternative<History>(answer) ? 1 : 0;
    });
  }
  timers.advance(seconds(3));
  LONGS_EQUAL(3, found);
  // One coordinator reads once for the first lookup and once for the later ones. A read that is not
  // answered soon may be retried once.
  CHECK(log.reads - reads <= 4);
}

TEST(RoutedLedger, appendsStayBatchedOnASlowStore) {
  CHECK(reserve(0, "r0", 1) == ReservationOutcome::Granted);
  log.latency = milliseconds(240);
  log.appends = 0;
  std::vector<ReservationOutcome> outcomes;
  for (int number = 0; number < 60; ++number) {
    fleet.node(number % 6)
        .ledger.reserve(
            {{"s" + std::to_string(number), "program", 1}, 1000, {}}, seconds(3),
            [&outcomes](const ReservationReply& reply) { outcomes.push_back(reply.outcome); });
    timers.advance(milliseconds(50));
  }
  timers.advance(seconds(1));
  LONGS_EQUAL(60, outcomes.size());
  LONGS_EQUAL(60, std::count(outcomes.begin(), outcomes.end(), ReservationOutcome::Granted));
  // 3 s at 240 ms per append give 13 batches. A few are retried before the call delay has adapted.
  CHECK(log.appends <= 20);
}

TEST(RoutedLedger, idleProgramUsageIsEvicted) {
  reserve(0, "r1", 100);
  LONGS_EQUAL(100, fleet.node(0).ledger.knownTokenUse("program"));
  timers.advance(seconds(301));
  fleet.node(0).ledger.sweep();
  LONGS_EQUAL(0, fleet.node(0).ledger.knownTokenUse("program"));
}
