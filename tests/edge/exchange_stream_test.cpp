// Guards against events without a reservation, unrecorded turns, and streams that lose events or
// run at too many replicas.
#include "edge/exchange_world.h"

#include <algorithm>
#include <vector>

#include "edge/scripted_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;
using logstore::FakeFault;

namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";
const std::string kThird = "id: 3\ndata: c\n\n";

}  // namespace

TEST_GROUP(ExchangeStream) {
  ExchangeWorld world;

  EdgeContext contextWith(ledger::Ledger & ledger) { return world.contextWith(ledger); }
  /// Starts a turn on the resumable route.
  static std::shared_ptr<ClientView> startIn(EdgeContext & context) {
    auto client = std::make_shared<ClientView>();
    std::make_shared<Exchange>(context, ExchangeWorld::turn("again"),
                               std::make_unique<FakeWriter>(client))
        ->start();
    return client;
  }
  void wait() { world.timers.advance(milliseconds(50)); }
  struct BrokenStream {
    std::shared_ptr<ClientView> client;
    std::string replica;  ///< ID of the replica that ran it.
  };
  /// Starts a resumable turn and breaks its connection after the first event.
  BrokenStream breakStream() {
    const auto client = world.start(ExchangeWorld::turn("again"));
    wait();
    const std::string replica = world.call().headerOf("expect");
    world.beginEvents();
    world.call().body(kFirst);
    world.call().fail(http::FailureStage::Broken);
    return {client, replica};
  }
  /// Answers the last dispatch with 503 and the guarantee that it was not executed.
  void refuseAsBusy() {
    world.call().head(503, {{"not-run", ""}});
    world.call().done();
  }
  /// Runs a turn to its end, including the storing of its record.
  void completeTurn(const std::string& requestId, const std::string& previous = "") {
    CallRequest call = ExchangeWorld::turn("kept");
    call.requestId = requestId;
    call.previousTurnId = previous;
    world.start(call);
    wait();
    world.beginEvents();
    world.call().body(kFirst);
    world.call().done();
    wait();
  }
};

TEST(ExchangeStream, forwardsOnlyCompleteEvents) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst + "id: 2\nda");
  STRCMP_EQUAL(kFirst.c_str(), client->body.c_str());
  world.call().body("ta: b\n\n");
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  world.call().done();
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, releasesNoEventBeforeTheReservationIsGranted) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(1, world.dispatches());
  world.beginEvents();
  world.call().body(kFirst);
  STRCMP_EQUAL("", client->body.c_str());
  LONGS_EQUAL(0, client->status);
  wait();
  STRCMP_EQUAL(kFirst.c_str(), client->body.c_str());
}

TEST(ExchangeStream, endsAPersistedAnswerOnlyWhenItsTurnIsStored) {
  world.log.latency = milliseconds(20);
  const auto client = world.start(ExchangeWorld::turn("kept"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  world.call().done();
  CHECK_FALSE(client->whole);
  wait();
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, abortsAPersistedAnswerThatCannotBeStored) {
  const auto client = world.start(ExchangeWorld::turn("kept"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  world.log.fault = FakeFault::Silent;
  world.call().done();
  world.timers.advance(seconds(5));
  CHECK_FALSE(client->whole);
  CHECK_TRUE(client->closed);
}

TEST(ExchangeStream, sendsTheReplicaTheWholeHistoryBeforeTheNewInput) {
  completeTurn("t1");
  completeTurn("t2", "t1");
  CallRequest call = ExchangeWorld::turn("kept");
  call.requestId = "t3";
  call.previousTurnId = "t2";
  call.body = "new";
  world.start(call);
  wait();
  STRCMP_EQUAL("inputa\ninputa\nnew", world.call().request.body.c_str());
}

TEST(ExchangeStream, answers404OnlyForATurnThatTheLogDoesNotContain) {
  CallRequest call = ExchangeWorld::turn("kept");
  call.previousTurnId = "never";
  const auto client = world.start(call);
  wait();
  LONGS_EQUAL(404, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, answers503ForAnyTurnWhileTheLogCannotBeRead) {
  world.log.fault = FakeFault::Silent;
  CallRequest call = ExchangeWorld::turn("kept");
  call.previousTurnId = "never";
  const auto client = world.start(call);
  world.timers.advance(seconds(4));
  LONGS_EQUAL(503, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, answers402WithoutADispatchWhenTheBudgetIsSpent) {
  CallRequest call = ExchangeWorld::turn("again");
  call.tokenBudget = 100;
  const auto client = world.start(call);
  wait();
  LONGS_EQUAL(402, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, doesNotClaimNotExecutedIfTheBudgetIsSpentAfterTheDispatch) {
  // Another node has reserved most of the budget, which this node has not read yet.
  logstore::RetryingStore otherStore(
      world.log, world.timers, [this] { return world.timers.now; }, {}, 2);
  ledger::ProgramLedger other(otherStore, world.timers, [this] { return world.timers.now; }, {});
  other.reserve({{"elsewhere", "program", 900}, 1000, {}}, seconds(1),
                [](const ledger::ReservationReply&) {});
  other.settle({"elsewhere", "program", 900});
  world.timers.advance(seconds(1));
  const auto client = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(1, world.dispatches());
  wait();
  LONGS_EQUAL(502, client->status);
  CHECK_TRUE(world.call().cancelled);
}

TEST(ExchangeStream, settlesTheTokensThatWereReleased) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst + kSecond);
  world.call().done();
  CHECK_TRUE(client->whole);
  LONGS_EQUAL(18, world.ledger.knownTokenUse("program"));
}

TEST(ExchangeStream, refusesBeforeTheDispatchWhileTheStoreIsUnavailable) {
  world.log.fault = FakeFault::Busy;
  world.ledger.reserve({{"x", "program", 1}, 1000, {}}, seconds(3),
                       [](const ledger::ReservationReply&) {});
  world.timers.advance(milliseconds(150));
  const auto client = world.start(ExchangeWorld::turn("again"));
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, triesAReservationEvenAfterRecentFailures) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Granted});
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(1, world.dispatches());
  CHECK(ledger.reservationTimeout <= context.knobs.failingReservationTimeout);
  client->observer.onGone();
  client->observer = {};
}

TEST(ExchangeStream, dispatchesNothingIfAnUnlikelyReservationFails) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable});
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, dispatchesNothingIfADoubtfulReservationFails) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable},
                        ledger::ReservationOutlook::Uncertain);
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
  LONGS_EQUAL(0, world.dispatches());
  CHECK(ledger.reservationTimeout <= context.knobs.uncertainReservationTimeout);
}

// Guards against a run whose client then gets an unknown outcome in place of 402.
TEST(ExchangeStream, reservesFirstWhenDeadNodesMayHaveSpentTheBudget) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Spent}, ledger::ReservationOutlook::Likely);
  ledger.possibleTokens = 900;
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(402, client->status);
  LONGS_EQUAL(0, world.dispatches());
}

TEST(ExchangeStream, retriesAReservationThatFailsAfterTheDispatch) {
  ScriptedLedger ledger(
      {ledger::ReservationOutcome::Unavailable, ledger::ReservationOutcome::Granted},
      ledger::ReservationOutlook::Likely);
  ledger.timers = &world.timers;
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(1, world.dispatches());
  world.beginEvents();
  world.call().body(kFirst);
  STRCMP_EQUAL("", client->body.c_str());
  world.timers.advance(context.knobs.reservationRetryDelay + milliseconds(10));
  LONGS_EQUAL(2, ledger.reservations);
  STRCMP_EQUAL(kFirst.c_str(), client->body.c_str());
  world.call().done();
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, aReservationThatFailsTwiceAfterTheDispatchEndsTheTurnWithAnUnknownState) {
  ScriptedLedger ledger({ledger::ReservationOutcome::Unavailable},
                        ledger::ReservationOutlook::Likely);
  ledger.timers = &world.timers;
  EdgeContext context = contextWith(ledger);
  const auto client = startIn(context);
  LONGS_EQUAL(1, world.dispatches());
  world.beginEvents();
  world.call().body(kFirst);
  world.timers.advance(seconds(1));
  LONGS_EQUAL(2, ledger.reservations);
  LONGS_EQUAL(502, client->status);
  CHECK_TRUE(world.call().cancelled);
}

TEST(ExchangeStream, resumesAStreamAtTheSameReplicaWithoutLostOrDuplicateEvents) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = world.call().headerOf("expect");
  world.beginEvents();
  world.call().body(kFirst + "id: 2\ndata: ha");
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(2, world.dispatches());
  STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
  STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
  world.beginEvents();
  world.call().body(kSecond + kThird);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond + kThird).c_str(), client->body.c_str());
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, resumesAtAnotherReplicaWhenTheFirstIsUnreachable) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = world.call().headerOf("expect");
  world.beginEvents();
  world.call().body(kFirst);
  world.call().fail(http::FailureStage::Broken);
  world.call().fail(http::FailureStage::NotSent);
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(3, world.dispatches());
  CHECK(replica != world.call().headerOf("expect"));
  STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
}

// Guards against runs at several replicas when this node's own link is saturated and every new
// connection times out.
TEST(ExchangeStream, doesNotAbandonARunIfTheWitnessIsUnreachableToo) {
  const auto client = world.start(ExchangeWorld::turn("again"));  // Its route allows one replica.
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  for (std::size_t check = 1; check <= 3; ++check) {
    world.timers.advance(milliseconds(check == 1 ? 900 : 450));
    LONGS_EQUAL(check, world.reachabilityChecks());
    world.answerReachabilityCheck(false, false);
  }
  LONGS_EQUAL(1, world.dispatches());
  CHECK_FALSE(world.call().cancelled);
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  CHECK_TRUE(client->whole);
}

// Guards against a second run elsewhere while an overloaded replica only resets connections.
TEST(ExchangeStream, reachableReplicasThatRefuseConnectionsStillCount) {
  const auto [client, replica] = breakStream();  // Its route allows one replica.
  world.call().fail(http::FailureStage::NotSent);
  LONGS_EQUAL(2, world.dispatches());
  world.answerReachabilityCheck(true);
  world.timers.advance(world.context.knobs.refusedReplicaAvoidTime);
  LONGS_EQUAL(3, world.dispatches());
  STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
  world.call().fail(http::FailureStage::NotSent);
  world.answerReachabilityCheck(false, false);
  world.timers.advance(world.context.knobs.refusedReplicaAvoidTime);
  LONGS_EQUAL(4, world.dispatches());
  STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
  world.beginEvents();
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, abortsAStreamWhoseReachableReplicaKeepsFailingConnections) {
  const auto [client, replica] = breakStream();
  while (!client->closed) {
    STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
    CHECK(world.dispatches() <= 1 + world.context.knobs.maximumRefusedTries);
    world.call().fail(http::FailureStage::NotSent);
    world.answerReachabilityCheck(true);
    world.timers.advance(world.context.knobs.refusedReplicaAvoidTime);
  }
  CHECK_FALSE(client->whole);
}

TEST(ExchangeStream, aClientThatDisconnectsDuringACheckLeaksNothing) {
  const auto [client, replica] = breakStream();
  world.call().fail(http::FailureStage::NotSent);
  client->observer.onGone();
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(2, world.dispatches());
  for (const routing::ReplicaPtr& left : world.replicas.all()) {
    LONGS_EQUAL(0, left->inFlight);
  }
}

// Guards against a run at a further replica while the first is too busy to resume the stream.
TEST(ExchangeStream, runsOnNoMoreReplicasThanItsRouteAllows) {
  const auto [client, replica] = breakStream();  // Its route allows one replica.
  refuseAsBusy();
  LONGS_EQUAL(2, world.dispatches());
  world.timers.advance(world.context.knobs.refusedReplicaAvoidTime);
  LONGS_EQUAL(3, world.dispatches());
  STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
  STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
  world.beginEvents();
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  CHECK_TRUE(client->whole);
}

TEST(ExchangeStream, abortsAStreamWhoseOnlyReplicaStaysBusy) {
  const auto [client, replica] = breakStream();
  while (!client->closed) {
    STRCMP_EQUAL(replica.c_str(), world.call().headerOf("expect").c_str());
    CHECK(world.dispatches() <= 1 + world.context.knobs.maximumRefusedTries);
    refuseAsBusy();
    world.timers.advance(world.context.knobs.refusedReplicaAvoidTime);
  }
  CHECK_FALSE(client->whole);
}

TEST(ExchangeStream, resumesElsewhereWhenADifferentReplicaUsesTheAddress) {
  const std::string replica = breakStream().replica;
  world.call().head(421, {});
  world.call().done();
  LONGS_EQUAL(3, world.dispatches());
  CHECK(replica != world.call().headerOf("expect"));
}

TEST(ExchangeStream, resumesElsewhereWhenASilentReplicaIsUnreachable) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = world.call().headerOf("expect");
  world.beginEvents();
  world.call().body(kFirst);
  auto& silent = world.call();
  world.timers.advance(milliseconds(900));
  LONGS_EQUAL(1, world.reachabilityChecks());
  world.answerReachabilityCheck(false);
  CHECK_TRUE(silent.cancelled);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(replica != world.call().headerOf("expect"));
  STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
  world.beginEvents();
  world.call().body(kSecond);
  world.call().done();
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
}

TEST(ExchangeStream, waitsForASilentReplicaThatIsReachable) {
  world.start(ExchangeWorld::turn("again"));
  wait();
  world.timers.advance(milliseconds(500));
  LONGS_EQUAL(1, world.reachabilityChecks());
  world.answerReachabilityCheck(true);
  world.timers.advance(milliseconds(500));
  LONGS_EQUAL(2, world.reachabilityChecks());
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeStream, doesNotCheckAReplicaThatAnswersOtherRequests) {
  world.start(ExchangeWorld::turn("again"));
  wait();
  for (int step = 0; step < 10; ++step) {
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->lastDataAt = world.timers.now;
    }
    world.timers.advance(milliseconds(200));
  }
  LONGS_EQUAL(0, world.reachabilityChecks());
}

TEST(ExchangeStream, countsADispatchWithoutAnswerAsFailedAfterASecond) {
  world.start(ExchangeWorld::turn("kept"));
  wait();
  const auto failed = [this] {
    double sum = 0;
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->lastDataAt = world.timers.now;  // It answers other requests.
      sum += replica->outcomes.failed(world.timers.now);
    }
    return sum;
  };
  for (int step = 0; step < 4; ++step) {
    world.timers.advance(milliseconds(200));
    DOUBLES_EQUAL(0, failed(), 1e-9);
  }
  for (int step = 0; step < 5; ++step) {
    world.timers.advance(milliseconds(200));
    failed();
  }
  CHECK(failed() > 0.5 && failed() <= 1.0);
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeStream, failsAnUnsafeTurnAtOnceWhenItsReplicaIsUnreachable) {
  const auto client = world.start(ExchangeWorld::turn("kept"));
  wait();
  world.timers.advance(milliseconds(500));
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(502, client->status);
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeStream, abortsAnInterruptedStreamThatMayNotBeResumed) {
  const auto client = world.start(ExchangeWorld::turn("kept"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(1, world.dispatches());
  CHECK_FALSE(client->whole);
  CHECK_TRUE(client->closed);
}

TEST(ExchangeStream, refusesFirstTurnsBeforeLaterOnesWhenReplicasAreBusy) {
  completeTurn("t1");
  for (const routing::ReplicaPtr& replica : world.replicas.all()) {
    replica->othersInFlight = 6;  // Of 4 slots.
  }
  CallRequest first = ExchangeWorld::turn("kept");
  first.programId = "another";
  const auto refused = world.start(first);
  LONGS_EQUAL(503, refused->status);
  CallRequest later = ExchangeWorld::turn("kept");
  later.previousTurnId = "t1";
  const std::size_t before = world.dispatches();
  world.start(later);
  wait();
  LONGS_EQUAL(before + 1, world.dispatches());
}
