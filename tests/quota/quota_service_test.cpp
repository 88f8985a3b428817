// Guards against grants above a limit and against rejections within it, fleet-wide in virtual time.
#include "quota_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::quota;
using namespace gorsetrail::quota::testing;

namespace {

constexpr std::size_t kNodes = 120;
const Duration kWindow = seconds(5);

/// \return the maximum number of grants in any window of 5 s.
std::size_t allowedIn5Seconds(const tenant::Tenant& tenant) {
  return static_cast<std::size_t>((tenant.quota.requestsPerSecond * 5 + tenant.quota.burst) * 1.1 +
                                  20);
}

}  // namespace

TEST_GROUP(QuotaService) {
  tenant::Tenant large = limited("large", 300, 300);
  tenant::Tenant middle = limited("middle", 40, 40);
  tenant::Tenant small = limited("small", 5, 5);
  std::vector<tenant::Tenant> all{large, middle, small};

  /// Sends requests of every tenant to random nodes at `loadFactor` times its rate.
  static void load(SimulatedFleet & fleet, const std::vector<tenant::Tenant>& tenants,
                   double loadFactor, Duration span) {
    const Duration step = milliseconds(5);
    for (Duration passed{}; passed < span; passed += step) {
      for (const tenant::Tenant& tenant : tenants) {
        const double expected = tenant.quota.requestsPerSecond * loadFactor * 0.005;
        const double whole = expected + fleet.random().fraction();
        for (int count = static_cast<int>(whole); count > 0; --count) {
          const bool begins = fleet.random().below(4) == 0;
          fleet.request(fleet.random().below(fleet.size()), tenant,
                        begins ? ProgramStage::Starting : ProgramStage::Started);
        }
      }
      fleet.timers.advance(step);
    }
  }
  void checkWithinLimits(const SimulatedFleet& fleet) {
    for (const tenant::Tenant& tenant : all) {
      const std::size_t most = fleet.mostGrantedIn(kWindow, tenant.name);
      CHECK_TEXT(most <= allowedIn5Seconds(tenant),
                 (tenant.name + ": " + std::to_string(most)).c_str());
    }
  }
  static void settle(SimulatedFleet & fleet) { fleet.timers.advance(seconds(3)); }
};

TEST(QuotaService, rejectsAtMostOneInAThousandWithinTheLimitWithoutFaults) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 1);
  settle(fleet);
  load(fleet, all, 0.6, seconds(20));
  std::size_t rejected = 0;
  std::size_t asked = 0;
  for (const tenant::Tenant& tenant : all) {
    rejected += fleet.rejected[tenant.name];
    asked += fleet.asked[tenant.name];
  }
  CHECK(asked > 3000);
  CHECK_TEXT(rejected * 1000 <= asked, std::to_string(rejected).c_str());
}

TEST(QuotaService, servesATenantUpToItsLimit) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 2);
  settle(fleet);
  load(fleet, all, 3.0, seconds(20));
  checkWithinLimits(fleet);
  for (const tenant::Tenant& tenant : {large, middle}) {
    const double served = static_cast<double>(fleet.grants[tenant.name].size());
    CHECK_TEXT(served >= tenant.quota.requestsPerSecond * 20 * 0.9, tenant.name.c_str());
  }
}

TEST(QuotaService, runningProgramsHavePriority) {
  SimulatedFleet fleet(kNodes, directoryOf({middle}), 3);
  settle(fleet);
  load(fleet, {middle}, 1.5, seconds(20));
  // A quarter of the requests start a program, so without priorities the ratio would be 3; running
  // programs alone request 1.1 times the limit.
  CHECK(fleet.begunGranted["middle"] > 6 * fleet.beginningGranted["middle"]);
}

TEST(QuotaService, rejectionsSuggestARetryDelay) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 4);
  settle(fleet);
  load(fleet, all, 4.0, seconds(5));
  CHECK(fleet.rejected["middle"] > 0);
  CHECK(fleet.lastRetryAfter >= QuotaKnobs{}.minRetryAfter);
  CHECK(fleet.lastRetryAfter <= 2 * QuotaKnobs{}.maxRetryAfter);
}

TEST(QuotaService, networkPartitionKeepsTheLimitAndServesBothSides) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 5);
  settle(fleet);
  load(fleet, all, 2.0, seconds(4));
  for (std::size_t node = 0; node < kNodes / 2; ++node) {
    fleet.setNetworkGroup(node, 1);
  }
  fleet.timers.advance(seconds(2));
  const std::size_t before = fleet.grants["large"].size();
  load(fleet, all, 2.0, seconds(10));
  checkWithinLimits(fleet);
  const double served = static_cast<double>(fleet.grants["large"].size() - before);
  CHECK(served >= large.quota.requestsPerSecond * 10 * 0.85);
}

TEST(QuotaService, coordinatorCrashAndRestartKeepTheLimit) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 6);
  settle(fleet);
  for (int round = 0; round < 5; ++round) {
    for (std::size_t node = 0; node < 24; ++node) {
      fleet.crash(node);  // Includes the first candidates of all partitions.
    }
    load(fleet, all, 3.0, milliseconds(1700));
    for (std::size_t node = 0; node < 24; ++node) {
      fleet.start(node);
    }
    load(fleet, all, 3.0, milliseconds(1700));
  }
  checkWithinLimits(fleet);
  CHECK(fleet.grants["middle"].size() > 40 * 17 / 4);
}

TEST(QuotaService, suspendedCoordinatorsKeepTheLimit) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 7);
  settle(fleet);
  for (int round = 0; round < 4; ++round) {
    for (std::size_t node = 0; node < 24; ++node) {
      fleet.suspend(node);
    }
    load(fleet, all, 3.0, milliseconds(2300));
    for (std::size_t node = 0; node < 24; ++node) {
      fleet.resume(node);
    }
    load(fleet, all, 3.0, milliseconds(600));
  }
  checkWithinLimits(fleet);
}

TEST(QuotaService, fleetRestartKeepsTheLimitAndRecovers) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 8);
  settle(fleet);
  load(fleet, all, 3.0, seconds(6));
  for (std::size_t node = 0; node < kNodes; ++node) {
    fleet.crash(node);
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    fleet.start(node);
  }
  fleet.timers.advance(seconds(2));
  const std::size_t before = fleet.grants["large"].size();
  load(fleet, all, 3.0, seconds(3));
  checkWithinLimits(fleet);
  CHECK(fleet.grants["large"].size() - before >= 300 * 2);
}

TEST(QuotaService, loweredLimitAppliesOnceTheCoordinatorHasIt) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 9);
  settle(fleet);
  load(fleet, all, 2.0, seconds(6));
  const tenant::Tenant lowered = limited("large", 75, 75);
  for (std::size_t node = 0; node < kNodes; ++node) {
    fleet.setTenants(node, directoryOf({lowered, middle, small}));
  }
  fleet.timers.advance(milliseconds(400));
  fleet.grants.clear();
  load(fleet, {lowered}, 5.0, seconds(12));
  CHECK(fleet.mostGrantedIn(kWindow, "large") <= allowedIn5Seconds(lowered));
}

TEST(QuotaService, isolatedNodeUsesOnlyItsOwnShare) {
  const tenant::Tenant huge = limited("huge", 1200, 1200);
  SimulatedFleet fleet(10, directoryOf({huge}), 10);
  settle(fleet);
  fleet.setNetworkGroup(3, 1);
  fleet.timers.advance(seconds(2));
  fleet.grants.clear();
  for (int step = 0; step < 2000; ++step) {
    fleet.request(3, huge, ProgramStage::Started);
    fleet.timers.advance(milliseconds(5));
  }
  const std::size_t most = fleet.mostGrantedIn(kWindow, "huge");
  CHECK(most > 0);
  CHECK(most <= allowedIn5Seconds(huge) / 10 + 20);
}

TEST(QuotaService, restartedNodeWaitsForLeasesOfItsPreviousIncarnation) {
  const QuotaKnobs knobs;
  ShareLender lender(knobs, Instant(seconds(100)));
  CHECK_FALSE(lender.tryLease(0, "new", 1, Instant(seconds(100))));
  CHECK_FALSE(lender.trySpendLocalToken(0, limited("t", 1e6, 1e6), 1.0, Instant(seconds(100))));
  CHECK_TRUE(lender.tryLease(0, "new", 1, Instant(seconds(100)) + knobs.leaseDuration));
}

TEST(QuotaService, shareIsLeasedToOneCoordinatorAtATime) {
  const QuotaKnobs knobs;
  ShareLender lender(knobs, Instant{});
  const Instant now(seconds(10));
  CHECK_TRUE(lender.tryLease(0, "first", 1, now));
  CHECK_FALSE(lender.tryLease(0, "second", 1, now + knobs.leaseDuration - Duration(1)));
  CHECK_TRUE(lender.tryLease(1, "second", 1, now));
  CHECK_TRUE(lender.tryLease(0, "second", 1, now + knobs.leaseDuration));
  CHECK_FALSE(lender.tryLease(99, "second", 1, now));
}

TEST(QuotaService, unlimitedTenantsCauseNoMessages) {
  SimulatedFleet fleet(3, directoryOf({limited("free", 0, 0)}), 11);
  fleet.timers.advance(seconds(2));
  for (int count = 0; count < 100; ++count) {
    fleet.request(0, limited("free", 0, 0), ProgramStage::Starting);
  }
  LONGS_EQUAL(100, fleet.grants["free"].size());
  LONGS_EQUAL(0, fleet.messages);
}

TEST(QuotaService, undecidedRequestReportsItsCoordinator) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 12);
  settle(fleet);
  load(fleet, all, 1.0, seconds(2));
  fleet.detectsFailures = false;
  // The last node is not a candidate coordinator.
  for (std::size_t node = 0; node + 1 < kNodes; ++node) {
    fleet.crash(node);
  }
  fleet.timers.advance(seconds(3));
  for (int request = 0; request < 400; ++request) {
    fleet.request(kNodes - 1, large, ProgramStage::Started);
  }
  fleet.timers.advance(seconds(4));
  CHECK_TRUE(fleet.lastTrace.has_value());
  const QuotaTrace trace = fleet.lastTrace.value_or(QuotaTrace{});
  CHECK_FALSE(trace.coordinator.empty());
  CHECK_FALSE(trace.lastReplyFrom.empty());
  CHECK(trace.lastReplyAge.value_or(Duration::zero()) >= seconds(3));
  CHECK_TRUE(trace.lastReplyDecided);
  CHECK(trace.waited >= QuotaKnobs{}.maxWait);
}

TEST(QuotaService, randomFaultsKeepTheLimit) {
  for (std::uint64_t seed = 100; seed < 112; ++seed) {
    SimulatedFleet fleet(40, directoryOf(all), seed);
    fleet.detectsFailures = seed % 3 != 0;
    fleet.lossRate = seed % 2 == 0 ? 0.1 : 0.01;
    settle(fleet);
    std::set<std::size_t> suspended;
    std::set<std::size_t> crashed;
    for (int step = 0; step < 40; ++step) {
      const std::size_t node = fleet.random().below(40);
      switch (fleet.random().below(6)) {
        case 0:
          if (crashed.insert(node).second) {
            fleet.crash(node);
          }
          break;
        case 1:
          if (crashed.erase(node) > 0) {
            fleet.start(node);
          }
          break;
        case 2:
          fleet.suspend(node);
          suspended.insert(node);
          break;
        case 3:
          for (const std::size_t one : suspended) {
            fleet.resume(one);
          }
          suspended.clear();
          break;
        case 4:
          fleet.setNetworkGroup(node, 1);
          break;
        default:
          fleet.setNetworkGroup(node, 0);
          break;
      }
      load(fleet, all, 2.5, milliseconds(400));
    }
    checkWithinLimits(fleet);
  }
}

TEST(QuotaService, plannedShutdownRejectsNoRequests) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 12);
  settle(fleet);
  load(fleet, all, 0.6, seconds(2));
  const auto rejectedBefore = fleet.rejected;
  for (std::size_t node = 0; node < 24; ++node) {
    fleet.stop(node);
    load(fleet, all, 0.6, milliseconds(200));
    fleet.crash(node);
  }
  checkWithinLimits(fleet);
  CHECK(fleet.rejected == rejectedBefore);
}

// Shuts nodes down one after the other. A lost message can delay a request beyond `maxWait`, so a
// few rejections are allowed.
TEST(QuotaService, plannedShutdownsRejectAtMostOneInAThousand) {
  constexpr std::uint64_t kFleets = 12;
  std::size_t asked = 0;
  std::size_t rejected = 0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    SimulatedFleet fleet(kNodes, directoryOf(all), seed);
    settle(fleet);
    load(fleet, all, 0.6, seconds(2));
    const auto rejectedBefore = fleet.rejected;
    for (std::size_t node = 0; node < 24; ++node) {
      fleet.stop(node);
      load(fleet, all, 0.6, milliseconds(200));
      fleet.crash(node);
    }
    checkWithinLimits(fleet);
    for (const tenant::Tenant& tenant : all) {
      asked += fleet.asked[tenant.name];
      const auto before = rejectedBefore.find(tenant.name);
      rejected +=
          fleet.rejected[tenant.name] - (before == rejectedBefore.end() ? 0 : before->second);
    }
  }
  CHECK_TEXT(rejected * 1000 <= asked,
             (std::to_string(rejected) + " of " + std::to_string(asked)).c_str());
}

TEST(QuotaService, lateReleaseDoesNotEndLeasesOfALaterIncarnation) {
  const QuotaKnobs knobs;
  ShareLender lender(knobs, Instant{});
  const Instant now(seconds(10));
  const std::uint64_t incarnation = std::uint64_t{1} << kRoundBits;
  CHECK_TRUE(lender.tryLease(0, "first", 2 * incarnation + 1, now));
  lender.onRelease(0, "first", incarnation + 7, now);
  lender.onRelease(0, "other", 2 * incarnation + 1, now);
  CHECK_FALSE(lender.tryLease(0, "second", 1, now));
  lender.onRelease(0, "first", 2 * incarnation + 2, now);
  CHECK_TRUE(lender.tryLease(0, "second", 1, now));
}

// Guards against two coordinators that each keep renewing half of the leases after a partition
// heals.
TEST(QuotaService, competingCoordinatorsConvergeToOne) {
  SimulatedFleet fleet(kNodes, directoryOf(all), 13);
  fleet.disagreesOnCoordinators = true;
  for (std::size_t node = 0; node < kNodes; node += 2) {
    fleet.setNetworkGroup(node, 1);
  }
  load(fleet, all, 0.8, seconds(4));
  for (std::size_t node = 0; node < kNodes; node += 2) {
    fleet.setNetworkGroup(node, 0);
  }
  load(fleet, all, 0.8, seconds(2));
  fleet.rejected.clear();
  // Requests arrive only at nodes that prefer one of the two coordinators.
  for (int step = 0; step < 2000; ++step) {
    const std::size_t odd = fleet.random().below(kNodes / 2) * 2 + 1;
    fleet.request(odd, large, ProgramStage::Started);
    fleet.timers.advance(milliseconds(4));
  }
  checkWithinLimits(fleet);
  CHECK(fleet.rejected["large"] <= 5);
}

// Guards against rejections after a rolling restart during which other nodes were suspended.
TEST(QuotaService, rollingRestartWithSuspendedNodesKeepsServing) {
  const auto sumOf = [this](std::map<std::string, std::size_t>& counts) {
    return counts[large.name] + counts[middle.name] + counts[small.name];
  };
  std::size_t asked = 0;
  std::size_t rejected = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    constexpr std::size_t kFleet = 74;
    constexpr std::size_t kAtATime = 6;
    SimulatedFleet fleet(kFleet, directoryOf(all), seed);
    settle(fleet);
    std::vector<std::size_t> order;
    for (std::size_t node = 0; node < kFleet; ++node) {
      order.push_back((node * 31 + seed) % kFleet);
    }
    for (std::size_t first = 0; first < kFleet; first += kAtATime) {
      const std::size_t end = std::min(first + kAtATime, kFleet);
      for (std::size_t index = first; index < end; ++index) {
        const std::size_t node = order[index];
        fleet.stop(node);
        fleet.timers.runAfter(milliseconds(3200), [&fleet, node] { fleet.crash(node); });
        fleet.timers.runAfter(milliseconds(3500), [&fleet, node] { fleet.start(node); });
      }
      const std::size_t suspended = fleet.random().below(kFleet);
      for (std::size_t step = 0; step < 14; ++step) {
        fleet.suspend((suspended + step * 5) % kFleet);
        fleet.timers.runAfter(milliseconds(3500), [&fleet, node = (suspended + step * 5) % kFleet] {
          fleet.resume(node);
        });
      }
      load(fleet, all, 0.4, milliseconds(1500));
    }
    load(fleet, all, 0.4, seconds(5));
    const std::size_t askedBefore = sumOf(fleet.asked);
    const std::size_t rejectedBefore = sumOf(fleet.rejected);
    load(fleet, all, 0.4, seconds(20));
    asked += sumOf(fleet.asked) - askedBefore;
    rejected += sumOf(fleet.rejected) - rejectedBefore;
    checkWithinLimits(fleet);
  }
  CHECK_TEXT(rejected * 1000 <= asked, std::to_string(rejected).c_str());
}

// Guards against a second burst when the coordinator changes while a tenant is using its burst.
TEST(QuotaService, handOverDuringABurstKeepsTheLimit) {
  for (std::uint64_t seed = 21; seed < 25; ++seed) {
    SimulatedFleet fleet(24, directoryOf(all), seed);
    settle(fleet);
    fleet.timers.advance(seconds(4));
    for (std::size_t node = 0; node + 4 < fleet.size(); ++node) {
      load(fleet, {large}, 3.0, milliseconds(350));
      fleet.stop(node);
    }
    checkWithinLimits(fleet);
  }
}

// As above, with every hand-over message lost.
TEST(QuotaService, lostHandOverKeepsTheLimit) {
  for (std::uint64_t seed = 31; seed < 35; ++seed) {
    SimulatedFleet fleet(24, directoryOf(all), seed);
    fleet.dropsHandOvers = true;
    settle(fleet);
    fleet.timers.advance(seconds(4));
    for (std::size_t node = 0; node + 4 < fleet.size(); ++node) {
      load(fleet, {large}, 3.0, milliseconds(350));
      fleet.stop(node);
    }
    checkWithinLimits(fleet);
  }
}

TEST(QuotaService, returnedTokenKeepsItsExpiry) {
  SimulatedFleet fleet(4, directoryOf(all), 41);
  fleet.lossRate = 0;
  settle(fleet);
  fleet.request(0, middle, ProgramStage::Started);
  fleet.timers.advance(milliseconds(300));
  fleet.request(0, middle, ProgramStage::Started);
  fleet.timers.advance(milliseconds(20));
  LONGS_EQUAL(2, fleet.grants["middle"].size());
  fleet.returnToken(0, middle);  // The service cannot tell which token this is.
  fleet.timers.advance(milliseconds(180));
  const std::uint64_t atOnce = fleet.service(0).counters().grantedAtOnce;
  fleet.request(0, middle, ProgramStage::Started);
  LONGS_EQUAL(atOnce, fleet.service(0).counters().grantedAtOnce);
  fleet.timers.advance(milliseconds(20));
  LONGS_EQUAL(3, fleet.grants["middle"].size());
  fleet.returnToken(0, middle);
  fleet.request(0, middle, ProgramStage::Started);  // The returned token has not expired.
  LONGS_EQUAL(atOnce + 1, fleet.service(0).counters().grantedAtOnce);
}

TEST(QuotaService, incarnationsUseDistinctRequestIds) {
  SimulatedFleet fleet(4, directoryOf(all), 42);
  settle(fleet);
  std::set<std::uint64_t> numbers;
  fleet.onSent = [&numbers](const QuotaMessage& message) {
    if (const auto* const request = std::get_if<TokenRequest>(&message)) {
      CHECK_TRUE(numbers.insert(request->requestId).second);
    }
  };
  for (int incarnation = 0; incarnation < 5; ++incarnation) {
    // Node 3 is not the first candidate, so its requests are sent to another node.
    fleet.request(3, large, ProgramStage::Started);
    fleet.request(3, middle, ProgramStage::Started);
    fleet.request(3, small, ProgramStage::Started);
    fleet.timers.advance(milliseconds(20));
    fleet.crash(3);
    fleet.start(3);
  }
  CHECK(numbers.size() >= 5);
}
