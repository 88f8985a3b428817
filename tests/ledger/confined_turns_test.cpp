// Guards against reading or storing confined turns outside their regions, and against slow searches
// across regions.
#include <optional>

#include "ledger_fleet.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using ledger::testing::Fleet;

TEST_GROUP(ConfinedTurns) {
  // Nodes 0, 1 in `ea`; 2, 3 in `na`; 4, 5 in `wa`; 6, 7 in `wb`.
  static constexpr int kEast = 0;
  static constexpr int kNorth = 2;
  static constexpr int kWest = 4;
  static constexpr int kOtherWest = 6;
  const TurnZones west = {"wa", "wb"};
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  Fleet fleet{log, timers, {{"ea", "east"}, {"na", "north"}, {"wa", "west"}, {"wb", "west"}}, 2};

  bool store(int node, const std::string& turn, const TurnZones& zones) {
    std::optional<bool> stored;
    fleet.node(node).ledger.storeTurn({turn, "", {}, "text", zones}, seconds(2),
                                      [&stored](const logstore::StoreResult<Success>& result) {
                                        stored = std::holds_alternative<Success>(result);
                                      });
    timers.advance(seconds(3));
    return stored.value_or(false);
  }
  HistoryAnswer find(int node, const std::string& turn, const TurnZones& zones) {
    std::optional<HistoryAnswer> found;
    fleet.node(node).ledger.findHistory(
        {turn, zones}, [&found](HistoryAnswer answer) { found = std::move(answer); });
    timers.advance(seconds(20));
    CHECK_TRUE(found.has_value());
    return *found;
  }
  bool finds(int node, const std::string& turn, const TurnZones& zones) {
    return std::holds_alternative<History>(find(node, turn, zones));
  }
  /// \return calls that other nodes sent to nodes outside the west.
  int callsElsewhere() {
    int calls = 0;
    for (int node = 0; node < kWest; ++node) {
      calls += fleet.callsTo["node" + std::to_string(node)];
    }
    return calls;
  }
  std::uint64_t storeCallsOf(int node) { return fleet.node(node).store.counters().calls; }
  void kill(int first, int count) {
    for (int node = first; node < first + count; ++node) {
      fleet.dead.insert("node" + std::to_string(node));
    }
  }
};

TEST(ConfinedTurns, areStoredAndFoundOnlyByNodesOfTheirRegions) {
  CHECK_TRUE(store(kEast, "t1", west));
  CHECK_TRUE(store(kWest, "t2", west));
  CHECK_TRUE(finds(kEast, "t1", west));
  CHECK_TRUE(finds(kNorth, "t2", west));
  CHECK_TRUE(finds(kOtherWest, "t1", west));
  LONGS_EQUAL(0, callsElsewhere());
  for (int node = 0; node < kWest; ++node) {
    LONGS_EQUAL(0, storeCallsOf(node));
  }
}

TEST(ConfinedTurns, areStoredInPartitionsThatOtherTurnsDoNotNeed) {
  CHECK_TRUE(store(kWest, "confined", west));
  CHECK_TRUE(store(kWest, "free", {}));
  // The whole west region is lost: a node elsewhere reads the unconfined turn from the store.
  kill(kWest, 4);
  CHECK_TRUE(finds(kEast, "free", {}));
  for (const auto& [partition, records] : log.logs) {
    const bool confined = LedgerPartitions::confinedZoneOf(partition).has_value();
    for (const std::string& record : records) {
      CHECK_EQUAL(confined, record.find("confined") != std::string::npos);
    }
  }
}

TEST(ConfinedTurns, areUnavailableRatherThanUnknownWhenTheirRegionIsLost) {
  CHECK_TRUE(store(kWest, "t1", west));
  kill(kWest, 4);
  log.readsOf.clear();
  CHECK_TRUE(std::holds_alternative<LedgerUnavailable>(find(kEast, "t1", west)));
  for (const auto& [partition, reads] : log.readsOf) {
    const auto zone = LedgerPartitions::confinedZoneOf(partition);
    CHECK(!zone || *zone == "ea" || *zone == "na");
  }
}

TEST(ConfinedTurns, receivingNodeAppendsDirectlyWhenNoCoordinatorIsLeft) {
  kill(kWest, 4);
  CHECK_TRUE(store(kEast, "t1", west));
  LONGS_EQUAL(0, callsElsewhere());
  fleet.dead.clear();
  timers.advance(seconds(2));
  CHECK_TRUE(finds(kWest, "t1", west));
}

TEST(ConfinedTurns, areFoundAfterTheirZoneRestrictionChangedOrWasRemoved) {
  CHECK_TRUE(store(kWest, "confined", west));
  CHECK_TRUE(store(kNorth, "free", {}));
  CHECK_TRUE(finds(kEast, "confined", {}));
  CHECK_TRUE(finds(kEast, "confined", {"ea"}));
  CHECK_TRUE(finds(kOtherWest, "free", west));
  CHECK_TRUE(std::holds_alternative<UnknownTurn>(find(kWest, "never", west)));
  CHECK_TRUE(std::holds_alternative<UnknownTurn>(find(kEast, "never", {})));
}

TEST(ConfinedTurns, otherRegionsAreSearchedInParallel) {
  CHECK_TRUE(store(kOtherWest, "near", {}));
  CHECK_TRUE(store(kEast, "far", {}));
  fleet.callsTo.clear();
  CHECK_TRUE(finds(kWest, "near", {}));
  LONGS_EQUAL(0, callsElsewhere());
  std::optional<Instant> foundAt;
  const Instant asked = timers.now;
  fleet.node(kWest).ledger.findHistory({"far"},
                                       [&](const HistoryAnswer&) { foundAt = timers.now; });
  timers.advance(seconds(2));
  CHECK_TRUE(foundAt.has_value());
  // The search has four steps: both partitions of the own zone, the other zone of the region, then
  // all others in parallel. Each takes 2 ms for the call and up to two store reads of 5 ms.
  CHECK(*foundAt - asked < milliseconds(60));
}

TEST(ConfinedTurns, programsOutsideAnUnreachableRegionContinue) {
  CHECK_TRUE(store(kWest, "t1", {}));
  kill(kEast, 2);
  kill(kNorth, 2);
  CHECK_TRUE(finds(kOtherWest, "t1", {}));
  CHECK_TRUE(store(kWest, "t2", {}));
  CHECK_TRUE(finds(kWest, "t2", {}));
}

TEST(ConfinedTurns, areRoutedByReloadedRegionSettings) {
  fleet.nodes.erase("node2");
  fleet.nodes.erase("node3");
  CHECK_TRUE(store(kEast, "t1", {"na"}));
  LONGS_EQUAL(0, fleet.callsTo["node4"] + fleet.callsTo["node5"]);
  fleet.node(kEast).ledger.setZones(
      {"ea", "na", "wa", "wb"}, {{"ea", "east"}, {"na", "north"}, {"wa", "north"}, {"wb", "west"}});
  CHECK_TRUE(store(kEast, "t2", {"na"}));
  CHECK(fleet.callsTo["node4"] + fleet.callsTo["node5"] > 0);
  LONGS_EQUAL(0, fleet.callsTo["node6"] + fleet.callsTo["node7"]);
}
