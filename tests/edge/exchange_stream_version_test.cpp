// Guards against streams whose events come from replicas of two software versions.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";

}  // namespace

TEST_GROUP(ExchangeStreamVersion) {
  ExchangeWorld world;

  void setup() override {
    setVersion("r1", "v1");
    setVersion("r2", "v2");
    setVersion("r3", "v3");
  }
  void setVersion(const std::string& id, const std::string& version) {
    routing::ReplicaEntry entry = world.replicas.find(id)->entry;
    entry.softwareVersion = version;
    world.replicas.upsert(entry);
  }
  void wait(Duration time = milliseconds(50)) { world.timers.advance(time); }
};

TEST(ExchangeStreamVersion, anAnswerIsNotContinuedByAReplicaOfAnotherVersion) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  wait(world.context.knobs.reachabilityCheckDelay * 2);
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(1, world.dispatches());
  STRCMP_EQUAL(kFirst.c_str(), client->body.c_str());
  CHECK_TRUE(client->closed);
}

TEST(ExchangeStreamVersion, aStreamOfUnknownVersionIsNotContinued) {
  CallRequest call = ExchangeWorld::turn("again");
  call.requestId = "q2";
  call.resumedRequestId = "q1";
  call.lastEventId = "1";
  const auto client = world.start(call);
  wait();
  LONGS_EQUAL(0, world.dispatches());
  LONGS_EQUAL(503, client->status);
  STRCMP_EQUAL("", client->retryAfter.c_str());
}
