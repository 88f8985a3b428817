#include "lab/standin/log_stand_in.h"
#include "lab/standin/machine_list_stand_in.h"
#include "lab/standin/tool_stand_in.h"
#include "lab/standin/weight_store_stand_in.h"
#include "lab_standin/fake_parts.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::standin;

TEST_GROUP(PlatformStandIns) { VirtualScheduler scheduler; };

TEST(PlatformStandIns, LogGivesOffsetsAndReadsFromThem) {
  LogStandIn log;
  send(log, makeRequest("POST", "/v1/streams/bundle/records", "a"));
  const auto second = send(log, makeRequest("POST", "/v1/streams/bundle/records", "b"));
  STRCMP_EQUAL("{\"offset\":1}", second->response.body.c_str());
  const auto read = send(log, makeRequest("GET", "/v1/streams/bundle/records?from=1&max=5"));
  STRCMP_EQUAL("{\"next\":2,\"records\":[{\"data\":\"Yg==\",\"offset\":1}]}",
               read->response.body.c_str());
}

TEST(PlatformStandIns, LogRefusesARecordOverOneMebibyte) {
  LogStandIn log;
  const std::string large(kMaximumRecordBytes + 1, 'x');
  const auto exchange = send(log, makeRequest("POST", "/v1/streams/s/records", large));
  UNSIGNED_LONGS_EQUAL(413, exchange->response.status);
}

TEST(PlatformStandIns, LogAppendWhoseAnswerIsLostStillTookEffect) {
  LogStandIn log;
  FaultSwitches switches;
  switches.loseAnswers = 1;
  FaultGate gate(log, switches, scheduler, DownManner::Refuses);
  CHECK(send(gate, makeRequest("POST", "/v1/streams/s/records", "a"))->dropped);
  const auto read = send(gate, makeRequest("GET", "/v1/streams/s/records"));
  STRCMP_CONTAINS("\"next\":1", read->response.body.c_str());
}

TEST(PlatformStandIns, LogThatIsDownAnswers503) {
  LogStandIn log;
  FaultSwitches switches;
  switches.down = true;
  FaultGate gate(log, switches, scheduler, DownManner::Refuses);
  const auto exchange = send(gate, makeRequest("POST", "/v1/streams/s/records", "a"));
  UNSIGNED_LONGS_EQUAL(503, exchange->response.status);
}

TEST(PlatformStandIns, MachineListLags) {
  MachineListStandIn machines({{1, 7, "hall-1", MachineState::Live}}, seconds(2), scheduler);
  const auto change = makeRequest(
      "PUT", "/v1/machines", R"({"node":1,"incarnation":7,"zone":"hall-1","state":"terminated"})");
  UNSIGNED_LONGS_EQUAL(200, send(machines, change)->response.status);
  scheduler.advance(milliseconds(1999));
  STRCMP_CONTAINS("live",
                  send(machines, makeRequest("GET", "/v1/machines"))->response.body.c_str());
  scheduler.advance(milliseconds(1));
  STRCMP_CONTAINS("terminated",
                  send(machines, makeRequest("GET", "/v1/machines"))->response.body.c_str());
}

TEST(PlatformStandIns, WeightStoreLimitsItsRate) {
  WeightStoreStandIn weights({{"lumo-7b", 14}}, 1.0, scheduler);
  const auto get = makeRequest("GET", "/v1/weights/lumo-7b");
  UNSIGNED_LONGS_EQUAL(200, send(weights, get)->response.status);
  const auto refused = send(weights, get);
  UNSIGNED_LONGS_EQUAL(429, refused->response.status);
  STRCMP_EQUAL("Retry-After", refused->response.headers.at(0).name.c_str());
  scheduler.advance(seconds(1));
  UNSIGNED_LONGS_EQUAL(200, send(weights, get)->response.status);
}

TEST(PlatformStandIns, ToolAnswersInItsTimeOrHangs) {
  ToolStandIn tool({milliseconds(5), milliseconds(9), 0}, 1, scheduler);
  const auto call = makeRequest("POST", "/v1/tools/check", "{}");
  const auto answered = send(tool, call);
  CHECK_FALSE(answered->ended);
  scheduler.advance(milliseconds(9));
  STRCMP_CONTAINS("\"result\":\"check ", answered->response.body.c_str());
  ToolStandIn hanging({milliseconds(5), milliseconds(9), 1000}, 1, scheduler);
  const auto unanswered = send(hanging, call);
  scheduler.advance(seconds(3600));
  CHECK_FALSE(unanswered->ended);
}
