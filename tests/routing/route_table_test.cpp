// Matching by host and longest prefix, monotonic versions, and exact weights.
#include "routing/route_table.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

Route routeOf(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.pathPrefix = prefix;
  route.services = {{"service-" + name, 1.0}};
  return route;
}

ConfigurationPtr configurationOf(std::uint64_t version, std::vector<Route> routes) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigurationVersion(version);
  configuration->routes = std::move(routes);
  return configuration;
}

std::string matched(const RouteTable& table, const std::string& host, const std::string& path) {
  const Route* const route = table.match(host, path);
  return route == nullptr ? "none" : route->name;
}

}  // namespace

TEST_GROUP(RouteTable) { RouteTable table; };

TEST(RouteTable, matchesNothingBeforeTheFirstConfiguration) {
  CHECK(table.inForce() == nullptr);
  STRCMP_EQUAL("none", matched(table, "a.example", "/x/y").c_str());
}

TEST(RouteTable, choosesTheLongestPrefixOfTheHost) {
  table.apply(configurationOf(
      1, {routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"),
          routeOf("other", "b.example", "/x/")}));
  STRCMP_EQUAL("long", matched(table, "a.example", "/x/y/1").c_str());
  STRCMP_EQUAL("short", matched(table, "a.example", "/x/yy/1").c_str());
  STRCMP_EQUAL("other", matched(table, "b.example", "/x/y/1").c_str());
  STRCMP_EQUAL("none", matched(table, "a.example", "/z/").c_str());
  STRCMP_EQUAL("none", matched(table, "c.example", "/x/").c_str());
}

TEST(RouteTable, ignoresCaseAndPortOfTheHost) {
  table.apply(configurationOf(1, {routeOf("r", "a.example", "/x/")}));
  STRCMP_EQUAL("r", matched(table, "A.Example:8080", "/x/1").c_str());
}

TEST(RouteTable, rejectsOlderVersions) {
  CHECK_TRUE(table.apply(configurationOf(7, {routeOf("new", "a.example", "/x/")})));
  CHECK_FALSE(table.apply(configurationOf(3, {routeOf("old", "a.example", "/x/")})));
  CHECK_FALSE(table.apply(configurationOf(7, {routeOf("same", "a.example", "/x/")})));
  STRCMP_EQUAL("new", matched(table, "a.example", "/x/1").c_str());
}

TEST(RouteTable, manyNodesWithFewRequestsEachMatchTheWeights) {
  Route split = routeOf("split", "a.example", "/x/");
  split.services = {{"big", 90}, {"small", 10}};
  std::map<std::string, int> counts;
  for (std::uint64_t node = 0; node < 300; ++node) {
    RouteTable own(node * 7919);
    own.apply(configurationOf(1, {split}));
    for (int request = 0; request < 3; ++request) {
      ++counts[own.nextService(*own.match("a.example", "/x/1"))];
    }
  }
  CHECK(counts["small"] > 60 && counts["small"] < 120);  // 90 of 900 expected.
}

TEST(RouteTable, matchesTheWeightsExactly) {
  Route split = routeOf("split", "a.example", "/x/");
  split.services = {{"big", 90}, {"small", 10}};
  table.apply(configurationOf(1, {split}));
  std::map<std::string, int> counts;
  for (int request = 0; request < 1000; ++request) {
    ++counts[table.nextService(*table.match("a.example", "/x/1"))];
  }
  LONGS_EQUAL(900, counts["big"]);
  LONGS_EQUAL(100, counts["small"]);
}
