// Sums of other nodes' loads: latest digests, expiry, and extrapolation from partial reports.
#include "routing/fleet_load.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(FleetLoad) {
  FleetLoad load{{}};
  ReplicaTable table;
  Instant now{seconds(100)};
  ReplicaPtr replica;

  void setup() override {
    ReplicaEntry entry;
    entry.id = "a";
    entry.service = "s";
    table.upsert(entry);
    replica = table.ofService("s").front();
  }
  void receiveDigest(std::uint64_t node, std::uint64_t digestSequence, std::uint16_t inFlight,
                     RegionHash region = 0) {
    load.onDigest({node, digestSequence, {{replicaHashOf("a"), inFlight}}, {}, region}, now);
  }
  double others(std::size_t otherNodes) {
    load.apply(table, {otherNodes, 0}, now);
    return replica->othersInFlight;
  }
};

TEST(FleetLoad, sumsTheLatestDigestOfEachNode) {
  receiveDigest(1, 1, 3);
  receiveDigest(2, 1, 4);
  receiveDigest(1, 2, 5);
  receiveDigest(1, 1, 9);  // An older digest that arrives late.
  DOUBLES_EQUAL(9, others(2), 1e-9);
}

TEST(FleetLoad, sumsFailuresOfOtherNodes) {
  LoadDigest first{1, 1, {}, {{replicaHashOf("a"), 2.0, 5.0}}, 0};
  LoadDigest second{2, 1, {}, {{replicaHashOf("a"), 1.0, 3.0}}, 0};
  load.onDigest(first, now);
  load.onDigest(second, now);
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(3.0 / 8.0, replica->failureShare(now), 1e-9);
  now += seconds(1);
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(0, replica->failureShare(now), 1e-9);
}

TEST(FleetLoad, dropsNodesWithoutRecentDigest) {
  receiveDigest(1, 1, 3);
  now += FleetLoadKnobs{}.digestExpiry + milliseconds(1);
  DOUBLES_EQUAL(0, others(1), 1e-9);
}

TEST(FleetLoad, acceptsARestartedNodeOnceItsDigestHasExpired) {
  receiveDigest(1, 100, 3);
  now += FleetLoadKnobs{}.digestExpiry + milliseconds(1);
  receiveDigest(1, 1, 2);
  DOUBLES_EQUAL(2, others(1), 1e-9);
}

TEST(FleetLoad, extrapolatesToAllNodes) {
  receiveDigest(1, 1, 2);
  receiveDigest(2, 1, 2);
  DOUBLES_EQUAL(20, others(10), 1e-9);
}

TEST(FleetLoad, extrapolatesEachRegionSeparately) {
  constexpr RegionHash kElsewhere = 7;
  receiveDigest(1, 1, 3);
  receiveDigest(2, 1, 3);
  receiveDigest(3, 1, 1, kElsewhere);
  // All near nodes have reported, and one of four far ones.
  load.apply(table, {2, 4}, now);
  DOUBLES_EQUAL(10, replica->othersInFlight, 1e-9);
}

TEST(FleetLoad, sumsServiceReportsAndWeighsTheirInflation) {
  LoadDigest first{1, 1, {}, {}, 0, {{{5, 30, 2, 2.0}}, {}, {}}};
  LoadDigest second{2, 1, {}, {}, 0, {{{5, 10, 0, 1.0}}, {}, {}}};
  load.onDigest(first, now);
  load.onDigest(second, now);
  load.apply(table, {4, 0}, now);  // Two of four nodes have reported.
  const ServiceReport& sum = load.reports().services.at(5);
  DOUBLES_EQUAL(80, sum.completedPerSecond, 1e-9);
  DOUBLES_EQUAL(4, sum.rejectedPerSecond, 1e-9);
  DOUBLES_EQUAL(1.75, sum.inflation, 1e-9);
  LONGS_EQUAL(2, load.reports().reportingNodes);
}

TEST(FleetLoad, extrapolatesTenantLoadsAndDropsThemWithTheirDigest) {
  load.onDigest({1, 1, {}, {}, 0, {{}, {{5, 8, 3}}, {}}}, now);
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(6, load.reports().tenantLoads.at({5, 8}), 1e-9);
  now += FleetLoadKnobs{}.digestExpiry + milliseconds(1);
  load.apply(table, {2, 0}, now);
  CHECK(load.reports().tenantLoads.empty());
  LONGS_EQUAL(0, load.reports().reportingNodes);
}

// An arithmetic mean would let one overestimate outweigh several underestimates of the same size.
TEST(FleetLoad, averagesSpeedReportsGeometricallyByTheirSamples) {
  load.onDigest({1, 1, {}, {}, 0, {{}, {}, {{replicaHashOf("a"), 4.0, 2.0}}}}, now);
  load.onDigest({2, 1, {}, {}, 0, {{}, {}, {{replicaHashOf("a"), 1.0, 2.0}}}}, now);
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(2.0, replica->othersTimeFactor, 1e-9);
  DOUBLES_EQUAL(4.0, replica->othersTimeSamples, 1e-9);
}
