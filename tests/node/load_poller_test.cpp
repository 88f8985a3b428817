#include "node/load_poller.h"

#include <string>
#include <vector>

#include "dispatch/fake_http_client.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

namespace {

bundle::Backend engineNamed(const std::string& name) {
  bundle::Backend backend;
  backend.name = name;
  backend.kind = bundle::BackendKind::Engine;
  backend.address = "127.0.0.1:17301";
  return backend;
}

http::Response responseOf(unsigned status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

TEST_GROUP(LoadPoller) {
  testing::FakeHttpClient client;
  std::vector<BackendReport> reports;
  std::unique_ptr<LoadPoller> poller = std::make_unique<LoadPoller>(
      client, [this](const BackendReport& report) { reports.push_back(report); });
};

TEST(LoadPoller, AsksEnginesAndNotApplications) {
  bundle::Backend application = engineNamed("filing-1");
  application.kind = bundle::BackendKind::Application;
  poller->poll({engineNamed("lm-1"), application});
  LONGS_EQUAL(1, client.exchanges.size());
  STRCMP_EQUAL("GET", client.last().request.method.c_str());
  STRCMP_EQUAL("/v1/load", client.last().request.target.c_str());
  STRCMP_EQUAL("127.0.0.1:17301", client.last().request.address.c_str());
}

TEST(LoadPoller, ReportsWhatAnEngineSays) {
  poller->poll({engineNamed("lm-1")});
  client.last().handler.onDone(responseOf(
      200, R"({"running":3,"queued":2,"cache_used_per_mille":870,"leaving":true,"more":[1]})"));
  LONGS_EQUAL(1, reports.size());
  STRCMP_EQUAL("lm-1", reports[0].backendName.c_str());
  CHECK_TRUE(reports[0].reachable);
  CHECK_TRUE(reports[0].leaving);
  LONGS_EQUAL(3, reports[0].runningStreams);
  LONGS_EQUAL(2, reports[0].queuedRequests);
  LONGS_EQUAL(870, reports[0].cacheUsedPerMille);
}

// A slow engine must not gather requests: the next one leaves once the last has ended.
TEST(LoadPoller, AsksABackEndOnceAtATime) {
  const std::vector<bundle::Backend> engines = {engineNamed("lm-1"), engineNamed("lm-2")};
  poller->poll(engines);
  poller->poll(engines);
  LONGS_EQUAL(2, client.exchanges.size());
  client.exchanges[0]->handler.onDone(responseOf(200, "{}"));
  poller->poll(engines);
  LONGS_EQUAL(3, client.exchanges.size());
  client.exchanges[1]->fail(http::FailureStage::Broken);
  poller->poll(engines);
  LONGS_EQUAL(4, client.exchanges.size());
}

TEST(LoadPoller, EveryFailureIsReportedAsUnreachable) {
  poller->poll({engineNamed("lm-1")});
  client.last().fail(http::FailureStage::NotSent);
  poller->poll({engineNamed("lm-1")});
  client.last().fail(http::FailureStage::Broken);
  poller->poll({engineNamed("lm-1")});
  client.last().handler.onDone(responseOf(503, R"({"running":1})"));
  LONGS_EQUAL(3, reports.size());
  for (const BackendReport& report : reports) {
    STRCMP_EQUAL("lm-1", report.backendName.c_str());
    CHECK_FALSE(report.reachable);
  }
}

TEST(LoadPoller, CancelsWhatIsUnderWayWhenItGoes) {
  poller->poll({engineNamed("lm-1")});
  poller.reset();
  CHECK_TRUE(client.last().cancelled);
}

TEST(LoadPoller, AReportThatCannotBeReadIsNoReport) {
  const std::string deep(64, '[');
  for (const std::string& body : {std::string(), std::string("nonsense"), std::string("[]"),
                                  std::string("3"), deep, std::string(R"({"running":)")}) {
    CHECK_FALSE(parseLoadReport("lm-1", body).reachable);
  }
}

TEST(LoadPoller, FieldsOfAWrongTypeCountAsAbsentAndTooLargeOnesAsTheHighest) {
  const BackendReport report =
      parseLoadReport("lm-1", R"({"running":-1,"queued":"9","cache_used_per_mille":1.5,
                                  "leaving":"true"})");
  CHECK_TRUE(report.reachable);
  CHECK_FALSE(report.leaving);
  LONGS_EQUAL(0, report.runningStreams);
  LONGS_EQUAL(0, report.queuedRequests);
  LONGS_EQUAL(0, report.cacheUsedPerMille);
  const BackendReport large = parseLoadReport("lm-1", R"({"running":99999999999})");
  UNSIGNED_LONGS_EQUAL(0xffffffffU, large.runningStreams);
}
