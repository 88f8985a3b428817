#include "lab/sim/sim_context.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <utility>

namespace gorsetrail::sim {
namespace {

constexpr double kLongestOverMean = 10.0;

CheckerLimits limitsOf(const Scenario& scenario) {
  CheckerLimits limits;
  limits.callsPerProgram = scenario.budget.calls;
  limits.tokensPerProgram = scenario.budget.tokens;
  return limits;
}

}  // namespace

SimContext::SimContext(Scenario runScenario, std::uint64_t runSeed)
    : scenario(std::move(runScenario)),
      seed(runSeed),
      random(runSeed * 0x9E3779B97F4A7C15ULL + 1),
      network(events, random, scenario.delays),
      checker(limitsOf(scenario), report) {
  network.setConditions(scenario.network);
}

void SimContext::trace(const std::string& program, const std::string& text) const {
  if (!tracedProgram.empty() && tracedProgram == program) {
    std::cerr << toMilliseconds(now() - Instant{}) / 1000.0 << " s " << text << "\n";
  }
}

Duration SimContext::exponential(Duration mean) {
  const double draw = -std::log(1.0 - random.fraction());
  const double factor = std::min(draw, kLongestOverMean);
  return Duration(static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor));
}

}  // namespace gorsetrail::sim
