// Guards the selection of coordinators: determinism, few moved partitions, weights, suspicion and
// zones.
#include "ledger/rendezvous_selector.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace gorsetrail;
using namespace gorsetrail::ledger;

TEST_GROUP(RendezvousSelector) {
  RendezvousSelector selector{{}};
  std::vector<NodeCandidate> nodes;
  Instant now{seconds(100)};

  void setup() override {
    for (int number = 0; number < 12; ++number) {
      nodes.push_back({"10.0.0." + std::to_string(number) + ":1", number < 6 ? "a" : "b", 1.0});
    }
  }
  std::string preferredNode(std::uint32_t partition, const std::string& zone = "") {
    return selector.selectNodes({"topic", partition}, zone, nodes, now).front();
  }
};

TEST(RendezvousSelector, selectionDoesNotDependOnTheOrderOfCandidates) {
  const auto before = selector.selectNodes({"topic", 5}, "", nodes, now);
  std::reverse(nodes.begin(), nodes.end());
  CHECK(before == selector.selectNodes({"topic", 5}, "", nodes, now));
  LONGS_EQUAL(2, before.size());
  CHECK(before[0] != before[1]);
}

TEST(RendezvousSelector, removedNodeMovesOnlyItsOwnPartitions) {
  std::vector<std::string> before;
  for (std::uint32_t partition = 0; partition < 200; ++partition) {
    before.push_back(preferredNode(partition));
  }
  const std::string gone = nodes.front().address;
  nodes.erase(nodes.begin());
  for (std::uint32_t partition = 0; partition < 200; ++partition) {
    if (before[partition] != gone) {
      STRCMP_EQUAL(before[partition].c_str(), preferredNode(partition).c_str());
    }
  }
}

TEST(RendezvousSelector, partitionsAreProportionalToCapacity) {
  nodes[3].capacity = 8.0;
  int strong = 0;
  for (std::uint32_t partition = 0; partition < 1000; ++partition) {
    strong += preferredNode(partition) == nodes[3].address ? 1 : 0;
  }
  // Expected: 8/19 of the partitions.
  CHECK(strong > 360 && strong < 480);
}

TEST(RendezvousSelector, suspectedNodeIsRankedLastUntilTheSuspicionEnds) {
  const std::string preferred = preferredNode(7);
  selector.suspect(preferred, now);
  CHECK(preferredNode(7) != preferred);
  now += milliseconds(1600);
  STRCMP_EQUAL(preferred.c_str(), preferredNode(7).c_str());
  selector.suspect(preferred, now);
  selector.clearSuspicion(preferred);
  STRCMP_EQUAL(preferred.c_str(), preferredNode(7).c_str());
}

TEST(RendezvousSelector, partitionsStayInTheirZoneWhileItHasNodes) {
  std::set<std::string> preferredNodes;
  for (std::uint32_t partition = 0; partition < 50; ++partition) {
    preferredNodes.insert(preferredNode(partition, "b"));
  }
  for (const std::string& preferred : preferredNodes) {
    CHECK(std::any_of(nodes.begin(), nodes.end(), [&](const NodeCandidate& node) {
      return node.address == preferred && node.zone == "b";
    }));
  }
  nodes.resize(6);
  CHECK(!preferredNode(1, "b").empty());
}
