// Guards against a request that ends every replica that executes it and is sent on without a limit.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

/// Replicas that may end under one request (docs/design/0028-requests-that-end-replicas.md).
constexpr std::size_t kMaximumEndedReplicas = 3;
constexpr std::uint64_t kFirstStart = 1'800'000'000'000;
/// Far above the limit, so that a test of a request without a limit ends.
constexpr int kMostEnds = 40;

}  // namespace

TEST_GROUP(ExchangeEndedReplicas) {
  ExchangeWorld world;
  std::uint64_t latestStart = kFirstStart;
  std::size_t ended = 0;
  int attempts = 0;

  void setup() override {
    for (const char* id : {"r1", "r2", "r3"}) {
      routing::ReplicaEntry entry = world.replicas.find(id)->entry;
      entry.startedAt = routing::ReplicaStart(kFirstStart);
      world.replicas.upsert(entry);
    }
  }
  void wait(Duration time = milliseconds(20)) { world.timers.advance(time); }
  std::string askedReplica() { return world.call().headerOf("expect"); }

  /// The replica of the last dispatch ends, and its next process has registered before the node
  /// notices the broken connection.
  void endReplica() {
    routing::ReplicaEntry entry = world.replicas.find(askedReplica())->entry;
    entry.startedAt = routing::ReplicaStart(latestStart += 1000);
    world.replicas.upsert(entry, world.timers.now);
    ++ended;
    world.call().fail(http::FailureStage::Broken);
  }
  /// Starts an attempt under a new id, and ends each replica that it is sent to.
  std::shared_ptr<ClientView> attemptThatEndsReplicas(CallRequest call) {
    call.requestId = "q" + std::to_string(++attempts);
    const std::size_t before = world.dispatches();
    const auto client = world.start(std::move(call));
    wait();
    std::size_t handled = before;
    for (int number = 0; number < kMostEnds && world.dispatches() > handled; ++number) {
      handled = world.dispatches();
      endReplica();
      wait();
    }
    return client;
  }
};

TEST(ExchangeEndedReplicas, aSafeRequestIsNotSentAgainAfterThreeReplicasEndedUnderIt) {
  const auto client = attemptThatEndsReplicas(ExchangeWorld::request("safe"));
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
  LONGS_EQUAL(502, client->status);
}

TEST(ExchangeEndedReplicas, aResumableStreamIsNotSentAgainAfterThreeReplicasEndedUnderIt) {
  const auto client = attemptThatEndsReplicas(ExchangeWorld::turn("again"));
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
  LONGS_EQUAL(502, client->status);
}

TEST(ExchangeEndedReplicas, laterAttemptsAreNotSentAfterThreeReplicasEndedUnderEarlierOnes) {
  for (const char* route : {"safe", "again", "unsafe", "kept"}) {
    ended = 0;
    for (int attempt = 0; attempt < 6; ++attempt) {
      attemptThatEndsReplicas(ExchangeWorld::turn(route));
    }
    LONGS_EQUAL(kMaximumEndedReplicas, ended);
  }
}
