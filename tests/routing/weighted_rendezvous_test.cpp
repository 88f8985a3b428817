// Weighted rendezvous hashing: proportions, and which keys move when a weight changes.
#include "routing/weighted_rendezvous.h"

#include <map>
#include <string>
#include <vector>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::routing;

TEST_GROUP(WeightedRendezvous) {
  static constexpr int kKeys = 8000;
  static std::string preferred(const std::string& key,
                               const std::map<std::string, double>& weights) {
    std::string best;
    double highest = 0;
    for (const auto& [id, weight] : weights) {
      const double score = rendezvousScore(key, id, weight);
      if (best.empty() || score > highest) {
        best = id;
        highest = score;
      }
    }
    return best;
  }
};

TEST(WeightedRendezvous, prefersReplicasInProportionToTheirWeights) {
  const std::map<std::string, double> weights = {{"a", 1.0}, {"b", 1.0}, {"c", 0.25}};
  std::map<std::string, int> counts;
  for (int key = 0; key < kKeys; ++key) {
    ++counts[preferred("key" + std::to_string(key), weights)];
  }
  DOUBLES_EQUAL(kKeys / 9.0, counts["c"], kKeys * 0.015);
  DOUBLES_EQUAL(kKeys * 4 / 9.0, counts["a"], kKeys * 0.02);
}

// Guards against lost prompt caches: only keys of the replica whose weight falls may move.
TEST(WeightedRendezvous, aChangedWeightMovesOnlyKeysOfThatReplica) {
  const std::map<std::string, double> before = {{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};
  std::map<std::string, double> after = before;
  after["c"] = 0.5;
  int moved = 0;
  for (int key = 0; key < kKeys; ++key) {
    const std::string name = "key" + std::to_string(key);
    const std::string earlier = preferred(name, before);
    const std::string later = preferred(name, after);
    CHECK_TRUE(earlier == later || earlier == "c");
    moved += earlier == later ? 0 : 1;
  }
  DOUBLES_EQUAL(kKeys * (1.0 / 3 - 0.5 / 2.5), moved, kKeys * 0.02);
}

TEST(WeightedRendezvous, equalWeightsKeepTheUnweightedOrder) {
  for (int key = 0; key < 1000; ++key) {
    const std::string name = "key" + std::to_string(key);
    const bool byHash = rendezvousHash(name, "a") > rendezvousHash(name, "b");
    CHECK_EQUAL(byHash, rendezvousScore(name, "a", 1.0) > rendezvousScore(name, "b", 1.0));
  }
}
