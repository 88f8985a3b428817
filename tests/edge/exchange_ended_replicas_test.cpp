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
  /// Starts an attempt under a new id, whose connection breaks.
  void breakOff(CallRequest call) {
    call.requestId = "q" + std::to_string(++attempts);
    world.start(std::move(call));
    wait();
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

TEST(ExchangeEndedReplicas, anAttemptBehindThreeEndsIsRefusedAtOnceAsNotExecuted) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  }
  wait(seconds(6));  // The registrations show that all three have ended.
  const std::size_t before = world.dispatches();
  const auto client = world.start(ExchangeWorld::turn("kept"));
  LONGS_EQUAL(503, client->status);
  STRCMP_EQUAL("request_quarantined", client->body.c_str());
  STRCMP_EQUAL("", client->retryAfter.c_str());
  LONGS_EQUAL(before, world.dispatches());
  LONGS_EQUAL(1, world.context.counters.quarantineRefusals);
  CHECK(world.lines.empty());
  world.eventLog.flush();
  CHECK(world.lines.find("event=request_quarantined") != std::string::npos);
  CHECK(world.lines.find("ended_replicas=3") != std::string::npos);
}

TEST(ExchangeEndedReplicas, aRequestIsServedAgainWhenItsReplicasTurnOutToLive) {
  const Instant connectedAt = world.timers.now - seconds(1);
  for (int attempt = 0; attempt < 3; ++attempt) {
    breakOff(ExchangeWorld::turn("kept"));
  }
  const auto refused = world.start(ExchangeWorld::turn("kept"));
  LONGS_EQUAL(503, refused->status);
  CHECK(refused->retryAfter.size() > 1);
  wait(seconds(6));
  LONGS_EQUAL(503, world.start(ExchangeWorld::turn("kept"))->status);
  CallRequest other = ExchangeWorld::request("unsafe");
  other.body = "another";
  world.start(other);
  wait();
  world.call().openedAt = connectedAt;
  world.call().head(200);
  const std::size_t before = world.dispatches();
  world.start(ExchangeWorld::turn("kept"));
  wait();
  LONGS_EQUAL(before + 1, world.dispatches());
}

TEST(ExchangeEndedReplicas, uncertainEndsCountWhileTheRegistrationsCannotBeRead) {
  world.replicasReadAt = world.timers.now;
  for (int attempt = 0; attempt < 3; ++attempt) {
    breakOff(ExchangeWorld::turn("kept"));
  }
  wait(seconds(20));
  LONGS_EQUAL(503, world.start(ExchangeWorld::turn("kept"))->status);
}

TEST(ExchangeEndedReplicas, aBystanderThatIsAnsweredBeginsAnew) {
  attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  const auto client = world.start(ExchangeWorld::turn("kept"));
  wait();
  world.beginEvents();
  world.call().body("id: 1\ndata: a\n\n");
  world.call().done();
  wait();
  LONGS_EQUAL(200, client->status);
  ended = 0;
  for (int attempt = 0; attempt < 6; ++attempt) {
    attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  }
  LONGS_EQUAL(kMaximumEndedReplicas, ended);
}

// Requests of many callers outside programs may have the same content.
TEST(ExchangeEndedReplicas, aLaterSuccessOutsideProgramsClearsTheEndsBeforeIt) {
  for (int pair = 0; pair < 3; ++pair) {
    attemptThatEndsReplicas(ExchangeWorld::request("unsafe"));
    attemptThatEndsReplicas(ExchangeWorld::request("unsafe"));
    LONGS_EQUAL(2, world.runHistories.histories().all().begin()->second.countedRuns());
    world.start(ExchangeWorld::request("unsafe"));
    wait();
    world.call().head(200);
    world.call().done();
    wait();
    LONGS_EQUAL(0, world.runHistories.histories().all().begin()->second.countedRuns());
  }
}

TEST(ExchangeEndedReplicas, aSuccessThatBeganBeforeTheEndsClearsNone) {
  world.start(ExchangeWorld::request("unsafe"));
  wait();
  const auto earlier = world.client.exchanges.back();
  attemptThatEndsReplicas(ExchangeWorld::request("unsafe"));
  earlier->head(200);
  earlier->done();
  wait();
  LONGS_EQUAL(1, world.runHistories.histories().all().begin()->second.countedRuns());
}

TEST(ExchangeEndedReplicas, otherRequestsAreNotConcerned) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  }
  CallRequest otherProgram = ExchangeWorld::turn("kept");
  otherProgram.programId = "another";
  CallRequest otherInput = ExchangeWorld::turn("kept");
  otherInput.body = "another";
  for (CallRequest call : {otherProgram, otherInput}) {
    const std::size_t before = world.dispatches();
    world.start(call);
    wait();
    LONGS_EQUAL(before + 1, world.dispatches());
  }
  CallRequest subAgent = ExchangeWorld::turn("kept");
  subAgent.sessionId = "another";
  LONGS_EQUAL(503, world.start(subAgent)->status);
}

TEST(ExchangeEndedReplicas, refusalsDoNotCount) {
  for (int attempt = 0; attempt < 8; ++attempt) {
    CallRequest call = ExchangeWorld::request("unsafe");
    call.requestId = "q" + std::to_string(attempt);
    const auto client = world.start(call);
    wait();
    if (attempt == 0) {
      endReplica();  // From here on, dispatches are recorded.
      continue;
    }
    while (client->status == 0) {
      world.call().head(attempt % 2 == 0 ? 503 : 421, {{"not-run", "1"}});
      world.call().done();
      wait();
    }
    CHECK(client->body != "request_quarantined");
    wait(milliseconds(200));
  }
}

TEST(ExchangeEndedReplicas, attemptsUnderWayAtTheSameTimeCountTogether) {
  attemptThatEndsReplicas(ExchangeWorld::turn("kept"));
  for (const char* id : {"x1", "x2"}) {
    CallRequest call = ExchangeWorld::turn("kept");
    call.requestId = id;
    world.start(call);
    wait();
  }
  const std::size_t before = world.dispatches();
  CallRequest call = ExchangeWorld::turn("kept");
  call.requestId = "x3";
  LONGS_EQUAL(503, world.start(call)->status);
  LONGS_EQUAL(before, world.dispatches());
}

TEST(ExchangeEndedReplicas, aRunAtAReplicaThatFellSilentBeforeTheDeadlineCounts) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    CallRequest call = ExchangeWorld::request("unsafe");
    call.requestId = "q" + std::to_string(attempt);
    call.deadline = milliseconds(600);
    const auto client = world.start(call);
    wait(milliseconds(700));
    LONGS_EQUAL(504, client->status);
    world.replicas.remove(askedReplica());  // Its registration is gone.
  }
  LONGS_EQUAL(503, world.start(ExchangeWorld::request("unsafe"))->status);
}

// Connections to a replica that has ended may be accepted and reset by a proxy, but a replica that
// reset one connection may also have lived and ended under the next request.
TEST(ExchangeEndedReplicas, runsThatBreakOffAtOnceAtFailingReplicasCount) {
  for (const char* replica : {"r1", "r2", "r3"}) {
    world.replicas.find(replica)->failures = 1;
    world.replicas.find(replica)->failingSince = world.timers.now;
  }
  wait(milliseconds(5));
  breakOff(ExchangeWorld::request("unsafe"));
  const auto& history = world.runHistories.histories().all().begin()->second;
  LONGS_EQUAL(1, history.countedRuns());
  CHECK_TRUE(history.runs.back().atFailingReplica);
}

TEST(ExchangeEndedReplicas, aRequestWithCountedRunsGoesToReplicasThatShowLife) {
  breakOff(ExchangeWorld::request("unsafe"));
  for (const char* replica : {"r1", "r2", "r3"}) {
    world.replicas.find(replica)->failures = 1;
    world.replicas.find(replica)->failingSince = world.timers.now;
  }
  const auto refused = world.start(ExchangeWorld::request("unsafe"));
  LONGS_EQUAL(503, refused->status);
  STRCMP_EQUAL("replicas_may_have_ended", refused->body.c_str());
  CHECK(refused->retryAfter.size() > 1);
  CallRequest other = ExchangeWorld::request("unsafe");
  other.body = "another";
  world.start(other);
  LONGS_EQUAL(2, world.dispatches());
  wait();
  world.replicas.find("r2")->lastDataAt = world.timers.now;
  world.start(ExchangeWorld::request("unsafe"));
  LONGS_EQUAL(3, world.dispatches());
  STRCMP_EQUAL("r2", askedReplica().c_str());
}

TEST(ExchangeEndedReplicas, failingReplicasAreAvoidedForABoundedTime) {
  breakOff(ExchangeWorld::request("unsafe"));
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  world.replicas.find("r1")->failures = 1;
  world.replicas.find("r1")->failingSince = world.timers.now;
  wait(routing::SignOfLifeKnobs{}.exclusionTime);
  world.start(ExchangeWorld::request("unsafe"));
  LONGS_EQUAL(2, world.dispatches());
}

// The time for a restart counts from the end of the replica, not from the last call that it broke.
TEST(ExchangeEndedReplicas, aReplicaThatRestartedAmidFailingCallsCounts) {
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  for (int call = 0; call < 3; ++call) {
    CallRequest request = ExchangeWorld::request("unsafe");
    request.requestId = "q" + std::to_string(call);
    request.body = call < 2 ? "others" : "ends replicas";
    world.start(request);
    wait(milliseconds(1));
    world.call().fail(http::FailureStage::Broken);
    wait(milliseconds(150));
  }
  LONGS_EQUAL(2, world.runHistories.histories().all().size());
}

TEST(ExchangeEndedReplicas, runsAfterAFailureMayHaveMetAnEndedProcessUntilASignOfLife) {
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  routing::Replica& replica = *world.replicas.find("r1");
  for (const bool isAlive : {false, true}) {
    replica.failures = 1;
    replica.failingSince = world.timers.now;
    wait(seconds(6));
    replica.lastDataAt = isAlive ? world.timers.now : replica.lastDataAt;
    world.start(ExchangeWorld::request("unsafe"));
    wait(milliseconds(1));
    world.call().fail(http::FailureStage::Broken);
    const auto& runs = world.runHistories.histories().all().begin()->second.runs;
    CHECK_EQUAL(!isAlive, runs.back().atFailingReplica);
  }
}

TEST(ExchangeEndedReplicas, aRunCountsThatBreaksOffTogetherWithOthersAtItsReplica) {
  const auto bystander = world.start(ExchangeWorld::request("unsafe"));
  wait(milliseconds(1));
  CallRequest call = ExchangeWorld::request("unsafe");
  call.body = "another";
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  world.start(call);
  wait(milliseconds(1));
  for (const auto& exchange : world.client.exchanges) {
    exchange->fail(http::FailureStage::Broken);
  }
  LONGS_EQUAL(2, world.runHistories.histories().all().size());
}

TEST(ExchangeEndedReplicas, resumptionsAtAReplicaThatResetsConnectionsCountOnce) {
  world.start(ExchangeWorld::turn("again"));
  wait();
  for (int run = 0; run < 4; ++run) {
    world.beginEvents();
    world.call().body("id: " + std::to_string(run + 1) + "\ndata: a\n\n");
    wait(milliseconds(30));
    world.call().fail(http::FailureStage::Broken);
    LONGS_EQUAL(1, world.runHistories.histories().all().begin()->second.countedRuns());
  }
  LONGS_EQUAL(4, world.dispatches());
}

// A replica that ends silently breaks its connections when the next process takes over the address,
// which may answer other requests in the same moment.
TEST(ExchangeEndedReplicas, laterAttemptsCountThoughTheNextProcessAnswersOthers) {
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  for (std::size_t run = 1; run <= 2; ++run) {
    breakOff(ExchangeWorld::request("unsafe"));
    LONGS_EQUAL(run, world.runHistories.histories().all().begin()->second.countedRuns());
    world.replicas.find("r1")->lastDataAt = world.timers.now;
    wait(milliseconds(100));
  }
}

// The connections break when the next process takes over the address.
TEST(ExchangeEndedReplicas, resumptionsAtAReplicaThatWasSilentBeforeCountEach) {
  world.start(ExchangeWorld::turn("again"));
  for (std::size_t run = 1; run <= kMaximumEndedReplicas; ++run) {
    LONGS_EQUAL(run, world.dispatches());
    wait(milliseconds(300));
    world.call().fail(http::FailureStage::Broken);
  }
  LONGS_EQUAL(kMaximumEndedReplicas, world.dispatches());
}

// A program starts several sub-agents that ask for the same; one replica that runs them crashes.
TEST(ExchangeEndedReplicas, equalRequestsAtOneReplicaThatEndsCountAsOne) {
  world.replicas.remove("r2");
  world.replicas.remove("r3");
  constexpr int kSubAgents = 3;
  for (int number = 0; number < kSubAgents; ++number) {
    CallRequest call = ExchangeWorld::turn("kept");
    call.requestId = "s" + std::to_string(number);
    call.sessionId = call.requestId;
    world.start(std::move(call));
    wait(milliseconds(10));
    world.call().openedAt = world.timers.now;
  }
  LONGS_EQUAL(kSubAgents, world.dispatches());
  wait(milliseconds(300));
  for (const auto& exchange : std::vector(world.client.exchanges)) {
    exchange->fail(http::FailureStage::Broken);
  }
  routing::ReplicaEntry next = world.replicas.find("r1")->entry;
  next.id = "r4";
  world.replicas.remove("r1");
  world.replicas.upsert(next, world.timers.now);
  wait(seconds(8));
  const std::size_t before = world.dispatches();
  CallRequest later = ExchangeWorld::turn("kept");
  later.sessionId = "later";
  const auto client = world.start(std::move(later));
  wait();
  LONGS_EQUAL(before + 1, world.dispatches());
  LONGS_EQUAL(0, world.context.counters.quarantineRefusals);
}

// Requests of many callers outside programs may have the same content. Their replicas lost the
// answers, and no connection is left on which these could show that they live.
TEST(ExchangeEndedReplicas, aCommonRequestIsServedAgainWhenTheRegistrationsStand) {
  for (int attempt = 0; attempt < 3; ++attempt) {
    breakOff(ExchangeWorld::request("unsafe"));
  }
  const std::size_t before = world.dispatches();
  LONGS_EQUAL(503, world.start(ExchangeWorld::request("unsafe"))->status);
  wait(routing::RunHistoryKnobs{}.registrationLapseTime);
  const auto trial = world.start(ExchangeWorld::request("unsafe"));
  wait();
  LONGS_EQUAL(before + 1, world.dispatches());
  // One at a time.
  LONGS_EQUAL(503, world.start(ExchangeWorld::request("unsafe"))->status);
  world.call().head(200);
  world.call().done();
  wait();
  LONGS_EQUAL(200, trial->status);
  world.start(ExchangeWorld::request("unsafe"));
  wait();
  LONGS_EQUAL(before + 2, world.dispatches());
}
