// The same seed strikes with the same faults; every kind comes up; none outlasts the soak.
#include "lab/faultsoak/fault_plan.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <utility>

#include "lab/faultsoak/foreign_entries.h"
#include "lab/faultsoak/tenant_share_watcher.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;

namespace {

/// \return how many targets the plan of five nodes and four replicas may draw for a kind.
std::size_t targetsOf(SoakFaultKind kind) {
  switch (kind) {
    case SoakFaultKind::ReplicaWay:
    case SoakFaultKind::ReplicaTroubles:
    case SoakFaultKind::RestartReplica:
      return 4;
    case SoakFaultKind::ForeignEntry:
      return foreignEntryKinds();
    default:
      return 5;
  }
}

}  // namespace

TEST_GROUP(FaultPlan){};

TEST(FaultPlan, followsFromTheSeed) {
  const auto first = planFaults(7, seconds(60), 5, 4);
  const auto again = planFaults(7, seconds(60), 5, 4);
  LONGS_EQUAL(first.size(), again.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    CHECK(first[index].kind == again[index].kind && first[index].at == again[index].at);
  }
  CHECK(planFaults(8, seconds(60), 5, 4).front().at != first.front().at);
}

TEST(FaultPlan, neighbouringSeedsBeginWithOtherFaults) {
  std::set<std::pair<Duration, Duration>> begins;
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto faults = planFaults(seed, seconds(25), 5, 4);
    begins.insert({faults[0].at, faults[1].at});
  }
  LONGS_EQUAL(kSeeds, begins.size());
}

TEST(FaultPlan, everyKindComesUpAndEndsInTime) {
  std::set<SoakFaultKind> kinds;
  std::set<std::string> names;
  for (const SoakFault& fault : planFaults(3, seconds(300), 5, 4)) {
    kinds.insert(fault.kind);
    names.insert(soakFaultName(fault.kind));
    CHECK(fault.target < targetsOf(fault.kind));
    CHECK(fault.at + fault.duration <= seconds(300));
  }
  LONGS_EQUAL(14, kinds.size());
  LONGS_EQUAL(14, names.size());
}

TEST(FaultPlan, faultsComeInOrderAndOverlap) {
  const auto faults = planFaults(3, seconds(300), 5, 4);
  std::size_t overlaps = 0;
  for (std::size_t index = 1; index < faults.size(); ++index) {
    const SoakFault& last = faults[index - 1];
    CHECK(last.at <= faults[index].at);
    overlaps += faults[index].at < last.at + last.duration ? 1 : 0;
  }
  CHECK(overlaps > faults.size() / 4);
}

TEST(FaultPlan, releasesReplaceAllReplicasOneAtATime) {
  std::set<std::size_t> replaced;
  Duration lastEnd{};
  for (const SoakFault& release : planReleases(3, seconds(30), 4)) {
    CHECK(release.kind == SoakFaultKind::ReplaceReplica);
    CHECK(release.at >= lastEnd);
    lastEnd = release.at + release.duration;
    replaced.insert(release.target);
  }
  CHECK(lastEnd <= seconds(30));
  LONGS_EQUAL(4, replaced.size());
}

TEST(FaultPlan, loadsFollowFromTheSeedAndLeaveTheOtherFaultsAlone) {
  const auto loads = planLoads(306, seconds(60), 3);
  const auto again = planLoads(306, seconds(60), 3);
  std::set<SoakFaultKind> kinds;
  CHECK(!loads.empty());
  for (std::size_t index = 0; index < loads.size(); ++index) {
    const SoakFault& load = loads[index];
    kinds.insert(load.kind);
    CHECK(load.at == again[index].at && load.target == again[index].target);
    CHECK(load.target < 3 && load.at + load.duration <= seconds(60));
    CHECK(index == 0 || loads[index - 1].at + loads[index - 1].duration < load.at);
  }
  LONGS_EQUAL(2, kinds.size());
  CHECK(kinds.contains(SoakFaultKind::HotTenant) && kinds.contains(SoakFaultKind::Burst));
  for (const SoakFault& fault : planFaults(306, seconds(300), 5, 4)) {
    CHECK_FALSE(kinds.contains(fault.kind));
  }
}

// The checks need a hot tenant that lasts longer than a tenant may be refused.
TEST(FaultPlan, theQuietLoadsLeaveTimeToSeeRefusals) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto loads = planQuietLoads(seed, 3);
    LONGS_EQUAL(2, loads.size());
    CHECK(loads[0].kind == SoakFaultKind::HotTenant && loads[0].target < 3);
    CHECK(loads[0].duration > TenantShareLimits{}.longestRefusal + seconds(1));
    CHECK(loads[1].kind == SoakFaultKind::Burst && loads[1].at == loads[0].duration);
  }
}

TEST(FaultPlan, theQuietTimeHasOneRequestOfEachKindThatEndsReplicas) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::set<std::size_t> kinds;
    for (const SoakFault& request : planQuietEndingRequests(seed)) {
      CHECK(request.kind == SoakFaultKind::EndingRequest);
      CHECK(kinds.insert(request.target).second);
    }
    LONGS_EQUAL(endingRequestKinds(), kinds.size());
  }
}

TEST(FaultPlan, requestsThatEndReplicasComeOnAllRoutesWithAllEffects) {
  std::set<std::size_t> kinds;
  for (const SoakFault& request : planEndingRequests(3, seconds(300))) {
    kinds.insert(request.target);
    CHECK(request.at < seconds(300));
  }
  LONGS_EQUAL(endingRequestKinds(), kinds.size());
}
