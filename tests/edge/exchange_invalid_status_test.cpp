// Answers whose status HTTP does not have: the request has failed, the replica has not ended.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeInvalidStatus) {
  ExchangeWorld world;

  void answer(unsigned status, const std::string& type = "") {
    std::vector<http::Header> headers = {{"id", "q1"}, {"not-run", "1"}};
    if (!type.empty()) {
      headers.push_back({"type", type});
    }
    world.call().handler.onHead(status, headers);
    world.call().handler.onBody("id: 1\ndata: a\n\n");
    world.call().handler.onDone({});
  }
};

TEST(ExchangeInvalidStatus, areAcceptedFromTheConnection) {
  world.start(ExchangeWorld::request("unsafe"));
  CHECK_TRUE(world.call().handler.acceptsInvalidStatus);
}

TEST(ExchangeInvalidStatus, anUnsafeRequestFailsOnceWhateverTheHeadPromises) {
  for (const unsigned status : {0U, 99U, 600U, 999U}) {
    ExchangeWorld own;
    const auto view = own.start(ExchangeWorld::request("unsafe"));
    own.call().handler.onHead(status, {{"id", "q1"}, {"not-run", "1"}});
    own.call().handler.onBody("words of the replica");
    own.call().handler.onDone({});
    LONGS_EQUAL(502, view->status);
    CHECK_TRUE(view->body.find("words") == std::string::npos);
    LONGS_EQUAL(1, own.dispatches());
  }
}

TEST(ExchangeInvalidStatus, aSafeRequestIsTriedAtAnotherReplica) {
  const auto view = world.start(ExchangeWorld::request("safe"));
  answer(0);
  LONGS_EQUAL(2, world.dispatches());
  LONGS_EQUAL(0, view->status);
}

TEST(ExchangeInvalidStatus, aStreamIsNotBegun) {
  const auto view = world.start(ExchangeWorld::request("again"));
  answer(0, "text/event-stream");
  CHECK_TRUE(view->body.find("data") == std::string::npos);
  LONGS_EQUAL(502, view->status);
}

TEST(ExchangeInvalidStatus, theReplicaDoesNotCountAsEnded) {
  world.start(ExchangeWorld::request("unsafe"));
  answer(0);
  CHECK_TRUE(world.runHistories.isEmpty());
}

TEST(ExchangeInvalidStatus, anAnswerThatBreaksOffCounts) {
  world.start(ExchangeWorld::request("unsafe"));
  world.call().handler.onHead(0, {{"id", "q1"}});
  world.call().handler.onFailure({http::FailureStage::Broken, "reset"});
  CHECK_FALSE(world.runHistories.isEmpty());
}
