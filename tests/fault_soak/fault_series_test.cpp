// Series strike the same node while the last signal is still at work, and follow from the seed.
#include "lab/faultsoak/fault_series.h"

#include <algorithm>
#include <set>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(FaultSeries) {
  static constexpr std::size_t kNodes = 5;
  static constexpr std::size_t kReplicas = 4;
  static constexpr Duration kStart = seconds(3);

  std::vector<SoakFault> plan(FaultSeries series, std::uint64_t seed = 1) {
    RandomSource random(seed);
    return planSeries(series, random, kStart, kNodes, kReplicas);
  }
  void checkPair(FaultSeries series, SoakFaultKind first, SoakFaultKind second) {
    const std::vector<SoakFault> faults = plan(series);
    LONGS_EQUAL(2, faults.size());
    CHECK(faults[0].kind == first);
    CHECK(faults[1].kind == second);
    LONGS_EQUAL(faults[0].target, faults[1].target);
    CHECK(faults[0].at == kStart);
    CHECK(faults[1].at > faults[0].at);
    CHECK(faults[1].at < faults[0].at + seconds(1));
  }
  static std::size_t countOf(const std::vector<SoakFault>& faults, SoakFaultKind kind) {
    return static_cast<std::size_t>(
        std::count_if(faults.begin(), faults.end(),
                      [kind](const SoakFault& fault) { return fault.kind == kind; }));
  }
};

TEST(FaultSeries, aSecondSignalMeetsAStop) {
  checkPair(FaultSeries::StopTwice, SoakFaultKind::StopNode, SoakFaultKind::StopNode);
  checkPair(FaultSeries::KillAmidStop, SoakFaultKind::StopNode, SoakFaultKind::KillNode);
  checkPair(FaultSeries::ReloadAmidStop, SoakFaultKind::StopNode, SoakFaultKind::ReloadSettings);
  checkPair(FaultSeries::PauseAmidStop, SoakFaultKind::StopNode, SoakFaultKind::PauseNode);
}

TEST(FaultSeries, aStopMeetsAPause) {
  checkPair(FaultSeries::StopWhilePaused, SoakFaultKind::PauseNode, SoakFaultKind::StopNode);
}

TEST(FaultSeries, pausesEnd) {
  CHECK(plan(FaultSeries::PauseAmidStop)[1].duration > Duration::zero());
  CHECK(plan(FaultSeries::StopWhilePaused)[0].duration > Duration::zero());
}

TEST(FaultSeries, someRepeatOneSignalAtOneNode) {
  for (const FaultSeries series : {FaultSeries::ReloadsInARow, FaultSeries::KillWhileStarting,
                                   FaultSeries::ChangesInARow, FaultSeries::ReplicaStartsInARow}) {
    const std::vector<SoakFault> faults = plan(series);
    LONGS_EQUAL(3, faults.size());
    for (const SoakFault& fault : faults) {
      CHECK(fault.kind == faults.front().kind);
      LONGS_EQUAL(faults.front().target, fault.target);
    }
  }
}

TEST(FaultSeries, aReplicaIsBackBeforeItStartsAgain) {
  const std::vector<SoakFault> faults = plan(FaultSeries::ReplicaStartsInARow);
  for (std::size_t index = 1; index < faults.size(); ++index) {
    CHECK(faults[index - 1].at + faults[index - 1].duration <= faults[index].at);
    CHECK(faults[index].target < kReplicas);
  }
}

TEST(FaultSeries, aRollingRestartStopsEachNodeOnceWithAPauseAndAChangeAmid) {
  const std::vector<SoakFault> faults = plan(FaultSeries::RollingRestart);
  std::set<std::size_t> stopped;
  for (const SoakFault& fault : faults) {
    if (fault.kind == SoakFaultKind::StopNode) {
      stopped.insert(fault.target);
    }
  }
  LONGS_EQUAL(kNodes, stopped.size());
  LONGS_EQUAL(kNodes, countOf(faults, SoakFaultKind::StopNode));
  LONGS_EQUAL(1, countOf(faults, SoakFaultKind::PauseNode));
  LONGS_EQUAL(1, countOf(faults, SoakFaultKind::Configuration));
}

TEST(FaultSeries, timesRiseAndTargetsExist) {
  for (std::size_t kind = 0; kind < kFaultSeriesKinds; ++kind) {
    const std::vector<SoakFault> faults = plan(static_cast<FaultSeries>(kind), 9);
    CHECK(std::is_sorted(
        faults.begin(), faults.end(),
        [](const SoakFault& one, const SoakFault& other) { return one.at < other.at; }));
    for (const SoakFault& fault : faults) {
      CHECK(fault.target < kNodes);
    }
  }
}

TEST(FaultSeries, followsFromTheSeed) {
  const std::vector<SoakFault> first = plan(FaultSeries::RollingRestart, 4);
  const std::vector<SoakFault> again = plan(FaultSeries::RollingRestart, 4);
  LONGS_EQUAL(first.size(), again.size());
  for (std::size_t index = 0; index < first.size(); ++index) {
    CHECK(first[index].at == again[index].at && first[index].target == again[index].target);
  }
}
