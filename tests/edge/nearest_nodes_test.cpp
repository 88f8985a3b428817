// Guards against selecting distant nodes while nearer ones exist.
#include "edge/nearest_nodes.h"

// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(NearestNodes) {
  routing::ZoneTable zones{{{"wa", "west"}, {"wb", "west"}, {"ea", "east"}, {"na", "north"}}};
  std::vector<ledger::NodeCandidate> nodes = {{"n1", "wa", 1.0},
                                              {"n2", "wb", 1.0},
                                              {"n3", "ea", 1.0},
                                              {"n4", "na", 1.0},
                                              {"n5", "wa", 1.0}};

  [[nodiscard]] std::string nearTo(const std::string& zone) const {
    std::string addresses;
    for (const ledger::NodeCandidate& node : nearestNodes(nodes, zone, zones)) {
      addresses += node.address + " ";
    }
    return addresses;
  }
};

TEST(NearestNodes, prefersNodesOfTheZone) {
  STRCMP_EQUAL("n1 n5 ", nearTo("wa").c_str());
  STRCMP_EQUAL("n2 ", nearTo("wb").c_str());
}

TEST(NearestNodes, fallsBackToNodesOfTheRegion) {
  nodes = {{"n2", "wb", 1.0}, {"n3", "ea", 1.0}, {"n4", "na", 1.0}};
  STRCMP_EQUAL("n2 ", nearTo("wa").c_str());
}

TEST(NearestNodes, fallsBackToAllNodes) {
  nodes = {{"n3", "ea", 1.0}, {"n4", "na", 1.0}};
  STRCMP_EQUAL("n3 n4 ", nearTo("wa").c_str());
  nodes.clear();
  STRCMP_EQUAL("", nearTo("wa").c_str());
}

TEST(NearestNodes, usesOtherZonesOfASingleRegion) {
  zones = routing::ZoneTable{};
  STRCMP_EQUAL("n1 n2 n3 n4 n5 ", nearTo("other").c_str());
}
