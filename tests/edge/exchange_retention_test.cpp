// Guards against a stream end that is released before the turn's record is stored, or held for
// longer than the client waits.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;
using logstore::FakeFault;

namespace {

const std::string kEvent = "id: 1\ndata: a\n\n";

}  // namespace

TEST_GROUP(ExchangeRetention) {
  ExchangeWorld world;

  void wait() { world.timers.advance(milliseconds(50)); }
  /// \return a turn without a budget, so that only its record needs the store.
  static CallRequest turn(const std::string& requestId) {
    CallRequest call = ExchangeWorld::request("kept");
    call.requestId = requestId;
    return call;
  }
  /// Makes the store stop answering and waits until the ledger has detected it for all partitions.
  void makeStoreUnavailable() {
    world.log.fault = FakeFault::Silent;
    for (int number = 0; number < 20; ++number) {
      world.ledger.storeTurn({"probe" + std::to_string(number), "", {}, "text"}, milliseconds(700),
                             [](const logstore::StoreResult<Success>&) {});
    }
    for (int step = 0; step < 200 && world.ledger.canStoreTurn({"q1"}); ++step) {
      world.timers.advance(milliseconds(10));
    }
    CHECK_FALSE(world.ledger.canStoreTurn({"q1"}));
  }
  /// Starts a turn whose replica sends its complete stream at once.
  std::shared_ptr<ClientView> startAndRun(const std::string& requestId) {
    const auto client = world.start(turn(requestId));
    world.beginEvents();
    world.call().body(kEvent);
    world.call().done();
    return client;
  }
};

TEST(ExchangeRetention, forwardsEventsAndHoldsOnlyTheEndInAnOutage) {
  makeStoreUnavailable();
  const auto client = startAndRun("q1");
  STRCMP_EQUAL(kEvent.c_str(), client->body.c_str());
  CHECK_FALSE(client->whole);
  CHECK_FALSE(client->closed);
  LONGS_EQUAL(1, world.context.retention.heldStreamEnds());
  LONGS_EQUAL(1, world.context.retention.counters().startedDuringOutage);
}

TEST(ExchangeRetention, releasesTheEndAfterTheStoreRecoversAndTheTurnIsReadable) {
  makeStoreUnavailable();
  const auto client = startAndRun("q1");
  world.timers.advance(milliseconds(700));
  CHECK_FALSE(client->whole);
  world.log.fault = FakeFault::None;
  // Any answered call shows that the store has recovered.
  world.store.append({{"another", 0}, {"record"}, seconds(1)},
                     [](const logstore::StoreResult<logstore::AppendReply>&) {});
  wait();
  CHECK_TRUE(client->whole);
  LONGS_EQUAL(0, world.context.retention.heldStreamEnds());
  LONGS_EQUAL(0, world.context.retention.retainedBytes());
  LONGS_EQUAL(1, world.context.retention.counters().storedLate);
  world.eventLog.flush();
  CHECK(world.lines.find("turn_stored_late") != std::string::npos);
  // Another node must find the turn by reading only the log.
  ledger::ProgramLedger other(world.store, world.timers, [this] { return world.timers.now; }, {});
  bool found = false;
  other.findHistory({"q1"}, [&found](const ledger::HistoryAnswer& answer) {
    found = std::holds_alternative<ledger::History>(answer);
  });
  wait();
  CHECK_TRUE(found);
}

TEST(ExchangeRetention, abortsTheStreamAtTheHoldLimit) {
  makeStoreUnavailable();
  const auto client = startAndRun("q1");
  world.timers.advance(milliseconds(1000));
  CHECK_FALSE(client->closed);
  world.timers.advance(milliseconds(1000));
  CHECK_TRUE(client->closed);
  CHECK_FALSE(client->whole);
  LONGS_EQUAL(0, world.context.retention.heldStreamEnds());
  LONGS_EQUAL(0, world.context.retention.retainedBytes());
  LONGS_EQUAL(1, world.context.retention.counters().notStored);
}

TEST(ExchangeRetention, completesNoStreamWhileTheStoreIsUnavailable) {
  makeStoreUnavailable();
  for (int number = 0; number < 20; ++number) {
    startAndRun("q" + std::to_string(number));
    world.timers.advance(milliseconds(200));
  }
  world.timers.advance(seconds(5));
  for (const auto& client : world.views) {
    const bool endedWell = client->whole && client->status == 200;
    CHECK_FALSE(endedWell);
  }
  LONGS_EQUAL(0, world.context.retention.heldStreamEnds());
}

TEST(ExchangeRetention, refusesFurtherTurnsWithARetryAfterAtTheMemoryLimit) {
  TurnRetentionKnobs knobs;
  knobs.maximumRetainedBytes = 20;  // Enough for the inputs of four turns.
  world.context.retention = TurnRetentionPolicy(knobs);
  makeStoreUnavailable();
  for (const char* name : {"q1", "q2", "q3", "q4"}) {
    const auto client = startAndRun(name);
    LONGS_EQUAL(200, client->status);
  }
  const std::size_t before = world.dispatches();
  const auto refused = world.start(turn("q5"));
  LONGS_EQUAL(503, refused->status);
  STRCMP_EQUAL("turn_memory_full", refused->body.c_str());
  CHECK(!refused->retryAfter.empty());
  LONGS_EQUAL(before, world.dispatches());
}

TEST(ExchangeRetention, refusesATurnThatHasNoTimeToWaitForItsRecord) {
  makeStoreUnavailable();
  CallRequest call = turn("q1");
  call.deadline = milliseconds(500);
  const auto client = world.start(call);
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeRetention, refusesBeforeTheDispatchIfTheMechanismIsDisabled) {
  TurnRetentionKnobs knobs;
  knobs.holdStreamEnds = false;
  world.context.retention = TurnRetentionPolicy(knobs);
  makeStoreUnavailable();
  const auto client = world.start(turn("q1"));
  LONGS_EQUAL(503, client->status);
  STRCMP_EQUAL("store_not_answering", client->body.c_str());
  STRCMP_EQUAL("800000", client->retryAfter.c_str());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeRetention, releasesHeldEndsDuringAPlannedStop) {
  makeStoreUnavailable();
  const auto held = startAndRun("q1");
  world.context.stop.emplace(world.timers.now - seconds(4), seconds(60));
  const auto refused = world.start(turn("q2"));
  LONGS_EQUAL(503, refused->status);
  CHECK_FALSE(held->whole);
  world.log.fault = FakeFault::None;
  world.timers.advance(milliseconds(1500));
  CHECK_TRUE(held->whole);
}

TEST(ExchangeRetention, aClientThatDisconnectsDuringAHoldLeaksNothing) {
  makeStoreUnavailable();
  const auto client = startAndRun("q1");
  client->observer.onGone();
  LONGS_EQUAL(0, world.context.retention.heldStreamEnds());
  LONGS_EQUAL(0, world.context.retention.retainedBytes());
  world.timers.advance(seconds(5));
  CHECK_FALSE(client->whole);
}

TEST(ExchangeRetention, endsOnlyTurnsOfAvailablePartitionsAtOnce) {
  const ledger::LedgerPartitions layout{{}};
  const auto partitionOf = [&](const std::string& name) { return layout.ofTurn({"", 0}, name); };
  std::string other = "a";
  while (partitionOf(other) == partitionOf("q1")) {
    other += "a";
  }
  world.log.downPartitions.insert(partitionOf("q1"));
  const auto held = startAndRun("q1");
  const auto answered = startAndRun(other);
  wait();
  CHECK_TRUE(answered->whole);
  CHECK_FALSE(held->whole);
  world.log.downPartitions.clear();
  world.timers.advance(milliseconds(1000));
  CHECK_TRUE(held->whole);
}
