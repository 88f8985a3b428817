// Region limits of routes and tenants: either, both, an empty intersection, and unknown regions.
#include "routing/region_policy.h"

#include <memory>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(RegionPolicy) {
  ZoneTable zones{{{"wa", "west"}, {"wb", "west"}, {"ea", "east"}, {"na", "north"}}};
  Configuration configuration;

  void setup() override {
    addRoute("free", "free.example", {});
    addRoute("limited", "Both.example:80", {"west", "east"});
    addRoute("other", "both.example", {"north"});
    addRoute("open", "both.example", {});
    setTenants({"west", "north"});
  }
  void addRoute(const std::string& name, const std::string& host, const RegionSet& regions) {
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = "/" + name + "/";
    route.allowedRegions = regions;
    configuration.routes.push_back(route);
  }
  void setTenants(const RegionSet& regions) {
    auto made = tenant::TenantDirectory::make(
        {tenant::Tenant{"limited", {}, {}, {}, regions}, tenant::Tenant{"free", {}, {}, {}, {}}});
    configuration.tenants =
        std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
  }
  [[nodiscard]] const tenant::Tenant* tenantOf(const std::string& name) const {
    return configuration.tenants->find(name);
  }
  RegionPolicy make() {
    auto made = RegionPolicy::make(configuration, zones, "wb");
    CHECK_TRUE(succeeded(made));
    return valueOf(made);
  }
};

TEST(RegionPolicy, setsNoLimitIfNeitherRouteNorTenantDoes) {
  const RegionPolicy policy = make();
  POINTERS_EQUAL(nullptr, policy.placesOf(configuration.routes[0], nullptr));
  POINTERS_EQUAL(nullptr, policy.placesOf(configuration.routes[0], tenantOf("free")));
}

TEST(RegionPolicy, appliesTheOnlyLimitThatIsSet) {
  const RegionPolicy policy = make();
  CHECK(policy.placesOf(configuration.routes[1], nullptr)->regions == (RegionSet{"east", "west"}));
  CHECK(policy.placesOf(configuration.routes[1], tenantOf("free"))->zones ==
        (std::vector<std::string>{"wb", "wa", "ea"}));
  CHECK(policy.placesOf(configuration.routes[0], tenantOf("limited"))->regions ==
        (RegionSet{"north", "west"}));
}

TEST(RegionPolicy, appliesBothLimits) {
  const RegionPolicy policy = make();
  CHECK(policy.placesOf(configuration.routes[1], tenantOf("limited"))->regions ==
        RegionSet{"west"});
  CHECK(policy.placesOf(configuration.routes[2], tenantOf("limited"))->regions ==
        RegionSet{"north"});
}

TEST(RegionPolicy, anEmptyIntersectionAllowsNothing) {
  setTenants({"north"});
  const RegionPolicy policy = make();
  const AllowedPlaces* const places = policy.placesOf(configuration.routes[1], tenantOf("limited"));
  CHECK(places != nullptr);
  CHECK_TRUE(places->regions.empty());
}

TEST(RegionPolicy, rejectsAConfigurationWithAnUnknownRegion) {
  addRoute("wrong", "h", {"west", "wset"});
  const auto ofRoute = RegionPolicy::make(configuration, zones, "wb");
  CHECK(ErrorKind::InvalidBundle == errorOf(ofRoute).kind);
  STRCMP_CONTAINS("route wrong", errorOf(ofRoute).field.c_str());
  configuration.routes.pop_back();
  setTenants({"wset"});
  const auto ofTenant = RegionPolicy::make(configuration, zones, "wb");
  STRCMP_CONTAINS("tenant limited", errorOf(ofTenant).field.c_str());
}

TEST(RegionPolicy, aLimitToAllRegionsDoesNotLimitStorage) {
  addRoute("wide", "h", {"west", "east", "north"});
  const RegionPolicy policy = make();
  const AllowedPlaces* const places = policy.placesOf(configuration.routes.back(), nullptr);
  LONGS_EQUAL(3, places->regions.size());
  CHECK_TRUE(places->zones.empty());
}

TEST(RegionPolicy, aHostAllowsTheUnionOfItsLimitedRoutes) {
  const RegionPolicy policy = make();
  POINTERS_EQUAL(nullptr, policy.regionsOfHost("free.example"));
  CHECK(*policy.regionsOfHost("BOTH.example") == (RegionSet{"east", "north", "west"}));
}

TEST(RegionPolicy, routesWithTheSameNameKeepTheirOwnLimits) {
  addRoute("limited", "else.example", {"north"});
  const RegionPolicy policy = make();
  CHECK(policy.placesOf(configuration.routes[1], nullptr)->regions == (RegionSet{"east", "west"}));
  CHECK(policy.placesOf(configuration.routes.back(), nullptr)->regions == RegionSet{"north"});
}

TEST(RegionPolicy, anUnknownLimitAllowsNothing) {
  const RegionPolicy policy = make();
  Route unknown = configuration.routes[1];
  unknown.host = "unheard.example";
  CHECK_TRUE(policy.placesOf(unknown, nullptr)->regions.empty());
}
