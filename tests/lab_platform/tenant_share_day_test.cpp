// Two whole edge nodes over loopback. Guards against a node that does not learn of a tenant's
// requests at other nodes, and against shares in deployments without overload control.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "lab/platform/replica_stand_in.h"
#include "lab/platform/store_stand_in.h"
#include "whole_node.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;
using lab::testing::Answer;
using lab::testing::kFirstInternalPort;
using lab::testing::Node;
using lab::testing::nodeIp;

namespace {

// The replica registers four slots: the capacity is 4.8 requests.
const char* const kConfiguration = R"({"version":1,"routes":[
 {"name":"again","host":"h","pathPrefix":"/again/","routeType":"streaming","timeoutMs":3000,
  "priority":1,"service":"m","maxAttempts":1,"resumable":true},
 {"name":"unsafe","host":"h","pathPrefix":"/unsafe/","routeType":"unsafe","timeoutMs":3000,
  "service":"m","maxAttempts":1}],
 "tenants":[{"name":"alice","apiKeys":["alice-key"]},
  {"name":"bob","apiKeys":["bob-key"]}],
 "services":[{"name":"m","engine":{"slots":4,"streamStride":10}}]})";

bool has(const std::string& text, const char* part) { return text.find(part) != std::string::npos; }

}  // namespace

TEST_GROUP(TenantShareDay) {
  boost::asio::io_context context{1};
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<ReplicaStandIn> replica;
  std::unique_ptr<Node> first;
  std::unique_ptr<Node> second;
  http::HttpClientPtr client;
  int nextRequest = 0;

  void setup() override {
    store = std::make_unique<StoreStandIn>(context);
    replica = std::make_unique<ReplicaStandIn>(context, "i-1");
    client = http::makeHttpClient(context);
    store->put("keyed.op", "config", kConfiguration);
    store->put("keyed.servers", "i-1", replica->registration("m", "ready"));
  }
  void teardown() override {
    client.reset();
    first.reset();
    second.reset();
    replica.reset();
    store.reset();
    // What was posted for the next turn of the loop may own parts of the above.
    context.restart();
    context.poll();
  }
  void startNodes(bool hasOverloadControl) {
    const auto adjust = [&](edge::EdgeSettings& settings) {
      settings.zones = {"z"};
      settings.regionOfZone = {{"z", "r"}};
      settings.firstInternalPort = kFirstInternalPort;
      settings.lastInternalPort = kFirstInternalPort + 9;
      settings.overloadControl = hasOverloadControl;
    };
    first = std::make_unique<Node>(context, nodeIp(1), store->address(), adjust);
    second = std::make_unique<Node>(context, nodeIp(2), store->address(), adjust);
    CHECK_TRUE(until([this] { return names(*first, 2) && names(*second, 2); }));
  }
  bool until(const std::function<bool()>& isTrue) {
    return lab::testing::runUntil(context, isTrue);
  }
  Answer get(const std::string& address, const std::string& target) {
    http::Request request;
    request.address = address;
    request.target = target;
    return lab::testing::answerTo(context, *client, std::move(request)).value_or(Answer{});
  }
  bool names(const Node& node, std::ptrdiff_t addresses) {
    const Answer answer = get(node.listen().directory, "/v1/resolve?name=h&region=r&zone=z");
    return answer.status == 200 &&
           std::count(answer.body.begin(), answer.body.end(), ':') - 2 == addresses;
  }
  http::Request requestOf(const Node& node, const char* key, const char* target) {
    http::Request request;
    request.method = "POST";
    request.address = node.listen().clients;
    request.target = target;
    const std::string id = std::to_string(++nextRequest);
    request.headers = {{"Host", "h"},
                       {"Gorsetrail-Request-Id", "q" + id},
                       {"Gorsetrail-Program-Id", "p" + id},
                       {"Gorsetrail-Deadline-Ms", "2500"},
                       {"Gorsetrail-Token-Budget", "10000"},
                       {"Gorsetrail-Token-Usage", "100,50"},
                       {"Gorsetrail-Key", key}};
    return request;
  }
  /// Occupies the replica from the first node with 30 requests of `alice` and one of `bob`, until
  /// their deadlines.
  void occupyReplica() {
    replica->trouble = ReplicaTrouble::Mute;
    for (int number = 0; number <= 30; ++number) {
      const char* const key = number == 0 ? "bob-key" : "alice-key";
      client->send(requestOf(*first, key, "/unsafe/x"), {});
    }
    CHECK_TRUE(until([this] { return replica->runs.size() == 31; }));
  }
};

TEST(TenantShareDay, aNodeLimitsATenantThatHoldsTheCapacityThroughAnotherNode) {
  startNodes(true);
  occupyReplica();
  // What `alice` has at the first digest depends on its time; its share does not.
  CHECK_TRUE(until(
      [this] { return has(second->lines, "event=tenant_limited tenant=alice service=m load="); }));
  CHECK(has(second->lines, " share=3.3\n"));
  CHECK(has(second->lines, "event=capacity_scarce service=m load="));
  CHECK(has(second->lines, " capacity=4.8\n"));
  const std::string page = get(second->listen().metrics, "/metrics").body;
  STRCMP_CONTAINS("gorsetrail_service_capacity_scarce{service=\"m\"} 1", page.c_str());
  STRCMP_CONTAINS("gorsetrail_tenants_above_share 1", page.c_str());
  CHECK_TRUE(until([this] { return has(second->lines, "event=tenant_unlimited tenant=alice"); }));
  CHECK(has(second->lines, "event=capacity_sufficient service=m"));
}

TEST(TenantShareDay, withoutOverloadControlNothingIsShared) {
  startNodes(false);
  occupyReplica();
  lab::testing::runUntil(
      context, [] { return false; }, std::chrono::milliseconds(800));
  CHECK_FALSE(has(first->lines, "capacity_scarce"));
  CHECK_FALSE(has(second->lines, "capacity_scarce"));
  CHECK_FALSE(has(get(second->listen().metrics, "/metrics").body, "service_capacity_scarce{"));
}
