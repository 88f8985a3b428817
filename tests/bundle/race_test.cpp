/// Seeded trials: operators race, nodes read the log at their own pace, ask peers and restart.
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "bundle_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::bundle;
using nlohmann::json;

namespace {

constexpr std::size_t kNodes = 4;
constexpr int kSteps = 60;
constexpr std::uint64_t kSeeds = 60;

struct Fleet {
  std::vector<TestOperator> operators;
  std::vector<std::string> log;
  std::vector<BundleHolder> nodes;
  std::vector<std::size_t> positions = std::vector<std::size_t>(kNodes, 0);
  std::map<std::string, std::uint64_t> chain;  ///< Envelope to version, as the log decides.
  std::uint64_t chainVersion = 0;
  int made = 0;

  explicit Fleet(std::vector<TestOperator> both) : operators(std::move(both)) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      nodes.push_back(fresh());
    }
  }

  [[nodiscard]] BundleHolder fresh() const {
    return {"paino-lumo", {operators[0].publicPart(), operators[1].publicPart()}};
  }

  /// Stated afresh from the rule, not through BundleHolder: the first record based on the newest
  /// winner wins.
  void append(std::uint64_t version, std::uint64_t base, const TestOperator& signer) {
    json bundle = sampleBundle(version, base, operators);
    bundle["latency_weight"] = 1.0 / ++made;
    log.push_back(sealedBy({signer}, bundle));
    if (base == chainVersion) {
      chainVersion = version;
      chain[log.back()] = version;
    }
  }

  void readOne(std::size_t node) {
    if (positions[node] < log.size()) {
      nodes[node].offerFromLog(log[positions[node]++]);
    }
  }

  void learn(std::size_t node, std::size_t from) {
    if (!nodes[from].envelope().empty()) {
      nodes[node].offerFromPeer(nodes[from].envelope());
    }
  }

  void restart(std::size_t node) {
    nodes[node] = fresh();
    positions[node] = 0;
  }

  /// \return what breaks the promises at the node, or an empty text.
  [[nodiscard]] std::string breachAt(std::size_t node, std::uint64_t& highest) const {
    const std::string& envelope = nodes[node].envelope();
    const std::uint64_t version = envelope.empty() ? 0 : nodes[node].inForce()->version.value();
    if (!envelope.empty() && !chain.contains(envelope)) {
      return "a loser is in force";
    }
    if (version < highest) {
      return "a node went down a version";
    }
    highest = version;
    return nodes[node].replacedByLogCount() == 0 ? "" : "the log had to replace a peer's bundle";
  }
};

void takeStep(Fleet& fleet, RandomSource& random, std::vector<std::uint64_t>& highest) {
  const std::size_t node = random.below(kNodes);
  switch (random.below(8)) {
    case 0:
    case 1: {
      // Bases around the newest: races, records that come too early, repeated old ones.
      const std::uint64_t base = random.below(fleet.chainVersion + 3);
      fleet.append(base + 1 + random.below(2), base, fleet.operators[random.below(2)]);
      break;
    }
    case 2:
      fleet.learn(node, random.below(kNodes));
      break;
    case 3:
      if (random.below(5) == 0) {
        fleet.restart(node);
        highest[node] = 0;
      }
      break;
    default:
      fleet.readOne(node);
  }
}

void checkAll(const Fleet& fleet, std::vector<std::uint64_t>& highest, const std::string& seed) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    const std::string breach = fleet.breachAt(node, highest[node]);
    CHECK_TEXT(breach.empty(), (seed + ": " + breach).c_str());
  }
}

void race(std::uint64_t seed, const std::vector<TestOperator>& operators) {
  const std::string name = "seed " + std::to_string(seed);
  RandomSource random(seed * 1024);
  Fleet fleet(operators);
  std::vector<std::uint64_t> highest(kNodes, 0);
  for (int step = 0; step < kSteps; ++step) {
    takeStep(fleet, random, highest);
    checkAll(fleet, highest, name);
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    while (fleet.positions[node] < fleet.log.size()) {
      fleet.readOne(node);
    }
    checkAll(fleet, highest, name);
    CHECK_EQUAL_TEXT(fleet.chainVersion, highest[node], name.c_str());
  }
}

}  // namespace

TEST_GROUP(Race){};

TEST(Race, NoLoserIsEverInForceAndAllNodesEndAlike) {
  const std::vector<TestOperator> operators = {makeOperator("a"), makeOperator("b")};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    race(seed, operators);
  }
}
