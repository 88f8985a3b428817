// Guards against one tenant that takes the capacity of the others in an overload, and against
// tenants that are refused although they are within their shares or nobody else needs the capacity.
#include "routing/tenant_shares.h"

#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "routing/tenant_share_changes.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

std::shared_ptr<const tenant::TenantDirectory> directoryOf(
    const std::vector<std::pair<std::string, double>>& rates) {
  std::vector<tenant::Tenant> tenants;
  tenants.reserve(rates.size());
  for (const auto& [name, rate] : rates) {
    tenants.push_back({name, {}, {}, {rate, 1}});
  }
  auto made = tenant::TenantDirectory::make(std::move(tenants));
  return std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
}

}  // namespace

// A service with 100 slots and a limit of 1.2 per slot: scarce from 108 requests, which is also
// what is divided.
TEST_GROUP(TenantShares) {
  TenantShares shares{{}};
  FleetReports fleet;
  std::shared_ptr<const tenant::TenantDirectory> tenants =
      directoryOf({{"large", 10}, {"small", 10}, {"free", 0}, {"double", 20}});
  std::size_t otherNodes = 10;

  void setup() override { fleet.reportingNodes = otherNodes; }
  void report(const char* tenant, double load) {
    fleet.tenantLoads[{nameHashOf("model"), nameHashOf(tenant)}] = load;
  }
  void update(double load, double slots = 100) {
    shares.update({{{"model", load, slots, 1.2}}, tenants, fleet, otherNodes});
  }
  void begin(const char* tenant, int count) {
    for (int request = 0; request < count; ++request) {
      shares.ownLoads().beginRequest("model", tenant);
    }
  }
  /// \return the figures of a limited tenant; the defaults for another.
  TenantShare limitOf(const char* tenant) {
    return shares.limitOf("model", tenant).value_or(TenantShare{});
  }
  double shareOf(const char* tenant) { return limitOf(tenant).share; }
  bool isLimited(const char* tenant) { return shares.limitOf("model", tenant).has_value(); }
};

TEST(TenantShares, theTenantWithMoreThanItsShareIsLimitedAndGetsWhatOthersLeave) {
  report("large", 110);
  report("small", 15);
  update(125);
  CHECK_TRUE(isLimited("large"));
  CHECK_FALSE(isLimited("small"));
  DOUBLES_EQUAL(108 - 15, shareOf("large"), 1e-9);
  CHECK_TRUE(shares.services().front().isScarce);
  LONGS_EQUAL(1, shares.limitedTenants().size());
}

TEST(TenantShares, noTenantIsLimitedWhileThereIsEnoughCapacity) {
  report("large", 80);
  report("small", 2);
  update(100);
  CHECK_FALSE(isLimited("large"));
  CHECK_FALSE(shares.services().front().isScarce);
}

TEST(TenantShares, aTenantAloneGetsEverything) {
  report("large", 150);
  update(150);
  CHECK_FALSE(isLimited("large"));
}

// The configured rate is what the operator sized the deployment for. `free` has the mean of the
// limited tenants, 13.33.
TEST(TenantShares, sharesFollowTheConfiguredRates) {
  report("large", 100);
  report("double", 100);
  report("free", 100);
  update(300);
  const double perRate = 108 / (10 + 20 + 40.0 / 3);
  DOUBLES_EQUAL(10 * perRate, shareOf("large"), 1e-9);
  DOUBLES_EQUAL(20 * perRate, shareOf("double"), 1e-9);
  DOUBLES_EQUAL(40.0 / 3 * perRate, shareOf("free"), 1e-9);
}

TEST(TenantShares, scarcityEndsOnlyWellBelowItsBeginning) {
  report("large", 100);
  report("small", 10);
  for (const auto& [load, isScarce] : std::vector<std::pair<double, bool>>{
           {107, false}, {109, true}, {100, true}, {91, true}, {89, false}, {107, false}}) {
    update(load);
    CHECK_EQUAL(isScarce, shares.services().front().isScarce);
  }
}

TEST(TenantShares, aSmallExcessIsTolerated) {
  report("small", 58);
  report("large", 59);  // The share is 54, its tolerance 7.3.
  update(117);
  CHECK_FALSE(isLimited("large"));
  report("large", 62);
  update(120);
  CHECK_TRUE(isLimited("large"));
}

// Loads are known late. Refusing all programs until the load has fallen made it oscillate between
// half and twice the capacity.
TEST(TenantShares, theFractionOfProgramsThatMayStartFollowsTheShare) {
  report("small", 8);
  report("large", 200);
  update(208);
  DOUBLES_EQUAL(0.5, limitOf("large").admitted, 1e-9);
  report("large", 125);
  update(133);
  DOUBLES_EQUAL(0.4, limitOf("large").admitted, 1e-9);
  report("large", 1000);
  update(1008);
  DOUBLES_EQUAL(0.24, limitOf("large").admitted, 1e-9);
  report("large", 50);
  update(95);
  DOUBLES_EQUAL(0.24 * 1.04, limitOf("large").admitted, 1e-9);
  update(58);
  DOUBLES_EQUAL(0.24 * 1.04 * 1.3, limitOf("large").admitted, 1e-9);
  for (int number = 0; number < 5; ++number) {
    update(58);
  }
  CHECK_FALSE(isLimited("large"));
}

TEST(TenantShares, attemptsAreSampledWithTheFraction) {
  int admitted = 0;
  for (int attempt = 0; attempt < 10000; ++attempt) {
    admitted += admitsStart({0, 0, 0.3}, "q" + std::to_string(attempt)) ? 1 : 0;
  }
  CHECK(admitted > 2800 && admitted < 3200);
}

// A service with 300 active tenants has less than half a slot for each: the request that a tenant
// has in flight must not limit it, also if it was seen by one of three nodes and counts as three.
TEST(TenantShares, oneRequestNeverLimitsATenant) {
  std::vector<std::pair<std::string, double>> rates;
  fleet.reportingNodes = 3;
  otherNodes = 9;
  for (int number = 0; number < 300; ++number) {
    rates.emplace_back("t" + std::to_string(number), 1);
    report(rates.back().first.c_str(), 3);
  }
  tenants = directoryOf(rates);
  update(900);
  LONGS_EQUAL(0, shares.limitedTenants().size());
  CHECK_FALSE(isLimited("t7"));
  report("t7", 9);
  update(906);
  CHECK_TRUE(isLimited("t7"));
}

TEST(TenantShares, requestsOfThisNodeCountToo) {
  report("large", 60);
  report("small", 20);
  begin("large", 60);
  update(140);
  DOUBLES_EQUAL(120, limitOf("large").load, 1e-9);
  for (int request = 0; request < 60; ++request) {
    shares.ownLoads().endRequest("model", "large");
  }
  LONGS_EQUAL(0, shares.ownLoads().all().size());
}

// Ten nodes that hear nothing must stay within the capacity together, without limiting tenants
// that have little.
TEST(TenantShares, withoutDigestsANodeDividesItsEqualPart) {
  fleet.reportingNodes = 0;
  otherNodes = 9;
  begin("large", 14);
  begin("small", 1);
  update(15);
  CHECK_TRUE(shares.services().front().isScarce);
  DOUBLES_EQUAL(10.8 - 1, shareOf("large"), 1e-9);
  CHECK_FALSE(isLimited("small"));
  CHECK_TRUE(isLimited("large"));
  otherNodes = 0;
  update(15);
  CHECK_FALSE(shares.services().front().isScarce);
}

TEST(TenantShares, unknownTenantsAndConfigurationsWithoutTenantsAreNotLimited) {
  report("large", 50);
  report("small", 10);
  report("removed", 300);
  update(360);
  CHECK_FALSE(isLimited("removed"));
  report("large", 300);
  update(360);
  CHECK_TRUE(isLimited("large"));
  tenants = nullptr;
  update(360);
  CHECK_FALSE(isLimited("large"));
  LONGS_EQUAL(0, shares.services().size());
}

TEST(TenantShares, waterFillingGivesUnusedSharesToTheOthers) {
  DOUBLES_EQUAL(3, waterLevel({{1, 1}, {8, 1}, {9, 2}}, 10), 1e-9);
  DOUBLES_EQUAL(1, waterLevel({{5, 4}, {9, 6}}, 10), 1e-9);
  CHECK(waterLevel({{1, 1}, {8, 1}}, 10) == std::numeric_limits<double>::infinity());
  CHECK(waterLevel({}, 10) == std::numeric_limits<double>::infinity());
}

TEST(TenantShares, theDigestHasTheLargestLoads) {
  begin("a", 2);
  begin("b", 5);
  begin("c", 3);
  const std::vector<TenantLoad> loads = shares.ownLoads().largest(2);
  LONGS_EQUAL(2, loads.size());
  CHECK(loads[0].tenant == nameHashOf("b") && loads[0].inFlight == 5);
  CHECK(loads[1].tenant == nameHashOf("c") && loads[1].service == nameHashOf("model"));
}

// A tenant held at its share goes above it and back several times a second; hundreds may do so.
TEST(TenantShares, changesAreLoggedAtABoundedRateAndTheLastStateInTheEnd) {
  TenantShareChanges changes{{}};
  Instant now{seconds(100)};
  std::vector<LimitedTenant> limited{{"model", "a", {}}, {"model", "b", {}}, {"model", "c", {}}};
  LONGS_EQUAL(2, changes.next(limited, now).size());
  LONGS_EQUAL(1, changes.next(limited, now).size());
  LONGS_EQUAL(0, changes.next({}, now + milliseconds(100)).size());
  LONGS_EQUAL(0, changes.next(limited, now + milliseconds(900)).size());
  const auto ended = changes.next({}, now + seconds(1));
  LONGS_EQUAL(2, ended.size());
  CHECK_FALSE(ended.front().isLimited);
  LONGS_EQUAL(1, changes.next({}, now + seconds(1)).size());
}
