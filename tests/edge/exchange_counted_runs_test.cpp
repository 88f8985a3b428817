// Guards against runs that stop counting without proof that their replica outlived them.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

/// Replicas that may end under one request (docs/design/0028-requests-that-end-replicas.md).
constexpr std::size_t kMaximumEndedReplicas = 3;
constexpr int kAttempts = 8;
constexpr std::uint64_t kStart = 1'800'000'000'000;

}  // namespace

TEST_GROUP(ExchangeCountedRuns) {
  ExchangeWorld world;
  std::size_t ended = 0;
  int attempts = 0;
  std::string program = "program";

  void setup() override {
    constexpr int kReplicas = 12;
    for (int number = 4; number <= kReplicas; ++number) {
      routing::ReplicaEntry entry = world.replicas.find("r1")->entry;
      entry.id = "r" + std::to_string(number);
      entry.address = "10.0.0.1:" + entry.id;
      world.replicas.upsert(entry);
    }
    world.runHistories.start();
  }
  void wait(Duration time) { world.timers.advance(time); }
  std::string askedReplica() { return world.call().headerOf("expect"); }

  /// Sends the turn once more under a new id.
  /// \return whether a replica received it.
  bool attempt(CallRequest call = ExchangeWorld::turn("kept")) {
    call.requestId = "q" + std::to_string(++attempts);
    call.programId = program;
    const std::size_t before = world.dispatches();
    world.start(std::move(call));
    wait(milliseconds(1));
    return world.dispatches() > before;
  }
  /// Sends the turn once more, and ends the replica that receives it.
  bool attemptThatEndsAReplica() {
    if (!attempt()) {
      return false;
    }
    wait(milliseconds(60));
    ++ended;
    world.call().fail(http::FailureStage::Broken);
    return true;
  }
  void answer(unsigned status) {
    if (status == 200) {
      world.beginEvents();
      world.call().body("id: 1\ndata: a\n\n");
    } else {
      world.call().head(status);
    }
    world.call().done();
    wait(milliseconds(20));
  }
};

TEST(ExchangeCountedRuns, anEndCountsThoughTheNextProcessKeepsTheIdAndTellsNoStart) {
  for (int number = 0; number < kAttempts; ++number) {
    attemptThatEndsAReplica();
    wait(seconds(6));
  }
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
}

// A store that was away removes the entries of ended replicas some time after it is back.
TEST(ExchangeCountedRuns, anEndCountsThoughItsRegistrationLapsesLate) {
  std::vector<std::string> endedReplicas;
  for (int number = 0; number < kAttempts; ++number) {
    if (attemptThatEndsAReplica()) {
      endedReplicas.push_back(askedReplica());
    }
    if (number == 2) {
      wait(seconds(7));
      for (const std::string& replica : endedReplicas) {
        world.replicas.remove(replica);
      }
      wait(seconds(1));
    }
  }
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
}

TEST(ExchangeCountedRuns, anEndCountsThoughTheNextStartLooksEarlier) {
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    routing::ReplicaEntry entry = replica->entry;
    entry.startedAt = routing::ReplicaStart(kStart);
    world.replicas.upsert(entry);
  }
  for (int number = 0; number < kAttempts; ++number) {
    if (attemptThatEndsAReplica()) {
      routing::ReplicaEntry entry = world.replicas.find(askedReplica())->entry;
      entry.startedAt = routing::ReplicaStart(kStart - 1000);
      CHECK(world.replicas.upsert(entry) == routing::ReplicaChange::Outdated);
    }
    wait(seconds(6));
  }
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
}

TEST(ExchangeCountedRuns, anEndCountsAtAReplicaThatHadResetAnotherConnection) {
  for (int number = 0; number < kAttempts; ++number) {
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->failures = 1;
      replica->failingSince = world.timers.now;
    }
    wait(milliseconds(5));
    if (attemptThatEndsAReplica()) {
      world.replicas.remove(askedReplica());
    }
    wait(seconds(6));
  }
  CHECK_COMPARE(ended, <=, kMaximumEndedReplicas);
  CHECK_COMPARE(ended, >=, 1U);
}

TEST(ExchangeCountedRuns, aFailureStatusClearsNoEnds) {
  for (const unsigned status : {500U, 503U, 429U, 413U}) {
    ended = 0;
    program = "program-" + std::to_string(status);
    for (int number = 1; number <= kAttempts; ++number) {
      if (number % 3 == 0) {
        if (attempt()) {
          answer(status);
        }
      } else if (attemptThatEndsAReplica()) {
        world.replicas.remove(askedReplica());
      }
    }
    LONGS_EQUAL(kMaximumEndedReplicas, ended);
  }
}

TEST(ExchangeCountedRuns, theAnswerToAnotherAgentWithTheSameInputClearsNoEnds) {
  for (int number = 1; number <= kAttempts; ++number) {
    if (number == 3) {
      CallRequest sibling = ExchangeWorld::turn("kept");
      sibling.sessionId = "another";
      CHECK_TRUE(attempt(sibling));
      answer(200);
    }
    if (attemptThatEndsAReplica()) {
      world.replicas.remove(askedReplica());
    }
  }
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
}

// A datagram that waited while the process was suspended is read late, so that a run of long ago
// looks as if it had been sent beside a new one.
TEST(ExchangeCountedRuns, agesInDatagramsAreNotUsedAfterASuspension) {
  const routing::RequestKey request{1, 2};
  const auto learnOf = [&](std::uint64_t number) {
    routing::ReplicaRun run{number, "r1"};
    run.isInterrupted = true;
    run.revision = 1;
    run.at = world.timers.now;
    run.sentAt = world.timers.now;
    world.runHistories.onMessage(
        "", RunHistoriesMessage{{{request, {{run}, world.timers.now + seconds(60)}}}});
  };
  learnOf(1);
  learnOf(2);
  LONGS_EQUAL(1, world.runHistories.decide(request).uncertainReplicas +
                     world.runHistories.decide(request).endedReplicas);
  world.timers.now += seconds(1);
  learnOf(3);
  learnOf(4);
  LONGS_EQUAL(2, world.runHistories.decide(request).repeatedReplicas);
  wait(milliseconds(100));
  learnOf(5);
  LONGS_EQUAL(3, world.runHistories.decide(request).repeatedReplicas);
  wait(seconds(1));
  learnOf(6);
  learnOf(7);
  LONGS_EQUAL(4, world.runHistories.decide(request).repeatedReplicas);
}
