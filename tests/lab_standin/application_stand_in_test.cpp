#include "lab/standin/application_stand_in.h"

#include "lab_standin/fake_parts.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::standin;

TEST_GROUP(ApplicationStandIn) {
  VirtualScheduler scheduler;
  FaultSwitches switches;
  ApplicationStandIn application{"press-1", milliseconds(5), switches, scheduler};
  FaultGate gate{application, switches, scheduler, DownManner::Drops};

  RecordedExchangePtr post(const std::string& key) {
    auto exchange =
        send(gate, makeRequest("POST", "/v1/requests", "{}",
                               {{"x-request-id", "p.1.1.1"}, {"idempotency-key", key}}));
    scheduler.advance(milliseconds(10));
    return exchange;
  }
  std::string runs() { return send(gate, makeRequest("GET", "/v1/runs"))->response.body; }
};

TEST(ApplicationStandIn, SameKeyAgainRunsAgainAndIsCounted) {
  STRCMP_CONTAINS("\"run\":1", post("k")->response.body.c_str());
  STRCMP_CONTAINS("\"run\":2", post("k")->response.body.c_str());
  STRCMP_CONTAINS("\"count\":2", runs().c_str());
}

TEST(ApplicationStandIn, LostAnswerMeansARunThatItsKeyStillTells) {
  switches.loseAnswers = 1;
  CHECK(post("k")->dropped);
  STRCMP_CONTAINS("\"count\":1", runs().c_str());
  UNSIGNED_LONGS_EQUAL(200, send(gate, makeRequest("GET", "/v1/requests/k"))->response.status);
}

TEST(ApplicationStandIn, RefusalSaysNotRunAndRunsNothing) {
  switches.refuse = 1;
  const auto exchange = post("k");
  UNSIGNED_LONGS_EQUAL(503, exchange->response.status);
  STRCMP_EQUAL("X-Not-Run", exchange->response.headers.at(1).name.c_str());
  STRCMP_EQUAL("{\"runs\":[]}", runs().c_str());
  UNSIGNED_LONGS_EQUAL(404, send(gate, makeRequest("GET", "/v1/requests/k"))->response.status);
}

TEST(ApplicationStandIn, WithoutKeyNothingRuns) {
  UNSIGNED_LONGS_EQUAL(400, send(gate, makeRequest("POST", "/v1/requests", "{}"))->response.status);
  STRCMP_EQUAL("{\"runs\":[]}", runs().c_str());
}

TEST(ApplicationStandIn, DownDropsWorkWithoutRunningButLetsTheCheckerRead) {
  switches.down = true;
  CHECK(post("k")->dropped);
  STRCMP_EQUAL("{\"runs\":[]}", runs().c_str());
}

TEST(ApplicationStandIn, HangNeverAnswersAndNeverRuns) {
  switches.hang = true;
  const auto exchange = post("k");
  scheduler.advance(seconds(3600));
  CHECK_FALSE(exchange->ended);
  STRCMP_EQUAL("{\"runs\":[]}", runs().c_str());
}

TEST(ApplicationStandIn, DelayComesBeforeTheRun) {
  switches.delayMilliseconds = 50;
  const auto exchange = post("k");
  STRCMP_EQUAL("{\"runs\":[]}", runs().c_str());
  scheduler.advance(milliseconds(60));
  CHECK(exchange->answered);
}

TEST(ApplicationStandIn, UnknownSwitchChangesNothing) {
  const auto exchange =
      send(gate, makeRequest("PUT", "/v1/faults", R"({"down":true,"explode":true})"));
  UNSIGNED_LONGS_EQUAL(400, exchange->response.status);
  CHECK_FALSE(switches.down);
}
