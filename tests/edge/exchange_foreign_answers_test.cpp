// Guards against bytes of a replica that name no request being taken for the answer to one.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeForeignAnswers) {
  ExchangeWorld world;

  /// Starts an unsafe request on a connection of that age.
  void start(Duration connectionAge) {
    world.start(ExchangeWorld::request("unsafe"));
    world.timers.advance(milliseconds(5));
    world.call().openedAt = world.timers.now - connectionAge;
  }
  bool isOwn(unsigned status, const std::vector<http::Header>& headers) {
    return world.call().handler.isOwn(status, headers);
  }
};

TEST(ExchangeForeignAnswers, bytesWithoutAnIdOnAUsedConnectionAreNoAnswer) {
  start(seconds(1));
  for (const unsigned status : {200U, 204U, 400U, 421U, 500U, 503U}) {
    CHECK_FALSE(isOwn(status, {}));
    CHECK_FALSE(isOwn(status, {{"not-run", "1"}}));
    CHECK_FALSE(isOwn(status, {{"id", "another"}}));
    CHECK_TRUE(isOwn(status, {{"id", "q1"}}));
  }
}

// A proxy may refuse a request, or a replica that could not read it; neither answers with success.
TEST(ExchangeForeignAnswers, onlyAFailureOnANewConnectionNeedsNoId) {
  start(Duration::zero());
  CHECK_FALSE(isOwn(200, {}));
  CHECK_FALSE(isOwn(503, {{"id", "another"}}));
  CHECK_TRUE(isOwn(503, {{"not-run", "1"}}));
  CHECK_TRUE(isOwn(400, {}));
  CHECK_TRUE(isOwn(200, {{"id", "q1"}}));
}
