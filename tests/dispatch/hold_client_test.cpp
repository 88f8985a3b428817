#include "node/hold_client.h"

#include <nlohmann/json.hpp>

#include "fake_http_client.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;
using engine::HoldOutcome;

TEST_GROUP(HoldClient) {
  testing::FakeHttpClient http;
  std::vector<engine::HoldResult> results;
  std::vector<engine::HoldInventory> inventories;
  HoldClient client{
      http, [this](const engine::HoldResult& result) { results.push_back(result); },
      [this](const engine::HoldInventory& inventory) { inventories.push_back(inventory); }};

  static engine::PlaceHold placing(std::uint64_t order, const std::string& engine = "engine-a") {
    engine::PlaceHold command;
    command.order = engine::HoldOrder(order);
    command.backendName = engine;
    command.address = "127.0.0.1:1";
    command.program.bytes.fill(0xab);
    command.epoch = Epoch(65537);
    command.prefix = scheduling::PrefixHash(0x1234);
    command.deadline = seconds(20);
    return command;
  }
  static engine::ReleaseHold releasing(std::uint64_t order) {
    const engine::PlaceHold place = placing(order);
    return {place.order, place.backendName, place.address, place.program, place.epoch};
  }
  void answer(std::size_t exchange, unsigned status, const std::string& body = "") {
    http.exchanges.at(exchange)->handler.onDone({status, {}, body});
  }
  HoldOutcome outcomeOf(std::size_t index) { return results.at(index).outcome; }
};

TEST(HoldClient, WritesWhatEnginesTake) {
  client.place(placing(1));
  const http::Request& request = http.last().request;
  STRCMP_EQUAL("PUT", request.method.c_str());
  STRCMP_EQUAL("/v1/holds/abababababababababababababababab.65537", request.target.c_str());
  const auto body = nlohmann::json::parse(request.body);
  STRCMP_EQUAL("0000000000001234", body["prefix"].get<std::string>().c_str());
  STRCMP_EQUAL("abababababababababababababababab", body["program"].get<std::string>().c_str());
  CHECK(body["epoch"] == 65537);
  CHECK(body["deadline_ms"] == 20'000);
}

TEST(HoldClient, ReadsAnswersOfPlacings) {
  const std::vector<std::pair<unsigned, HoldOutcome>> answers = {
      {200, HoldOutcome::Done},       {404, HoldOutcome::NotCached},
      {409, HoldOutcome::StaleEpoch}, {507, HoldOutcome::LimitExceeded},
      {500, HoldOutcome::Failed},     {400, HoldOutcome::Failed}};
  for (std::size_t index = 0; index < answers.size(); ++index) {
    client.place(placing(index + 1));
    answer(index, answers[index].first);
    CHECK(outcomeOf(index) == answers[index].second);
    CHECK(results[index].order == engine::HoldOrder(index + 1));
  }
  LONGS_EQUAL(2, client.counters().failed);
}

TEST(HoldClient, AReleaseOfWhatIsGoneIsDone) {
  client.release(releasing(1));
  STRCMP_EQUAL("DELETE", http.last().request.method.c_str());
  answer(0, 404);
  CHECK(outcomeOf(0) == HoldOutcome::Done);
  client.release(releasing(2));
  http.last().fail(http::FailureStage::Broken);
  CHECK(outcomeOf(1) == HoldOutcome::Failed);
}

TEST(HoldClient, KeepsTheOrderAtAnEngine) {
  client.release(releasing(1));
  client.place(placing(2));
  client.place(placing(3, "engine-b"));
  LONGS_EQUAL(2, http.exchanges.size());
  STRCMP_EQUAL("DELETE", http.exchanges[0]->request.method.c_str());
  answer(0, 200);
  LONGS_EQUAL(3, http.exchanges.size());
  STRCMP_EQUAL("PUT", http.exchanges[2]->request.method.c_str());
}

TEST(HoldClient, DropsWhatDoesNotFitAndSaysSo) {
  for (std::uint64_t order = 1; order <= HoldClient::kMaximumQueuedPerEngine + 3; ++order) {
    client.place(placing(order));
  }
  LONGS_EQUAL(1, http.exchanges.size());
  LONGS_EQUAL(2, client.counters().dropped);
  LONGS_EQUAL(2, results.size());
  CHECK(outcomeOf(0) == HoldOutcome::Failed);
}

TEST(HoldClient, ReadsInventories) {
  client.read({"engine-a", "127.0.0.1:1"});
  STRCMP_EQUAL("/v1/holds", http.last().request.target.c_str());
  answer(0, 200, R"({"holds":[{"name":"n","program":"p","epoch":3,"deadline_ms":1}]})");
  LONGS_EQUAL(1, inventories.size());
  STRCMP_EQUAL("n", inventories[0].holds.at(0).name.c_str());
  CHECK(inventories[0].holds[0].epoch == Epoch(3));
}

TEST(HoldClient, TakesNoPartOfAnInventory) {
  const std::vector<std::string> bodies = {"",
                                           "[]",
                                           "{}",
                                           R"({"holds":{}})",
                                           R"({"holds":[{"name":"n","program":"p"}]})",
                                           R"({"holds":[{"name":1,"program":"p","epoch":3}]})",
                                           std::string(1000, '[')};
  for (std::size_t index = 0; index < bodies.size(); ++index) {
    client.read({"engine-a", "127.0.0.1:1"});
    answer(index, 200, bodies[index]);
  }
  LONGS_EQUAL(0, inventories.size());
  LONGS_EQUAL(bodies.size(), client.counters().readingsFailed);
}
