// Three whole edge nodes in three regions, and routes that may be served in some of them alone.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

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

const char* const kConfiguration = R"({"version":VERSION,"routes":[
 {"name":"limited","host":"l","pathPrefix":"/limited/","routeType":"streaming","timeoutMs":3000,
  "priority":1,"service":"m","maxAttempts":1,"persisted":true,"resumable":true,
  "allowedRegions":["REGION"]},
 {"name":"open","host":"l","pathPrefix":"/open/","routeType":"unsafe","timeoutMs":3000,
  "service":"m","maxAttempts":1,"authExempt":true},
 {"name":"free","host":"f","pathPrefix":"/free/","routeType":"unsafe","timeoutMs":3000,
  "service":"m","maxAttempts":1}],
 "services":[{"name":"m","engine":{"slots":4,"streamStride":10}}]})";

std::string configurationOf(int version, const std::string& region) {
  std::string text(kConfiguration);
  text.replace(text.find("VERSION"), 7, std::to_string(version));
  return text.replace(text.find("REGION"), 6, region);
}

std::string withTenant(std::string text, const std::string& region) {
  const std::string tenants =
      R"("tenants":[{"name":"t","apiKeys":["key"],"allowedRegions":[")" + region + R"("]}],)";
  return text.insert(text.find(R"("services")"), tenants);
}

}  // namespace

TEST_GROUP(RegionDay) {
  boost::asio::io_context context{1};
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<ReplicaStandIn> westReplica;
  std::unique_ptr<ReplicaStandIn> eastReplica;
  std::unique_ptr<Node> west;
  std::unique_ptr<Node> east;
  std::unique_ptr<Node> north;
  http::HttpClientPtr client;
  int nextRequest = 0;

  void setup() override {
    store = std::make_unique<StoreStandIn>(context);
    westReplica = std::make_unique<ReplicaStandIn>(context, "i-w");
    eastReplica = std::make_unique<ReplicaStandIn>(context, "i-e");
    client = http::makeHttpClient(context);
    store->put("keyed.op", "config", configurationOf(1, "west"));
    store->put("keyed.servers", "i-w", westReplica->registration("m", "ready", "wa"));
    store->put("keyed.servers", "i-e", eastReplica->registration("m", "ready", "ea"));
    west = nodeOf(kWest, "wa");
    east = nodeOf(kEast, "ea");
    north = nodeOf(kNorth, "na");
    for (const Node* const node : nodes()) {
      STRCMP_EQUAL("", node->startError.c_str());
    }
    CHECK_TRUE(until([this] { return named(*north, "f", "na").size() == 3; }));
    CHECK_TRUE(until([this] { return named(*east, "f", "ea").size() == 3; }));
  }
  void teardown() override {
    client.reset();
    west.reset();
    east.reset();
    north.reset();
    westReplica.reset();
    eastReplica.reset();
    store.reset();
    context.restart();
    context.poll();
  }
  std::unique_ptr<Node> nodeOf(const std::string& ip, const std::string& zone) {
    return std::make_unique<Node>(context, ip, store->address(), [&](edge::EdgeSettings& settings) {
      settings.zone = zone;
      settings.regionOfZone = {{"wa", "west"}, {"ea", "east"}, {"na", "north"}};
      settings.zones = {"ea", "na", "wa"};
      settings.firstInternalPort = kFirstInternalPort;
      settings.lastInternalPort = kFirstInternalPort + 9;
    });
  }
  bool until(const std::function<bool()>& isTrue) {
    return lab::testing::runUntil(context, isTrue);
  }
  Answer send(http::Request request) {
    const std::optional<Answer> answer =
        lab::testing::answerTo(context, *client, std::move(request));
    CHECK_TRUE(answer.has_value());
    return answer.value_or(Answer{});
  }
  /// \return the ips that the directory names to a client.
  std::vector<std::string> named(const Node& node, const std::string& host,
                                 const std::string& zone) {
    http::Request request;
    request.address = node.listen().directory;
    request.target = "/v1/resolve?name=" + host + "&region=&zone=" + zone;
    const std::string body = send(request).body;
    std::vector<std::string> ips;
    for (const std::string& ip : {kWest, kEast, kNorth}) {
      if (body.find(ip + ":") != std::string::npos) {
        ips.push_back(ip);
      }
    }
    return ips;
  }
  Answer ask(const Node& node, const std::string& host, const std::string& target,
             const std::string& previous = "", const std::string& key = "") {
    http::Request request;
    request.method = "POST";
    request.address = node.listen().clients;
    request.target = target;
    request.headers = {{"Host", host},
                       {"Gorsetrail-Request-Id", "q" + std::to_string(++nextRequest)},
                       {"Gorsetrail-Deadline-Ms", "2500"}};
    if (!previous.empty()) {
      request.headers.push_back({"Gorsetrail-Previous-Turn", previous});
    }
    if (!key.empty()) {
      request.headers.push_back({"Gorsetrail-Key", key});
    }
    request.body = "input" + std::to_string(nextRequest) + ";";
    return send(request);
  }
  bool allLogged(const std::string& text) {
    return until([&] {
      const std::vector<const Node*> all = nodes();
      return std::all_of(all.begin(), all.end(), [&](const Node* node) {
        return node->lines.find(text) != std::string::npos;
      });
    });
  }
  [[nodiscard]] std::vector<const Node*> nodes() const {
    return {west.get(), east.get(), north.get()};
  }

  const std::string kWest = nodeIp(1);
  const std::string kEast = nodeIp(2);
  const std::string kNorth = nodeIp(3);
};

TEST(RegionDay, aLimitedRouteIsServedByItsRegionThroughAnyNode) {
  for (const Node* const node : nodes()) {
    LONGS_EQUAL(200, ask(*node, "l", "/limited/stream/1").status);
  }
  LONGS_EQUAL(3, westReplica->runs.size());
  LONGS_EQUAL(0, eastReplica->runs.size());
}

TEST(RegionDay, otherRequestsGoToReplicasOfTheOwnRegionEvenOverNewConnections) {
  STRCMP_EQUAL("answer of i-w", ask(*west, "f", "/free/x").body.c_str());
  STRCMP_EQUAL("answer of i-e", ask(*east, "f", "/free/x").body.c_str());
}

TEST(RegionDay, aLimitedTurnGoesOnThroughAnotherRegionsNode) {
  LONGS_EQUAL(200, ask(*east, "l", "/limited/stream/1").status);
  LONGS_EQUAL(200, ask(*north, "l", "/limited/stream/1", "q1").status);
  STRCMP_EQUAL("input1;e1\ne2\ne3\ninput2;", westReplica->bodies["q2"].c_str());
  // The turn outlives its limit.
  store->put("keyed.op", "config", configurationOf(2, "east"));
  CHECK_TRUE(allLogged("configuration_in_force version=2"));
  LONGS_EQUAL(200, ask(*north, "l", "/limited/stream/1", "q2").status);
  STRCMP_EQUAL("input1;e1\ne2\ne3\ninput2;e1\ne2\ne3\ninput3;", eastReplica->bodies["q3"].c_str());
  LONGS_EQUAL(404, ask(*north, "l", "/limited/stream/1", "never").status);
}

TEST(RegionDay, withItsRegionsReplicasGoneALimitedRouteIsRefusedAndOthersGoOn) {
  store->put("keyed.servers", "i-w", "");
  CHECK_TRUE(allLogged("replica_gone replica=i-w"));
  const Answer refused = ask(*west, "l", "/limited/stream/1");
  LONGS_EQUAL(503, refused.status);
  STRCMP_CONTAINS("region_not_allowed", refused.body.c_str());
  CHECK(!refused.retryAfter.empty());
  LONGS_EQUAL(0, eastReplica->runs.size());
  STRCMP_EQUAL("answer of i-e", ask(*west, "f", "/free/x").body.c_str());
}

TEST(RegionDay, theDirectoryNamesNobodyOutsideTheClientsRegionAndTheAllowedOne) {
  CHECK(named(*east, "l", "na") == (std::vector<std::string>{kWest, kNorth}));
  CHECK(named(*east, "l", "wa") == std::vector<std::string>{kWest});
  north.reset();
  CHECK_TRUE(until([&] { return named(*east, "l", "na") == std::vector<std::string>{kWest}; }));
  CHECK_TRUE(until([&] { return named(*east, "f", "na").size() == 2; }));
}

TEST(RegionDay, anUnknownRegionMakesTheConfigurationInvalidAndTheOneBeforeStays) {
  store->put("keyed.op", "config", configurationOf(2, "wset"));
  CHECK_TRUE(allLogged("configuration_refused version=2"));
  LONGS_EQUAL(200, ask(*east, "l", "/limited/stream/1").status);
  LONGS_EQUAL(1, westReplica->runs.size());
}

TEST(RegionDay, bothLimitsBindAndNothingInCommonIsRefusedForGood) {
  store->put("keyed.op", "config", withTenant(configurationOf(2, "west"), "east"));
  CHECK_TRUE(allLogged("configuration_in_force version=2"));
  const Answer refused = ask(*west, "l", "/limited/stream/1", "", "key");
  LONGS_EQUAL(403, refused.status);
  STRCMP_CONTAINS("region_not_allowed", refused.body.c_str());
  LONGS_EQUAL(0, westReplica->runs.size());
  STRCMP_EQUAL("answer of i-e", ask(*west, "f", "/free/x", "", "key").body.c_str());
}

TEST(RegionDay, aRefusedConfigurationIsReadAgainWhenTheSettingsHaveItsRegion) {
  store->put("keyed.op", "config", configurationOf(2, "south"));
  CHECK_TRUE(allLogged("configuration_refused version=2"));
  for (Node* const node : {west.get(), east.get(), north.get()}) {
    node->reload([](edge::EdgeSettings& settings) { settings.regionOfZone["sa"] = "south"; });
  }
  CHECK_TRUE(allLogged("configuration_in_force version=2"));
  LONGS_EQUAL(503, ask(*west, "l", "/limited/stream/1").status);
}
