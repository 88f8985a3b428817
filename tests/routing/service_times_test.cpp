// Speeds and inflation in a fleet: replicas that differ, become slow and recover, delays that must
// not count, and overload that must not become the expectation.
#include "routing/service_times.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

constexpr std::size_t kNodes = 10;
constexpr std::size_t kReplicas = 12;
constexpr std::uint32_t kSlots = 6;
constexpr Duration kStep = milliseconds(100);
const WorkSize kTurn{1000, 288};

/// One node with its own view of the replicas.
struct Node {
  ReplicaTable table;
  ServiceTimes times;
  FleetLoad fleet{{}};
  std::uint64_t number = 0;
  std::uint64_t sequence = 0;
  std::size_t speedEntries = 0;  ///< Entries in the latest digest.

  [[nodiscard]] ReplicaPtr replica(std::size_t number) const {
    return table.find("r" + std::to_string(number));
  }
};

/// Ten nodes, each of which gets five turns a second and sends them to random replicas.
struct Fleet {
  Fleet() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      nodes.push_back(std::make_unique<Node>());
      nodes.back()->number = index;
      for (std::size_t number = 0; number < kReplicas; ++number) {
        ReplicaEntry entry;
        entry.id = "r" + std::to_string(number);
        entry.service = "model";
        entry.slots = kSlots;
        entry.startedAt = ReplicaStart(1);
        nodes.back()->table.upsert(entry);
      }
    }
  }

  void answer(Node& node, std::size_t number) {
    const std::uint64_t events = 4 + random.below(3);
    const double usual = 25.0 + 15.0 * static_cast<double>(events);
    const double noise = 0.85 + 0.3 * random.fraction();
    const double milliseconds = usual * noise * factorOf(number);
    Replica& replica = *node.replica(number);
    node.times.noteAnswer(replica, {spanOf(20), spanOf(milliseconds), events, kTurn.promptTokens},
                          replica.load() < replica.entry.slots, now);
  }
  static Duration spanOf(double value) {
    return Duration(static_cast<Duration::rep>(value * 1000));
  }

  /// One digest period: half of the nodes' turns of a tenth of a second, then digests.
  void step() {
    now += kStep;
    for (const auto& node : nodes) {
      if (random.below(2) == 0) {
        answer(*node, random.below(kReplicas));
      }
      LoadDigest digest{node->number, ++node->sequence, {}, {}};
      digest.reports.speeds = node->times.speedReports(node->table.all(), now);
      node->speedEntries = digest.reports.speeds.size();
      for (const auto& other : nodes) {
        if (other != node) {
          other->fleet.onDigest(digest, now);
        }
      }
    }
    for (const auto& node : nodes) {
      node->fleet.apply(node->table, {kNodes - 1, 0}, now);
      node->times.updateSpeeds(node->table.all(), now);
      setLoads(*node);
    }
  }
  void setLoads(Node& node) {
    for (const ReplicaPtr& replica : node.table.all()) {
      replica->othersInFlight = knownLoad;
    }
  }
  void run(
      Duration length, const std::function<void()>& check = [] {}) {
    for (const Instant end = now + length; now < end;) {
      step();
      check();
    }
  }
  [[nodiscard]] double factor(std::size_t number) const {
    return nodes.front()->replica(number)->timeFactor;
  }
  [[nodiscard]] double highestFactor() const {
    double highest = 0;
    for (const auto& node : nodes) {
      for (const ReplicaPtr& replica : node->table.all()) {
        highest = std::max(highest, replica->timeFactor);
      }
    }
    return highest;
  }
  [[nodiscard]] double inflation() const {
    return nodes.front()->times.report("model", now).inflation;
  }
  [[nodiscard]] double unloaded() const {
    return toMilliseconds(nodes.front()->times.unloadedDuration("model", kTurn).value());
  }

  std::vector<std::unique_ptr<Node>> nodes;
  RandomSource random{11};
  Instant now{seconds(100)};
  double knownLoad = 0;  ///< Requests at each replica, as far as the nodes know.
  std::function<double(std::size_t)> factorOf = [](std::size_t) { return 1.0; };
};

}  // namespace

TEST_GROUP(ServiceTimes) { Fleet fleet; };

// Customer W: a third of the engines is 2.4 times slower, from the first second.
TEST(ServiceTimes, findsTheSlowThirdOfTheReplicas) {
  fleet.factorOf = [](std::size_t number) { return number % 3 == 0 ? 1.7 : 0.7; };
  fleet.run(seconds(8));
  for (std::size_t number = 0; number < kReplicas; ++number) {
    const bool isSlow = number % 3 == 0;
    CHECK_EQUAL(isSlow, fleet.factor(number) >= kSlowTimeFactor);
    CHECK(isSlow || fleet.factor(number) < 1.2);
  }
  const double ratio = fleet.factor(0) / fleet.factor(1);
  // The true ratio is 2.43. Some ten samples of each replica are drawn towards 1.
  CHECK(ratio > 1.65 && ratio < 2.7);
  double inflations = 0;
  int steps = 0;
  fleet.run(seconds(4), [&] {
    inflations += fleet.inflation();
    ++steps;
  });
  LONGS_EQUAL(kReplicas / 3, fleet.nodes.front()->times.slowReplicas());
  CHECK(fleet.nodes.front()->replica(0)->slowness.isSlow());
  CHECK_FALSE(fleet.nodes.front()->replica(1)->slowness.isSlow());
  // Constantly slow replicas are no overload.
  CHECK(inflations / steps < 1.15);
  const Node& node = *fleet.nodes.front();
  const double slow = toMilliseconds(*node.times.expectedDuration(*node.replica(0), kTurn));
  const double fast = toMilliseconds(*node.times.expectedDuration(*node.replica(1), kTurn));
  DOUBLES_EQUAL(fleet.factor(0) / fleet.factor(1), slow / fast, 0.01);
}

// Bytes between zones are expensive, and most deployments have equal replicas.
TEST(ServiceTimes, equalReplicasAreNotReported) {
  fleet.run(seconds(20), [&] {
    for (const auto& node : fleet.nodes) {
      LONGS_EQUAL(0, node->speedEntries);
    }
    CHECK(fleet.highestFactor() < 1.2);
  });
}

TEST(ServiceTimes, delaysOfHalfASecondDoNotMarkReplicas) {
  fleet.run(seconds(6));
  for (int repetition = 0; repetition < 3; ++repetition) {
    fleet.factorOf = [](std::size_t number) { return number % 3 == 0 ? 2.5 : 1.0; };
    fleet.run(milliseconds(600));
    fleet.factorOf = [](std::size_t) { return 1.0; };
    fleet.run(seconds(5), [&] { CHECK(fleet.highestFactor() < kSlowTimeFactor); });
  }
  for (const ReplicaPtr& replica : fleet.nodes.front()->table.all()) {
    CHECK_FALSE(replica->slowness.isSlow());
    CHECK(replica->timeFactor < 1.2);
  }
}

TEST(ServiceTimes, aReplicaBecomesSlowAndRecovers) {
  fleet.run(seconds(6));
  fleet.factorOf = [](std::size_t number) { return number == 4 ? 2.4 : 1.0; };
  fleet.run(seconds(3));
  CHECK(fleet.factor(4) >= kSlowTimeFactor);
  CHECK_FALSE(fleet.nodes.front()->replica(4)->slowness.isSlow());
  fleet.run(seconds(4));
  CHECK(fleet.nodes.front()->replica(4)->slowness.isSlow());
  CHECK(fleet.factor(5) < 1.2);
  fleet.factorOf = [](std::size_t) { return 1.0; };
  fleet.run(seconds(4));
  CHECK(fleet.factor(4) < kSlowTimeFactor);
  fleet.run(seconds(6));
  CHECK_FALSE(fleet.nodes.front()->replica(4)->slowness.isSlow());
}

// A request that a node's own pause or a lost packet delays says nothing about the replica.
TEST(ServiceTimes, aSingleStalledRequestDoesNotMakeAReplicaSlow) {
  fleet.run(seconds(6));
  fleet.factorOf = [](std::size_t) { return 50.0; };
  fleet.answer(*fleet.nodes.front(), 4);
  fleet.factorOf = [](std::size_t) { return 1.0; };
  fleet.run(seconds(5), [&] { CHECK(fleet.highestFactor() < kSlowTimeFactor); });
}

// A replica that is no longer used has to be tried again some time.
TEST(ServiceTimes, aSpeedExpiresWithoutRequests) {
  fleet.factorOf = [](std::size_t number) { return number == 4 ? 2.4 : 1.0; };
  fleet.run(seconds(8));
  CHECK(fleet.factor(4) >= kSlowTimeFactor);
  fleet.knownLoad = kSlots;  // No request meets a free slot.
  fleet.run(seconds(15));
  CHECK(fleet.factor(4) < kReportedDeviation);
}

TEST(ServiceTimes, anotherIncarnationStartsWithTypicalSpeed) {
  fleet.factorOf = [](std::size_t number) { return number == 4 ? 2.4 : 1.0; };
  fleet.run(seconds(8));
  Node& node = *fleet.nodes.front();
  ReplicaEntry entry = node.replica(4)->entry;
  entry.startedAt = ReplicaStart(2);
  CHECK(ReplicaChange::Restarted == node.table.upsert(entry));
  // The other nodes still report the earlier incarnation.
  node.fleet.apply(node.table, {kNodes - 1, 0}, fleet.now);
  node.times.updateSpeeds(node.table.all(), fleet.now);
  DOUBLES_EQUAL(1.0, node.replica(4)->timeFactor, 1e-9);
}

// Engines take three times as long while requests wait. The model must not learn that as usual, and
// a full replica is not slow.
TEST(ServiceTimes, overloadRaisesTheInflationAndNothingElse) {
  fleet.run(seconds(10));
  const double before = fleet.unloaded();
  DOUBLES_EQUAL(1.0, fleet.inflation(), 0.2);
  fleet.knownLoad = 2.0 * kSlots;
  for (const auto& node : fleet.nodes) {
    fleet.setLoads(*node);
  }
  fleet.factorOf = [](std::size_t) { return 3.0; };
  fleet.run(seconds(2));
  fleet.run(seconds(20), [&] {
    CHECK(fleet.inflation() > 2.5);
    CHECK(fleet.highestFactor() < 1.2);
  });
  DOUBLES_EQUAL(before, fleet.unloaded(), 1e-9);
  const Node& node = *fleet.nodes.front();
  // Seven requests ahead of a new one in the queue of six slots.
  DOUBLES_EQUAL(before * (1.0 + 7.0 / 6.0) * node.replica(0)->timeFactor,
                toMilliseconds(*node.times.expectedDuration(*node.replica(0), kTurn)), 1);
  fleet.knownLoad = 0;
  fleet.factorOf = [](std::size_t) { return 1.0; };
  fleet.run(seconds(3));
  CHECK(fleet.inflation() < 1.3);
}

// Nodes without digests take full replicas for free ones. Their inflation has to stay high for the
// 12 s that a partition lasts, or their admission would let programs start.
TEST(ServiceTimes, overloadThatTheNodesDoNotSeeStaysInflation) {
  fleet.run(seconds(10));
  fleet.factorOf = [](std::size_t) { return 3.0; };
  fleet.run(seconds(2));
  fleet.run(seconds(10), [&] { CHECK(fleet.inflation() > 1.6); });
}

TEST(ServiceTimes, aNodeWithoutSamplesKnowsNothing) {
  const Node& node = *fleet.nodes.front();
  CHECK_FALSE(node.times.unloadedDuration("model", kTurn).has_value());
  CHECK_FALSE(node.times.expectedDuration(*node.replica(0), kTurn).has_value());
  CHECK_FALSE(node.times.shortestFirstByte(*node.replica(0), kTurn).has_value());
  DOUBLES_EQUAL(1.0, fleet.inflation(), 1e-9);
  LONGS_EQUAL(0, node.times.reports(fleet.now).size());
}

TEST(ServiceTimes, ratesAreThoseOfTheLastSecond) {
  Node& node = *fleet.nodes.front();
  for (int count = 0; count < 100; ++count) {
    fleet.now += milliseconds(50);
    fleet.answer(node, 0);
    if (count % 4 == 0) {
      node.times.noteRejection("model", fleet.now);
    }
  }
  const ServiceReport report = node.times.report("model", fleet.now);
  CHECK(report.service == nameHashOf("model"));
  DOUBLES_EQUAL(20, report.completedPerSecond, 2);
  DOUBLES_EQUAL(5, report.rejectedPerSecond, 1);
  fleet.now += seconds(8);
  LONGS_EQUAL(0, node.times.reports(fleet.now).size());
}

// Configurations rename services over the life of a process.
TEST(ServiceTimes, forgetsTheServiceThatWasUsedLeastRecently) {
  ServiceTimes times;
  for (std::size_t number = 0; number <= ServiceTimes::kMaximumServices; ++number) {
    fleet.now += milliseconds(1);
    times.noteRejection("s" + std::to_string(number), fleet.now);
    times.noteRejection("s1", fleet.now);
  }
  LONGS_EQUAL(ServiceTimes::kMaximumServices, times.inflations(fleet.now).size());
  CHECK(times.report("s0", fleet.now).rejectedPerSecond == 0);
  CHECK(times.report("s1", fleet.now).rejectedPerSecond > 0);
}

TEST(ServiceTimes, aDigestNamesAtMostTheMostCertainReplicas) {
  Node node;
  for (std::size_t number = 0; number < 2 * ServiceTimes::kMaximumSpeedReports; ++number) {
    ReplicaEntry entry;
    entry.id = "r" + std::to_string(number);
    entry.service = "model";
    node.table.upsert(entry);
    for (std::size_t sample = 0; sample <= number; ++sample) {
      node.replica(number)->speed.note(milliseconds(300), milliseconds(100), fleet.now);
    }
  }
  const auto reports = node.times.speedReports(node.table.all(), fleet.now);
  LONGS_EQUAL(ServiceTimes::kMaximumSpeedReports, reports.size());
  DOUBLES_EQUAL(2.0 * ServiceTimes::kMaximumSpeedReports, reports.front().samples, 1e-9);
  DOUBLES_EQUAL(ServiceTimes::kMaximumSpeedReports + 1.0, reports.back().samples, 1e-9);
}

TEST(ServiceTimes, speedsAreNotMeasuredWhereTheyAreSwitchedOff) {
  Node node;
  node.times = ServiceTimes({false});
  ReplicaEntry entry;
  entry.id = "r0";
  entry.service = "model";
  node.table.upsert(entry);
  for (int count = 0; count < 60; ++count) {
    fleet.now += milliseconds(100);
    const Duration duration = milliseconds(count < 30 ? 100 : 300);
    node.times.noteAnswer(*node.replica(0), {milliseconds(20), duration, 5, 0}, true, fleet.now);
    node.times.updateSpeeds(node.table.all(), fleet.now);
  }
  DOUBLES_EQUAL(1.0, node.replica(0)->timeFactor, 1e-9);
  LONGS_EQUAL(0, node.times.speedReports(node.table.all(), fleet.now).size());
}
