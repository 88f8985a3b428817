// Guards against copies that one zone's loss takes away, and nodes that look for them elsewhere.
#include "edge/record_holders.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr int kNodesPerZone = 4;

}  // namespace

TEST_GROUP(StreamOriginHolders) {
  routing::ZoneTable zones{{{"a", "west"}, {"b", "west"}, {"c", "west"}, {"d", "east"}}};
  std::vector<ledger::NodeCandidate> nodes;

  void setup() override {
    for (const char* zone : {"a", "b", "c", "d"}) {
      for (int number = 0; number < kNodesPerZone; ++number) {
        nodes.push_back({std::string(zone) + std::to_string(number), zone});
      }
    }
  }
  std::vector<std::string> select(std::uint64_t stream, HolderCounts counts,
                                  std::string_view own = "a0") const {
    return selectHolders({1, stream}, nodes, own, "west", zones, counts);
  }
};

TEST(StreamOriginHolders, copiesStandInAllZonesAndInOtherRegions) {
  for (std::uint64_t stream = 0; stream < 100; ++stream) {
    const std::vector<std::string> holders = select(stream, {4, 1});
    LONGS_EQUAL(5, holders.size());
    std::set<char> zonesOfRegion;
    for (std::size_t index = 0; index < 4; ++index) {
      zonesOfRegion.insert(holders[index].front());
    }
    LONGS_EQUAL(3, zonesOfRegion.size());
    LONGS_EQUAL('d', holders.back().front());
    CHECK(std::find(holders.begin(), holders.end(), "a0") == holders.end());
  }
}

TEST(StreamOriginHolders, aNodeThatAsksFindsTheHoldersOfAnother) {
  for (std::uint64_t stream = 0; stream < 100; ++stream) {
    const std::vector<std::string> asked = select(stream, {8, 2}, "b1");
    for (const std::string& holder : select(stream, {4, 1}, "a0")) {
      CHECK(holder == "b1" || std::find(asked.begin(), asked.end(), holder) != asked.end());
    }
  }
}

TEST(StreamOriginHolders, fewNodesAreAllSelected) {
  nodes.resize(2);
  LONGS_EQUAL(1, select(7, {4, 1}).size());
  nodes.clear();
  LONGS_EQUAL(0, select(7, {4, 1}).size());
}
