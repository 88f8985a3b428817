// Guards histories and budgets of several nodes on one log against lost replies, outages and
// restarts.
#include "ledger/program_ledger.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using logstore::FakeFault;
using logstore::FakeLogStore;
using logstore::FakeTimers;

namespace {

/// A node with its ledger on the shared log.
struct Node {
  Node(FakeLogStore& log, FakeTimers& timers, LedgerKnobs knobs)
      : store(
            log, timers, [&timers] { return timers.now; }, {}, 1),
        ledger(
            store, timers, [&timers] { return timers.now; }, knobs) {}
  logstore::RetryingStore store;
  ProgramLedger ledger;
};

}  // namespace

TEST_GROUP(ProgramLedger) {
  FakeTimers timers;
  FakeLogStore log{timers};
  LedgerKnobs knobs;
  std::vector<std::unique_ptr<Node>> nodes;

  Node& addNode() {
    nodes.push_back(std::make_unique<Node>(log, timers, knobs));
    return *nodes.back();
  }
  bool storeTurn(Node & node, const std::string& turn, const std::string& previous,
                 const std::string& text, Duration limit = seconds(2)) {
    TurnToStore record{turn, previous, {}, text};
    if (!previous.empty()) {
      record.before = std::get<History>(find(node, previous));
    }
    std::optional<bool> stored;
    node.ledger.storeTurn(std::move(record), limit,
                          [&stored](const logstore::StoreResult<Success>& result) {
                            stored = std::holds_alternative<Success>(result);
                          });
    timers.advance(seconds(3));
    CHECK_TRUE(stored.has_value());
    return *stored;
  }
  HistoryAnswer find(Node & node, const std::string& turn) {
    std::optional<HistoryAnswer> found;
    node.ledger.findHistory({turn}, [&found](HistoryAnswer answer) { found = std::move(answer); });
    timers.advance(seconds(3));
    CHECK_TRUE(found.has_value());
    return *found;
  }
  std::string textOf(Node & node, const std::string& turn) {
    const HistoryAnswer answer = find(node, turn);
    const auto* const history = std::get_if<History>(&answer);
    return history == nullptr ? "<none>" : history->text;
  }
  ReservationOutcome reserve(Node & node, const std::string& request, std::uint64_t tokens,
                             std::uint64_t budget) {
    std::optional<ReservationOutcome> outcome;
    node.ledger.reserve({{request, "program", tokens}, budget, {}}, seconds(2),
                        [&outcome](const ReservationReply& reply) { outcome = reply.outcome; });
    timers.advance(seconds(3));
    CHECK_TRUE(outcome.has_value());
    return *outcome;
  }
};

TEST(ProgramLedger, everyNodeFindsAStoredTurnWithItsHistory) {
  Node& first = addNode();
  Node& second = addNode();
  CHECK_TRUE(storeTurn(first, "t1", "", "in1 out1\n"));
  STRCMP_EQUAL("in1 out1\n", textOf(second, "t1").c_str());
  CHECK_TRUE(storeTurn(second, "t2", "t1", "in2 out2\n"));
  STRCMP_EQUAL("in1 out1\nin2 out2\n", textOf(first, "t2").c_str());
}

TEST(ProgramLedger, newNodeFindsATurnStoredByStoppedNodes) {
  storeTurn(addNode(), "t1", "", "kept");
  nodes.clear();
  STRCMP_EQUAL("kept", textOf(addNode(), "t1").c_str());
}

TEST(ProgramLedger, reportsUnknownTurnOnlyAfterReadingToTheEnd) {
  Node& node = addNode();
  CHECK_TRUE(std::holds_alternative<UnknownTurn>(find(node, "never")));
  log.fault = FakeFault::Silent;
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(node, "never")));
  log.fault = FakeFault::Busy;
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(node, "never")));
}

TEST(ProgramLedger, readInProgressDoesNotAnswerALaterLookup) {
  knobs.turnWindow = Duration::zero();
  Node& reader = addNode();
  Node& writer = addNode();
  log.latency = milliseconds(30);
  std::optional<HistoryAnswer> early;
  reader.ledger.findHistory({"t1"}, [&early](HistoryAnswer answer) { early = std::move(answer); });
  timers.advance(milliseconds(29));
  // The turn is appended while the first read is in flight, and then looked up.
  bool stored = false;
  writer.ledger.storeTurn({"t1", "", {}, "text"}, seconds(2),
                          [&stored](const logstore::StoreResult<Success>&) { stored = true; });
  timers.advance(milliseconds(31));
  CHECK_TRUE(stored);
  STRCMP_EQUAL("text", textOf(reader, "t1").c_str());
}

TEST(ProgramLedger, turnAppendedTwiceAfterALostReplyIsReadOnce) {
  Node& node = addNode();
  log.fault = FakeFault::LostReply;
  bool stored = false;
  node.ledger.storeTurn({"t1", "", {}, "text"}, seconds(3),
                        [&stored](const logstore::StoreResult<Success>& result) {
                          stored = std::holds_alternative<Success>(result);
                        });
  timers.advance(milliseconds(20));
  log.fault = FakeFault::None;
  timers.advance(seconds(3));
  CHECK_TRUE(stored);
  STRCMP_EQUAL("text", textOf(addNode(), "t1").c_str());
}

TEST(ProgramLedger, failedStoreIsReported) {
  Node& node = addNode();
  log.fault = FakeFault::Silent;
  CHECK_FALSE(storeTurn(node, "t1", "", "text", seconds(1)));
}

TEST(ProgramLedger, longHistoriesAreSplitAcrossRecords) {
  knobs.maximumInlineHistoryBytes = 100;
  Node& first = addNode();
  std::string expected;
  std::string previous;
  for (int turn = 0; turn < 12; ++turn) {
    const std::string text = std::string(30, static_cast<char>('a' + turn)) + "\n";
    const std::string name = "t" + std::to_string(turn);
    CHECK_TRUE(storeTurn(first, name, previous, text));
    expected += text;
    previous = name;
  }
  STRCMP_EQUAL(expected.c_str(), textOf(first, previous).c_str());
  STRCMP_EQUAL(expected.c_str(), textOf(addNode(), previous).c_str());
}

TEST(ProgramLedger, evictedTurnIsReadAgain) {
  knobs.cacheBytes = 2000;
  knobs.partitions.turnPartitions = 1;
  knobs.partitions.partitionsPerTopic = 1;
  Node& writer = addNode();
  Node& reader = addNode();
  for (int turn = 0; turn < 20; ++turn) {
    storeTurn(writer, "t" + std::to_string(turn), "", std::string(100, 'x') + std::to_string(turn));
  }
  STRCMP_EQUAL((std::string(100, 'x') + "19").c_str(), textOf(reader, "t19").c_str());
  STRCMP_EQUAL((std::string(100, 'x') + "0").c_str(), textOf(writer, "t0").c_str());
}

TEST(ProgramLedger, turnExceedingTheRecordSizeIsRejected) {
  knobs.maximumRecordBytes = 1000;
  CHECK_FALSE(storeTurn(addNode(), "t1", "", std::string(2000, 'x')));
}

TEST(ProgramLedger, reservationsOfAllNodesShareOneBudget) {
  Node& first = addNode();
  Node& second = addNode();
  CHECK(reserve(first, "r1", 300, 1000) == ReservationOutcome::Granted);
  CHECK(reserve(second, "r2", 300, 1000) == ReservationOutcome::Granted);
  CHECK(reserve(first, "r3", 300, 1000) == ReservationOutcome::Granted);
  CHECK(reserve(second, "r4", 300, 1000) == ReservationOutcome::Unavailable);
  timers.advance(BudgetPartitionKnobs{}.unsettledTurnTime);
  CHECK(reserve(second, "r5", 300, 1000) == ReservationOutcome::Spent);
}

// Guards against a final refusal while a turn of the program may still return tokens.
TEST(ProgramLedger, budgetIsNotSpentWhileTurnsAreNotSettled) {
  Node& first = addNode();
  Node& second = addNode();
  CHECK(reserve(first, "r1", 600, 1000) == ReservationOutcome::Granted);
  std::optional<ReservationReply> reply;
  second.ledger.reserve({{"r2", "program", 600}, 1000, {}}, seconds(2),
                        [&reply](const ReservationReply& made) { reply = made; });
  timers.advance(seconds(2));
  CHECK_TRUE(reply && reply->outcome == ReservationOutcome::Unavailable);
  CHECK_TRUE(reply && reply->reason == UndecidedReason::UnsettledTurns);
  LONGS_EQUAL(600, reply ? reply->tokensUnsettled : 0);
  second.ledger.settle({"r2", "program", 0});
  first.ledger.settle({"r1", "program", 450});
  timers.advance(seconds(1));
  CHECK(reserve(second, "r3", 600, 1000) == ReservationOutcome::Spent);
  CHECK(reserve(second, "r4", 550, 1000) == ReservationOutcome::Granted);
}

// The node that ran the turn has ended, so that nobody knows what the turn used.
TEST(ProgramLedger, turnThatIsNeverSettledCountsAsUsed) {
  Node& node = addNode();
  CHECK(reserve(node, "r1", 600, 1000) == ReservationOutcome::Granted);
  timers.advance(BudgetPartitionKnobs{}.unsettledTurnTime);
  CHECK(reserve(node, "r2", 600, 1000) == ReservationOutcome::Spent);
  CHECK(reserve(node, "r3", 400, 1000) == ReservationOutcome::Granted);
}

TEST(ProgramLedger, settlementReturnsUnusedTokensAtEveryNode) {
  Node& first = addNode();
  Node& second = addNode();
  reserve(first, "r1", 600, 1000);
  CHECK(reserve(second, "r2", 600, 1000) == ReservationOutcome::Unavailable);
  second.ledger.settle({"r2", "program", 0});
  first.ledger.settle({"r1", "program", 100});
  timers.advance(seconds(1));
  CHECK(reserve(second, "r3", 600, 1000) == ReservationOutcome::Granted);
}

TEST(ProgramLedger, budgetsSurviveARestartOfAllNodes) {
  reserve(addNode(), "r1", 600, 1000);
  nodes.clear();
  Node& next = addNode();
  CHECK(reserve(next, "r2", 600, 1000) == ReservationOutcome::Unavailable);
  timers.advance(BudgetPartitionKnobs{}.unsettledTurnTime);
  CHECK(reserve(next, "r3", 600, 1000) == ReservationOutcome::Spent);
}

TEST(ProgramLedger, simultaneousReservationsAreDecidedByTheLog) {
  Node& first = addNode();
  Node& second = addNode();
  std::vector<ReservationOutcome> outcomes;
  const auto note = [&outcomes](const ReservationReply& reply) {
    outcomes.push_back(reply.outcome);
  };
  first.ledger.reserve({{"r1", "program", 600}, 1000, {}}, seconds(2), note);
  second.ledger.reserve({{"r2", "program", 600}, 1000, {}}, seconds(2), note);
  timers.advance(seconds(3));
  LONGS_EQUAL(2, outcomes.size());
  CHECK(outcomes[0] != outcomes[1]);
}

TEST(ProgramLedger, reservationWithoutAStoreReplyIsNotGranted) {
  Node& node = addNode();
  log.fault = FakeFault::Silent;
  CHECK(reserve(node, "r1", 100, 1000) == ReservationOutcome::Unavailable);
}

TEST(ProgramLedger, repeatedReservationCountsOnce) {
  Node& node = addNode();
  log.fault = FakeFault::LostReply;
  std::optional<ReservationOutcome> outcome;
  node.ledger.reserve({{"r1", "program", 400}, 1000, {}}, seconds(3),
                      [&outcome](const ReservationReply& reply) { outcome = reply.outcome; });
  timers.advance(milliseconds(20));
  log.fault = FakeFault::None;
  timers.advance(seconds(3));
  CHECK(*outcome == ReservationOutcome::Granted);
  CHECK(reserve(addNode(), "r2", 600, 1000) == ReservationOutcome::Granted);
}

TEST(ProgramLedger, reportsWhetherTheLogAcceptsWrites) {
  Node& node = addNode();
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Likely);
  log.fault = FakeFault::Busy;
  node.ledger.reserve({{"r1", "program", 400}, 1000, {}}, seconds(3),
                      [](const ReservationReply&) {});
  timers.advance(milliseconds(150));
  CHECK(node.ledger.reservationOutlook("program") == ReservationOutlook::Unlikely);
}
