// Guards against requests lost or executed twice when the replica's process restarts.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

constexpr std::uint64_t kFirstStart = 1'800'000'000'000;
const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";

}  // namespace

TEST_GROUP(ExchangeReplicaRestart) {
  ExchangeWorld world;
  std::uint64_t latestStart = kFirstStart;

  void setup() override {
    for (const char* id : {"r1", "r2", "r3"}) {
      routing::ReplicaEntry entry = world.replicas.find(id)->entry;
      entry.startedAt = routing::ReplicaStart(kFirstStart);
      world.replicas.upsert(entry);
    }
  }
  void wait(Duration time = milliseconds(50)) { world.timers.advance(time); }
  /// Waits until the exchange checks whether its replica has restarted.
  void waitForSilenceTimeout() { wait(world.context.knobs.silence + milliseconds(10)); }
  std::string askedReplica() { return world.call().headerOf("expect"); }
  /// Registers a restart of the replica's process. \return the new incarnation.
  routing::ReplicaPtr restartReplica(const std::string& id, Instant beganAt,
                                     const std::string& address = "10.0.0.9:1") {
    routing::ReplicaEntry entry = world.replicas.find(id)->entry;
    latestStart += 1000;
    entry.startedAt = routing::ReplicaStart(latestStart);
    entry.address = address;
    CHECK(world.replicas.upsert(entry, beganAt) == routing::ReplicaChange::Restarted);
    return world.replicas.find(id);
  }
  void removeOthers(const std::string& id) {
    for (const char* other : {"r1", "r2", "r3"}) {
      if (other != id) {
        world.replicas.remove(other);
      }
    }
  }
  void respond(unsigned status = 200) {
    world.call().head(status);
    world.call().done();
  }
};

TEST(ExchangeReplicaRestart, aStreamResumesAtAnotherReplicaAfterARestart) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  const auto broken = world.client.exchanges.back();
  restartReplica(askedReplica(), world.timers.now);
  waitForSilenceTimeout();
  CHECK_TRUE(broken->cancelled);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(world.call().request.address != broken->request.address);
  STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
  world.beginEvents();
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  CHECK_TRUE(client->whole);
}

TEST(ExchangeReplicaRestart, anInterruptedStreamIsNotResumedAtThePreviousIncarnation) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = askedReplica();
  const std::string address = world.call().request.address;
  world.beginEvents();
  world.call().body(kFirst);
  removeOthers(replica);
  restartReplica(replica, world.timers.now);
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(world.call().request.address != address);
  world.beginEvents();
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
}

TEST(ExchangeReplicaRestart, anIdempotentRequestIsRetriedAfterARestart) {
  const auto client = world.start(ExchangeWorld::request("safe"));
  const std::string replica = askedReplica();
  removeOthers(replica);
  wait();
  const routing::ReplicaPtr next = restartReplica(replica, world.timers.now);
  waitForSilenceTimeout();
  LONGS_EQUAL(2, world.dispatches());
  STRCMP_EQUAL("10.0.0.9:1", world.call().request.address.c_str());
  LONGS_EQUAL(1, next->inFlight);
  respond();
  LONGS_EQUAL(200, client->status);
  LONGS_EQUAL(0, next->inFlight);
}

TEST(ExchangeReplicaRestart, aNonIdempotentRequestIsNotRetriedAfterARestart) {
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  wait();
  restartReplica(askedReplica(), world.timers.now);
  waitForSilenceTimeout();
  LONGS_EQUAL(502, client->status);
  LONGS_EQUAL(1, world.dispatches());
  CHECK_TRUE(world.call().cancelled);
}

TEST(ExchangeReplicaRestart, aFailureAtThePreviousIncarnationDoesNotCountForTheNewOne) {
  world.start(ExchangeWorld::request("unsafe"));
  const routing::ReplicaPtr earlier = world.replicas.find(askedReplica());
  wait();
  const routing::ReplicaPtr later = restartReplica(earlier->entry.id, world.timers.now);
  LONGS_EQUAL(1, earlier->inFlight);
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(0, earlier->inFlight);
  LONGS_EQUAL(0, later->inFlight);
  LONGS_EQUAL(0, later->failures);
  CHECK(later->suspectUntil == Instant{});
}

TEST(ExchangeReplicaRestart, aRequestThatReachedTheNewIncarnationStaysThere) {
  // The request is dispatched after the restart but before the new registration is read.
  const Instant beganAt = world.timers.now - milliseconds(300);
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  const routing::ReplicaPtr earlier = world.replicas.find(askedReplica());
  wait();
  const routing::ReplicaPtr later = restartReplica(earlier->entry.id, beganAt);
  waitForSilenceTimeout();
  LONGS_EQUAL(0, client->status);
  CHECK_FALSE(world.call().cancelled);
  LONGS_EQUAL(0, earlier->inFlight);
  LONGS_EQUAL(1, later->inFlight);
  respond();
  LONGS_EQUAL(200, client->status);
  LONGS_EQUAL(0, later->inFlight);
}

TEST(ExchangeReplicaRestart, aStreamThatReachedTheNewIncarnationIsResumedThere) {
  const Instant beganAt = world.timers.now - milliseconds(300);
  world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = askedReplica();
  const std::string address = world.call().request.address;
  world.beginEvents();
  world.call().body(kFirst);
  restartReplica(replica, beganAt, address);
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
  STRCMP_EQUAL(replica.c_str(), askedReplica().c_str());
  STRCMP_EQUAL(address.c_str(), world.call().request.address.c_str());
}

TEST(ExchangeReplicaRestart, aRequestIsLostAfterTwoRestartsInARow) {
  const Instant firstRestart = world.timers.now - milliseconds(300);
  const auto client = world.start(ExchangeWorld::request("unsafe"));
  const std::string replica = askedReplica();
  wait();
  // The request reached the second incarnation, which has ended as well.
  const routing::ReplicaPtr second = restartReplica(replica, firstRestart);
  const routing::ReplicaPtr third = restartReplica(replica, world.timers.now);
  waitForSilenceTimeout();
  LONGS_EQUAL(502, client->status);
  LONGS_EQUAL(1, world.dispatches());
  LONGS_EQUAL(0, second->inFlight);
  LONGS_EQUAL(0, third->inFlight);
}
