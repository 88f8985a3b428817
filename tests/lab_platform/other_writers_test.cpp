// A whole edge node whose store holds records of other writers beside the real ones.
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "lab/platform/replica_stand_in.h"
#include "lab/platform/store_stand_in.h"
#include "whole_node.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;
using lab::testing::Answer;
using lab::testing::Node;
using lab::testing::nodeIp;

namespace {

std::string configurationOf(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/x/","routeType":"unsafe",)"
         R"("timeoutMs":3000,"service":"m"}],"services":[{"name":"m"}]})";
}

}  // namespace

TEST_GROUP(OtherWriters) {
  std::unique_ptr<boost::asio::io_context> context;
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<ReplicaStandIn> first;
  std::unique_ptr<ReplicaStandIn> second;
  std::unique_ptr<Node> node;
  http::HttpClientPtr client;
  int nextRequest = 0;

  void setup() override {
    context = std::make_unique<boost::asio::io_context>(1);
    store = std::make_unique<StoreStandIn>(*context);
    first = std::make_unique<ReplicaStandIn>(*context, "i-1");
    second = std::make_unique<ReplicaStandIn>(*context, "i-2");
    client = http::makeHttpClient(*context);
    store->put("keyed.op", "config", configurationOf(1));
    store->put("keyed.servers", "i-1", first->registration("m", "ready"));
    store->put("keyed.servers", "i-2", second->registration("m", "ready"));
  }
  void teardown() override {
    client.reset();
    node.reset();
    first.reset();
    second.reset();
    store.reset();
    // What was posted for the next turn of the loop may own parts of the above.
    context->restart();
    context->poll();
    context.reset();
  }
  void startNode() {
    node = std::make_unique<Node>(*context, nodeIp(1), store->address());
    STRCMP_EQUAL("", node->startError.c_str());
    CHECK_TRUE(until([this] { return ask().status == 200; }));
  }
  bool until(const std::function<bool()>& isTrue) {
    return lab::testing::runUntil(*context, isTrue);
  }
  bool untilLogged(const std::string& text) {
    return until([this, &text] { return node->lines.find(text) != std::string::npos; });
  }
  Answer ask() {
    http::Request request;
    request.method = "POST";
    request.address = node->listen().clients;
    request.target = "/x/y";
    request.headers = {{"Host", "h"},
                       {"Gorsetrail-Request-Id", "q" + std::to_string(++nextRequest)},
                       {"Gorsetrail-Deadline-Ms", "2500"}};
    const std::optional<Answer> answer = lab::testing::answerTo(*context, *client, request);
    return answer.value_or(Answer{});
  }
  /// \return how many of so many requests this replica ran; all must be answered.
  std::size_t shareOf(const ReplicaStandIn& replica, int requests) {
    const std::size_t before = replica.runs.size();
    for (int request = 0; request < requests; ++request) {
      LONGS_EQUAL(200, ask().status);
    }
    return replica.runs.size() - before;
  }
  std::string metrics() {
    http::Request request;
    request.address = node->listen().metrics;
    request.target = "/metrics";
    return lab::testing::answerTo(*context, *client, request).value_or(Answer{}).body;
  }
  static std::size_t countIn(const std::string& text, const std::string& piece) {
    std::size_t count = 0;
    for (std::size_t at = text.find(piece); at != std::string::npos;
         at = text.find(piece, at + 1)) {
      ++count;
    }
    return count;
  }
};

TEST(OtherWriters, aDamagedEntryNamesNoReplicaWhileTheOthersHoldAndHeals) {
  // Alone at first: requests stay with the replica that has an open connection, which is chance.
  store->put("keyed.servers", "i-2", "");
  startNode();
  LONGS_EQUAL(20, shareOf(*first, 20));
  store->put("keyed.servers", "i-2", second->registration("m", "ready"));
  CHECK_TRUE(untilLogged("replica_changed replica=i-2"));
  std::string damaged = first->registration("m", "ready");
  damaged.replace(damaged.find("\"ready\""), 7, "\"resting\"");
  store->put("keyed.servers", "i-1", damaged);
  CHECK_TRUE(untilLogged("replica_gone replica=i-1 by=unreadable"));
  LONGS_EQUAL(20, shareOf(*second, 20));
  STRCMP_CONTAINS("replica i-1.state", node->lines.c_str());
  // The same damage again, as with every heartbeat, is counted and not logged.
  store->put("keyed.servers", "i-1", damaged + " ");
  store->put("keyed.servers", "i-1", damaged + "  ");
  CHECK_TRUE(until([this] {
    return metrics().find("gorsetrail_records_unreadable_total{kind=\"replica\"} 3") !=
           std::string::npos;
  }));
  LONGS_EQUAL(1, countIn(node->lines, "event=replica_unreadable"));
  store->put("keyed.servers", "i-1", first->registration("m", "ready"));
  CHECK_TRUE(untilLogged("replica_changed replica=i-1"));
  const std::size_t before = first->runs.size();
  CHECK_TRUE(until([&] { return ask().status == 200 && first->runs.size() > before; }));
}

TEST(OtherWriters, damagedRecordsOfAllKindsChangeNothingElse) {
  const std::string whole = first->registration("m", "ready");
  int number = 0;
  for (const std::string& value :
       {std::string("\x00\xff\xfe", 3), std::string("{"), std::string("[1]"),
        std::string(50000, '['), std::string(100000, 'x'), whole.substr(0, whole.size() / 2)}) {
    store->put("keyed.servers", "odd-" + std::to_string(++number), value);
    store->put("keyed.nodes", "10.9.9." + std::to_string(number), value);
  }
  store->put("keyed.servers", "odd\r\nid", whole);
  store->put("keyed.op", "evacuate/a\nb", "{}");
  store->put("keyed.op", "evacuate/elsewhere", "{}");
  startNode();
  shareOf(*first, 20);
  LONGS_EQUAL(21, first->runs.size() + second->runs.size());
  store->put("keyed.op", "config", R"({"version":2,"routes":[{"name":7}],"services":[]})");
  CHECK_TRUE(untilLogged("configuration_unreadable"));
  STRCMP_CONTAINS("configuration.routes[0].name", node->lines.c_str());
  LONGS_EQUAL(200, ask().status);
  const std::string page = metrics();
  STRCMP_CONTAINS("gorsetrail_configuration_version 1", page.c_str());
  STRCMP_CONTAINS("gorsetrail_replicas 2", page.c_str());
  STRCMP_CONTAINS("gorsetrail_records_unreadable_total{kind=\"replica\"} 7", page.c_str());
  STRCMP_CONTAINS("gorsetrail_records_unreadable_total{kind=\"member\"} 6", page.c_str());
  STRCMP_CONTAINS("gorsetrail_records_unreadable_total{kind=\"configuration\"} 1", page.c_str());
  STRCMP_CONTAINS("gorsetrail_records_unreadable_total{kind=\"operator\"} 1", page.c_str());
  store->put("keyed.op", "config", configurationOf(3));
  CHECK_TRUE(untilLogged("configuration_in_force version=3"));
  store->put("keyed.servers", "i-1", "");
  CHECK_TRUE(untilLogged("replica_gone replica=i-1 by=record"));
  LONGS_EQUAL(5, shareOf(*second, 5));
}
