#include <optional>

#include "dispatch/fake_http_client.h"
#include "services/machine_list_client.h"
#include "services/manual_timers.h"
#include "services/tool_client.h"
#include "services/weight_store_client.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(PlatformClients) {
  node::testing::FakeHttpClient client;
  services::testing::ManualTimers timers;
  services::MachineListClient machines{client, "127.0.0.1:1"};
  services::WeightStoreClient weights{client, "127.0.0.1:2"};
  services::ToolClient tools{client, "127.0.0.1:3"};

  void answer(unsigned status, std::string body, std::vector<http::Header> headers = {}) {
    client.last().handler.onDone({status, std::move(headers), std::move(body)});
  }
  Result<std::vector<services::Machine>> listWith(const std::string& body) {
    std::optional<Result<std::vector<services::Machine>>> result;
    machines.fetch([&result](Result<std::vector<services::Machine>> list) { result = list; });
    answer(200, body);
    return *result;
  }
  Result<services::Weights> weightsWith(unsigned status, const std::string& body,
                                        const std::vector<http::Header>& headers = {}) {
    std::optional<Result<services::Weights>> result;
    weights.fetch("lumo-7b", [&result](Result<services::Weights> each) { result = each; });
    answer(status, body, headers);
    return *result;
  }
};

TEST(PlatformClients, ReadsTheMachineList) {
  const auto list = listWith(
      R"({"machines":[{"node":1,"incarnation":1700000000000000,"zone":"z","state":"live"},
         {"node":2,"incarnation":2,"zone":"z","state":"leaving"},
         {"node":3,"incarnation":3,"zone":"z","state":"terminated"}]})");
  CHECK(succeeded(list));
  LONGS_EQUAL(3, valueOf(list).size());
  CHECK(valueOf(list)[0].incarnation == Incarnation(1'700'000'000'000'000));
  CHECK(valueOf(list)[1].state == services::MachineState::Leaving);
  CHECK(valueOf(list)[2].state == services::MachineState::Terminated);
}

TEST(PlatformClients, UnreadableMachineSpoilsTheList) {
  for (const char* body :
       {"", "{}", R"({"machines":{}})", R"({"machines":[1]})",
        R"({"machines":[{"node":1,"incarnation":1,"zone":"z","state":"gone"}]})",
        R"({"machines":[{"node":4294967296,"incarnation":1,"zone":"z","state":"live"}]})",
        R"({"machines":[{"node":1,"zone":"z","state":"live"}]})"}) {
    const auto list = listWith(body);
    CHECK_FALSE(succeeded(list));
    CHECK(errorOf(list).kind == ErrorKind::PlatformUnavailable);
  }
}

TEST(PlatformClients, PollerIsSilentWhileThePlatformIsDownAndAfterItsEnd) {
  int lists = 0;
  {
    services::MachineListPoller poller(
        machines, timers, services::Pace{}, 1,
        [&lists](const std::vector<services::Machine>&) { ++lists; });
    poller.start();
    answer(503, "");
    LONGS_EQUAL(1, poller.failures());
    timers.fireFirst();
    answer(200, R"({"machines":[]})");
    LONGS_EQUAL(1, lists);
    timers.fireFirst();
  }
  answer(200, R"({"machines":[]})");
  LONGS_EQUAL(1, lists);
  LONGS_EQUAL(0, timers.pending.size());
}

TEST(PlatformClients, WeightStoreTellsItsRateAndWhatItLacks) {
  LONGS_EQUAL(14, valueOf(weightsWith(200, R"({"bytes":14})")).bytes);
  const auto limited = weightsWith(429, "", {{"Retry-After", "7"}});
  CHECK(errorOf(limited).kind == ErrorKind::AdmissionRefused);
  LONGS_EQUAL(7, errorOf(limited).retryAfterSeconds);
  CHECK(errorOf(weightsWith(404, "")).kind == ErrorKind::UnknownModel);
  CHECK(errorOf(weightsWith(200, R"({"bytes":"14"})")).kind == ErrorKind::PlatformUnavailable);
}

TEST(PlatformClients, ToolGivesItsResultOrSaysWhetherItMayHaveRun) {
  std::optional<Result<std::string>> result;
  const auto invoke = [this, &result] {
    tools.invoke("lookup", "{}", [&result](Result<std::string> each) { result = each; });
  };
  invoke();
  answer(200, R"({"result":{"pages":3}})");
  STRCMP_EQUAL(R"({"pages":3})", valueOf(*result).c_str());
  invoke();
  client.last().fail(http::FailureStage::Broken);
  CHECK(errorOf(*result).outcome == RunOutcome::OutcomeUnknown);
  invoke();
  answer(200, "{}");
  CHECK(errorOf(*result).kind == ErrorKind::PlatformUnavailable);
}
