// Guards the selection of coordinators: determinism, few moved partitions, weights, suspicion and
// zones.
#include "ledger/home_selector.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

TEST_GROUP(HomeSelector) {
  HomeSelector selector{{}};
  std::vector<HomeCandidate> nodes;
  Instant now{seconds(100)};

  void setup() override {
    for (int number = 0; number < 12; ++number) {
      nodes.push_back({"10.0.0." + std::to_string(number) + ":1", number < 6 ? "a" : "b", 1.0});
    }
  }
  std::string homeOf(std::uint32_t partition, const std::string& zone = "") {
    return selector.homesOf({"topic", partition}, zone, nodes, now).front();
  }
};

TEST(HomeSelector, selectionDoesNotDependOnTheOrderOfCandidates) {
  const auto before = selector.homesOf({"topic", 5}, "", nodes, now);
  std::reverse(nodes.begin(), nodes.end());
  CHECK(before == selector.homesOf({"topic", 5}, "", nodes, now));
  LONGS_EQUAL(2, before.size());
  CHECK(before[0] != before[1]);
}

TEST(HomeSelector, removedNodeMovesOnlyItsOwnPartitions) {
  std::vector<std::string> before;
  for (std::uint32_t partition = 0; partition < 200; ++partition) {
    before.push_back(homeOf(partition));
  }
  const std::string gone = nodes.front().address;
  nodes.erase(nodes.begin());
  for (std::uint32_t partition = 0; partition < 200; ++partition) {
    if (before[partition] != gone) {
      STRCMP_EQUAL(before[partition].c_str(), homeOf(partition).c_str());
    }
  }
}

TEST(HomeSelector, partitionsAreProportionalToCapacity) {
  nodes[3].capacity = 8.0;
  int strong = 0;
  for (std::uint32_t partition = 0; partition < 1000; ++partition) {
    strong += homeOf(partition) == nodes[3].address ? 1 : 0;
  }
  // Expected: 8/19 of the partitions.
  CHECK(strong > 360 && strong < 480);
}

TEST(HomeSelector, suspectedNodeIsRankedLastUntilTheSuspicionEnds) {
  const std::string home = homeOf(7);
  selector.suspect(home, now);
  CHECK(homeOf(7) != home);
  now += milliseconds(1600);
  STRCMP_EQUAL(home.c_str(), homeOf(7).c_str());
  selector.suspect(home, now);
  selector.clearSuspicion(home);
  STRCMP_EQUAL(home.c_str(), homeOf(7).c_str());
}

TEST(HomeSelector, partitionsStayInTheirZoneWhileItHasNodes) {
  std::set<std::string> homes;
  for (std::uint32_t partition = 0; partition < 50; ++partition) {
    homes.insert(homeOf(partition, "b"));
  }
  for (const std::string& home : homes) {
    CHECK(std::any_of(nodes.begin(), nodes.end(), [&](const HomeCandidate& node) {
      return node.address == home && node.zone == "b";
    }));
  }
  nodes.resize(6);
  CHECK(!homeOf(1, "b").empty());
}
