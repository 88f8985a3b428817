// Whole runs: repeatable by their seed, and every check fires under its mutant.
#include "lab/sim/simulation.h"

#include "bundle/bundle_holder.h"
#include "lab/sim/mutants.h"
#include "lab/sim/site.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::sim;

namespace {

Scenario scenarioNamed(std::string_view name) {
  Result<Scenario> scenario = readScenario("lab/scenarios/" + std::string(name) + ".json");
  CHECK(succeeded(scenario));
  return valueOf(scenario);
}

// The bundle's compiled schema and the lab's key stay for the life of the program; made here, they
// are no leak of one test.
const bool kLastingThingsAreMade = [] {
  const Scenario scenario;
  const std::string envelope = makeEnvelope(scenario, BundleChoice{});
  const auto decoded = bundle::decodeEnvelope(envelope);
  return std::holds_alternative<bundle::Bundle>(bundle::parseBundle(valueOf(decoded).bundleJson));
}();

std::uint64_t brokenBy(const MutantInfo& mutant, const std::string& applied) {
  const RunResult result = runScenario(scenarioNamed(mutant.scenario), 1, applied);
  return result.violationsByPromise.at(std::string(promiseName(mutant.promise)));
}

}  // namespace

TEST_GROUP(Simulation){};

TEST(Simulation, SameSeedGivesTheSameOutcomes) {
  const Scenario scenario = scenarioNamed("tool-hang");
  const RunResult first = runScenario(scenario, 5, "");
  const RunResult again = runScenario(scenario, 5, "");
  STRCMP_EQUAL(first.digest.c_str(), again.digest.c_str());
  CHECK(first.figures == again.figures);
  const RunResult other = runScenario(scenario, 6, "");
  CHECK(first.digest != other.digest);
}

TEST(Simulation, EveryPromiseHasAMutantThatBreaksIt) {
  for (std::size_t place = 0; place < kPromiseCount; ++place) {
    const auto promise = static_cast<Promise>(place);
    if (promise == Promise::Outcome) {
      continue;  // States what the scenario expects, not a promise.
    }
    bool covered = false;
    for (const MutantInfo& mutant : mutants()) {
      covered = covered || mutant.promise == promise;
    }
    CHECK(covered);
  }
}

TEST(Simulation, EveryMutantMakesItsCheckFire) {
  for (const MutantInfo& mutant : mutants()) {
    CHECK_TEXT(brokenBy(mutant, std::string(mutant.name)) > 0, std::string(mutant.name).c_str());
  }
}

TEST(Simulation, TrueNodesBreakNothingWhenTheLogIsDown) {
  const RunResult result = runScenario(scenarioNamed("log-outage"), 1, "");
  CHECK_EQUAL(0U, result.violationCount);
}

TEST(Simulation, TrueNodesHoldBudgetsAndFreeStreams) {
  CHECK_EQUAL(0U, runScenario(scenarioNamed("looping-programs"), 1, "").violationCount);
  CHECK_EQUAL(0U, runScenario(scenarioNamed("tool-hang"), 1, "").violationCount);
  CHECK_EQUAL(0U, runScenario(scenarioNamed("drain-race"), 1, "").violationCount);
}
