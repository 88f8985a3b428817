// Guards against answers whose head is not that of the run that produced their first events, while
// events are held for the budget reservation and the stream goes on at a replica meanwhile.
#include <algorithm>

#include "edge/exchange_world.h"
#include "edge/scripted_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";

constexpr Duration kReservationTime = milliseconds(100);

}  // namespace

TEST_GROUP(ExchangeHeldEvents) {
  ExchangeWorld world;
  ScriptedLedger ledger{{ledger::ReservationOutcome::Granted}, ledger::ReservationOutlook::Likely};
  EdgeContext context = world.contextWith(ledger);
  std::shared_ptr<ClientView> client = std::make_shared<ClientView>();

  void setup() override {
    ledger.timers = &world.timers;
    ledger.replyTime = kReservationTime;
    world.views.push_back(client);
  }
  void start(CallRequest request = ExchangeWorld::turn("again")) {
    std::make_shared<Exchange>(context, std::move(request), std::make_unique<FakeWriter>(client))
        ->start();
    LONGS_EQUAL(1, world.dispatches());
  }
  /// Sends the head of an event stream; its seal tells the runs apart.
  void beginEvents(const std::string& seal) {
    world.call().head(200, {{"events", ""}, {"seal", seal}});
  }
  /// The replica's first run sends a head and an event, and breaks off. The stream goes on in a
  /// second run.
  void breakRunWithHeldEvent() {
    beginEvents("first");
    world.call().body(kFirst);
    world.call().fail(http::FailureStage::Broken);
    LONGS_EQUAL(2, world.dispatches());
    STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
    LONGS_EQUAL(0, client->status);
  }
  void grantReservation() { world.timers.advance(kReservationTime); }
  std::string seal() const {
    for (const http::Header& header : client->streamHeaders) {
      if (header.name == "seal") {
        return header.value;
      }
    }
    return {};
  }
  void checkAnswer(unsigned status, const std::string& expectedSeal, const std::string& body)
      const {
    LONGS_EQUAL(status, client->status);
    STRCMP_EQUAL(expectedSeal.c_str(), seal().c_str());
    STRCMP_EQUAL(body.c_str(), client->body.c_str());
  }
};

// Guards against an answer that begins with status 000.
TEST(ExchangeHeldEvents, areReleasedUnderTheirOwnHeadBeforeTheResumedRunHasOne) {
  start();
  breakRunWithHeldEvent();
  grantReservation();
  checkAnswer(200, "first", kFirst);
  beginEvents("second");
  world.call().body(kSecond);
  world.call().done();
  checkAnswer(200, "first", kFirst + kSecond);
  CHECK_TRUE(client->whole);
}

// Guards against events of the first run under the head and seal of the second one.
TEST(ExchangeHeldEvents, areReleasedUnderTheirOwnHeadAfterTheResumedRunHasOne) {
  start();
  breakRunWithHeldEvent();
  beginEvents("second");
  world.call().body(kSecond);
  grantReservation();
  checkAnswer(200, "first", kFirst + kSecond);
  world.call().done();
  CHECK_TRUE(client->whole);
}

TEST(ExchangeHeldEvents, areReleasedUnderTheirOwnHeadWhenTheResumedRunEndsWithoutEvents) {
  start();
  breakRunWithHeldEvent();
  beginEvents("second");
  world.call().done();
  grantReservation();
  checkAnswer(200, "first", kFirst);
  CHECK_TRUE(client->whole);
}

TEST(ExchangeHeldEvents, areReleasedUnderTheirOwnHeadWhileTheResumedRunIsRefused) {
  start();
  breakRunWithHeldEvent();
  world.call().head(503, {{"not-run", ""}, {"seal", "second"}});
  world.call().done();
  grantReservation();
  checkAnswer(200, "first", kFirst);
  CHECK_FALSE(client->whole);
}

TEST(ExchangeHeldEvents, areReleasedUnderTheirOwnHeadByARetriedReservation) {
  ScriptedLedger retried(
      {ledger::ReservationOutcome::Unavailable, ledger::ReservationOutcome::Granted},
      ledger::ReservationOutlook::Likely);
  retried.timers = &world.timers;
  retried.replyTime = kReservationTime;
  EdgeContext retriedContext = world.contextWith(retried);
  std::make_shared<Exchange>(retriedContext, ExchangeWorld::turn("again"),
                             std::make_unique<FakeWriter>(client))
      ->start();
  breakRunWithHeldEvent();
  world.timers.advance(kReservationTime * 2 + context.knobs.reservationRetryDelay);
  LONGS_EQUAL(2, retried.reservations);
  checkAnswer(200, "first", kFirst);
}

TEST(ExchangeHeldEvents, ofAStreamThatTheClientResumesAreReleasedUnderTheirOwnHead) {
  CallRequest request = ExchangeWorld::turn("again");
  request.lastEventId = "0";
  request.resumedRequestId = "q0";
  world.origins.known[routing::streamIdOf("q0").low] = routing::StreamOrigin{"model", ""};
  start(request);
  STRCMP_EQUAL("0", world.call().headerOf("after").c_str());
  breakRunWithHeldEvent();
  grantReservation();
  checkAnswer(200, "first", kFirst);
}

// A run that broke off before its first event left nothing to the client.
TEST(ExchangeHeldEvents, takeTheHeadOfTheFirstRunWithACompleteEvent) {
  start();
  beginEvents("first");
  world.call().body("id: 1\nda");
  world.call().fail(http::FailureStage::Broken);
  STRCMP_EQUAL("", world.call().headerOf("after").c_str());
  beginEvents("second");
  world.call().body(kFirst);
  grantReservation();
  checkAnswer(200, "second", kFirst);
}

// Guards against the answer to a resumption that the client did not ask for, which leaves out the
// held events.
TEST(ExchangeHeldEvents, areNotReplacedByAResumedRunThatAnswersWithoutAStream) {
  for (const unsigned status : {200U, 409U, 500U}) {
    client = world.views.emplace_back(std::make_shared<ClientView>());
    const std::size_t before = world.dispatches();
    std::make_shared<Exchange>(context, ExchangeWorld::turn("again"),
                               std::make_unique<FakeWriter>(client))
        ->start();
    beginEvents("first");
    world.call().body(kFirst);
    world.call().fail(http::FailureStage::Broken);
    world.call().head(status, {{"seal", "second"}});
    world.call().body("the rest");
    world.call().done();
    LONGS_EQUAL(before + 2, world.dispatches());
    LONGS_EQUAL(502, client->status);
    STRCMP_EQUAL("resume_answered_without_stream", client->body.c_str());
    CHECK_TRUE(client->whole);
  }
}

TEST(ExchangeHeldEvents, endWithAnUnknownStateAtTheDeadline) {
  ledger.replyTime = seconds(10);
  start();
  breakRunWithHeldEvent();
  world.timers.advance(seconds(4));
  LONGS_EQUAL(504, client->status);
  STRCMP_EQUAL("deadline", client->body.c_str());
  LONGS_EQUAL(1, ledger.settledTokens.size());
  LONGS_EQUAL(0, ledger.settledTokens.front());
}

TEST(ExchangeHeldEvents, cutOffByTheClientAreNotCountedAsHandedOut) {
  start();
  breakRunWithHeldEvent();
  client->observer.onGone();
  grantReservation();
  LONGS_EQUAL(0, client->status);
  LONGS_EQUAL(1, ledger.settledTokens.size());
  LONGS_EQUAL(0, ledger.settledTokens.front());
}

// How many tokens a success without events holds is not known.
TEST(ExchangeHeldEvents, aSuccessThatIsNoStreamIsHeldTooAndCountsWhatWasReserved) {
  CallRequest request = ExchangeWorld::turn("again");
  request.maximumTokens = 80;
  start(request);
  world.call().head(200, {{"seal", "whole"}});
  world.call().body("text");
  world.call().done();
  LONGS_EQUAL(0, client->status);
  grantReservation();
  LONGS_EQUAL(200, client->status);
  STRCMP_EQUAL("text", client->body.c_str());
  LONGS_EQUAL(1, ledger.settledTokens.size());
  LONGS_EQUAL(80, ledger.settledTokens.front());
}

TEST(ExchangeHeldEvents, aSuccessThatIsNoStreamIsNotSentBeyondTheBudget) {
  ScriptedLedger spent{{ledger::ReservationOutcome::Spent}, ledger::ReservationOutlook::Likely};
  spent.timers = &world.timers;
  spent.replyTime = kReservationTime;
  EdgeContext other = world.contextWith(spent);
  std::make_shared<Exchange>(other, ExchangeWorld::turn("again"),
                             std::make_unique<FakeWriter>(client))
      ->start();
  world.call().head(200, {{"seal", "whole"}});
  world.call().body("text");
  world.call().done();
  grantReservation();
  LONGS_EQUAL(502, client->status);
  STRCMP_EQUAL("budget_spent", client->body.c_str());
}

// Guards against a log line that tells of another status than the client received.
TEST(ExchangeHeldEvents, areLoggedWithTheStatusThatTheClientReceived) {
  start();
  breakRunWithHeldEvent();
  grantReservation();
  world.timers.advance(seconds(4));
  CHECK_TRUE(client->closed);
  world.eventLog.flush();
  const std::size_t line = world.lines.find("request_ended");
  CHECK(line != std::string::npos);
  STRCMP_CONTAINS(" status=200 ", world.lines.substr(line).c_str());
}
