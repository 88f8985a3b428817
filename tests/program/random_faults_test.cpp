// Many seeds of random callers, losses, pauses, cuts, false suspicions and restarts.
#include "program/fault_plan.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

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
