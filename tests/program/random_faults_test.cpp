// Many seeds of random callers, losses, pauses, cuts, false suspicions and restarts.
#include "program/fault_plan.h"

#include <map>

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

namespace {

/// Replaces the replicas one after another, twice round, on a network that loses, repeats and
/// delays messages, with a request now and then.
/// \return what was acknowledged and is not replayed, or ran twice.
std::vector<std::string> lostByRollingReplacement(std::uint64_t seed) {
  constexpr unsigned kReplacements = 6;
  constexpr std::uint64_t kSeedSpread = 0x9E3779B97F4A7C15;
  JournalCluster cluster(
      5, seed * kSeedSpread,
      ClusterConditions{.lossPerMille = 60, .duplicatePerMille = 60, .latePerMille = 60});
  std::map<std::string, std::string> acknowledged;
  const auto ask = [&](const std::string& request) {
    if (const auto& answer = cluster.askUntilAnswered(request).answer) {
      acknowledged[request] = *answer;
    }
  };
  ask("first");
  if (acknowledged.empty()) {
    return {"first was never answered"};
  }
  for (unsigned index = 0; index < kReplacements; ++index) {
    cluster.run(seconds(20));
    cluster.restart(1 + index % 3);
    if (cluster.random().below(3) == 0) {
      ask("pay-" + std::to_string(index));
    }
  }
  cluster.run(seconds(20));
  cluster.heal();
  std::vector<std::string> lost;
  for (const auto& [request, answer] : acknowledged) {
    if (cluster.askUntilAnswered(request).answer != answer || cluster.runsOf(request) != 1) {
      lost.push_back(request);
    }
  }
  return lost;
}

}  // namespace

TEST_GROUP(RandomFaults){};

TEST(RandomFaults, noPromiseIsBrokenOverManySeeds) {
  constexpr std::uint64_t kSeeds = 500;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::string& violation : FaultPlan(seed, ProgramKnobs{}).run()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
  }
}

TEST(RandomFaults, replicasThatTrustAnEmptyMemoryAreCaught) {
  // A replica that counts right after a restart is the fault that the barrier guards against.
  ProgramKnobs forgetful;
  forgetful.replicaSeasoning = Duration{};
  constexpr std::uint64_t kSeeds = 500;
  std::uint64_t caught = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    caught += FaultPlan(seed, forgetful).run().empty() ? 0 : 1;
  }
  CHECK(caught > 0);
}

TEST(RandomFaults, rollingReplacementLosesNothingAcknowledged) {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::string& request : lostByRollingReplacement(seed)) {
      FAIL(("seed " + std::to_string(seed) + ": " + request).c_str());
    }
  }
}
