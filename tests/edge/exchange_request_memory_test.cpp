// Turns that need more memory, or a larger record, than there is.
#include "edge/exchange_world.h"
#include "edge/scripted_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeRequestMemory) {
  static constexpr std::size_t kLargestTurn = 1000;

  ExchangeWorld world;
  ScriptedLedger ledger{{ledger::ReservationOutcome::Granted}, ledger::ReservationOutlook::Likely};
  EdgeContext context = world.contextWith(ledger);
  std::shared_ptr<ClientView> client = std::make_shared<ClientView>();
  std::shared_ptr<http::RequestMemory> memory;

  void setup() override {
    world.views.push_back(client);
    context.knobs.maximumTurnBytes = kLargestTurn;
    http::RequestMemoryLimits limits;
    limits.maximumBytes = 100 * 1024;
    memory = std::make_shared<http::RequestMemory>(limits);
  }
  void start(const std::string& input, const std::string& history) {
    CallRequest turn = ExchangeWorld::turn("kept");
    turn.body = input;
    turn.memory = memory->open({}, world.timers.now);
    if (!history.empty()) {
      turn.previousTurnId = "q0";
      ledger.history = ledger::History{history, {}, 0};
    }
    std::make_shared<Exchange>(context, std::move(turn), std::make_unique<FakeWriter>(client))
        ->start();
  }
};

TEST(ExchangeRequestMemory, aTurnThatNoRecordHoldsIsRefusedBeforeItRuns) {
  start(std::string(kLargestTurn + 1, 'x'), "");
  LONGS_EQUAL(413, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeRequestMemory, theHistoryDoesNotCountForTheRecord) {
  start("", std::string(kLargestTurn * 10, 'h'));
  LONGS_EQUAL(1, world.dispatches());
  LONGS_EQUAL(kLargestTurn * 10, world.call().request.body.size());
}

TEST(ExchangeRequestMemory, aHistoryWithoutRoomIsRefusedBeforeItRuns) {
  start("input", std::string(90 * 1024, 'h'));
  LONGS_EQUAL(503, client->status);
  STRCMP_EQUAL("request_memory_taken", client->body.c_str());
  CHECK_FALSE(client->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeRequestMemory, theMemoryIsGivenBackWithTheRequest) {
  start("input", std::string(20 * 1024, 'h'));
  LONGS_EQUAL(1, world.dispatches());
  CHECK_COMPARE(memory->counters().bytes, >, 20 * 1024);
  client->observer.onGone();
  client->observer = {};
  world.client.exchanges.clear();
  LONGS_EQUAL(0, memory->counters().bytes);
}
