// Guards against replicas that send bytes without end: memory, other requests, the count of ends.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

constexpr std::size_t kMostBytes = std::size_t{1024} * 1024;
const std::string kPart(std::size_t{16} * 1024, 'x');

}  // namespace

TEST_GROUP(ExchangeEndlessAnswer) {
  ExchangeWorld world;

  void setup() override { world.context.answerMemory = AnswerMemory(kMostBytes); }
  /// Sends parts until the node closes the connection.
  /// \return the bytes that it took.
  std::size_t sendUntilClosed(node::testing::FakeHttpClient::Exchange & call) {
    std::size_t sent = 0;
    while (!call.cancelled && sent < 100 * kMostBytes) {
      call.body(kPart);
      sent += kPart.size();
    }
    CHECK_TRUE(call.cancelled);
    return sent;
  }
  std::size_t countedRuns() {
    return world.runHistories.isEmpty()
               ? 0
               : world.runHistories.histories().all().begin()->second.countedRuns();
  }
};

TEST(ExchangeEndlessAnswer, aPlainAnswerIsBrokenOffAtTheLimit) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  world.call().head(200);
  CHECK_COMPARE(sendUntilClosed(world.call()), <=, kMostBytes + kPart.size());
  LONGS_EQUAL(502, client->status);
  LONGS_EQUAL(0, world.context.answerMemory.bytes());
  LONGS_EQUAL(1, world.context.answerMemory.ended());
  LONGS_EQUAL(1, countedRuns());  // Nothing shows yet what became of the replica.
}

TEST(ExchangeEndlessAnswer, theLargestOfSeveralIsBrokenOffAndOthersGoOn) {
  const auto small = world.start(ExchangeWorld::request("unsafe"));
  const auto smallCall = world.client.exchanges.back();
  smallCall->head(200);
  smallCall->body("whole ");
  CallRequest call = ExchangeWorld::request("unsafe");
  call.body = "another";
  world.start(call);
  world.call().head(200);
  sendUntilClosed(world.call());
  smallCall->body("answer");
  smallCall->done();
  LONGS_EQUAL(200, small->status);
  STRCMP_EQUAL("whole answer", small->body.c_str());
}

TEST(ExchangeEndlessAnswer, anEventWithoutEndIsBrokenOff) {
  world.context.answerMemory = AnswerMemory(100 * kMostBytes);
  const auto client = world.start(ExchangeWorld::turn("kept"));
  world.timers.advance(milliseconds(20));
  world.beginEvents();
  world.call().body("id: 1\ndata: a\n\n");
  world.timers.advance(milliseconds(20));
  const auto call = world.client.exchanges.back();
  call->body("id: 2\ndata: ");
  CHECK_COMPARE(sendUntilClosed(*call), <=, kMaximumEventBytes + kPart.size());
  CHECK_TRUE(client->closed);
  STRCMP_EQUAL("id: 1\ndata: a\n\n", client->body.c_str());
  LONGS_EQUAL(0, world.context.answerMemory.bytes());
}

TEST(ExchangeEndlessAnswer, eventsWithoutEndAreBrokenOffAtTheLimit) {
  const auto client = world.start(ExchangeWorld::turn("kept"));
  world.timers.advance(milliseconds(20));
  world.beginEvents();
  const auto call = world.client.exchanges.back();
  call->body("id: 0\ndata: a\n\n");
  world.timers.advance(milliseconds(20));
  std::size_t sent = 0;
  for (int number = 1; !call->cancelled && sent < 100 * kMostBytes; ++number) {
    const std::string event = "id: " + std::to_string(number) + "\ndata: " + kPart + "\n\n";
    call->body(event);
    sent += event.size();
  }
  CHECK_TRUE(call->cancelled);
  CHECK_COMPARE(sent, <=, 2 * kMostBytes);
  CHECK_TRUE(client->closed);
}

TEST(ExchangeEndlessAnswer, aRequestThatMayBeRepeatedGoesToAnotherReplica) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  world.call().head(200);
  const auto first = world.client.exchanges.back();
  sendUntilClosed(*first);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(world.call().headerOf("expect") != first->headerOf("expect"));
  world.call().head(200);
  world.call().body("answer");
  world.call().done();
  STRCMP_EQUAL("answer", client->body.c_str());
}
