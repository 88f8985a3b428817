#include "lab/sim/mutants.h"
#include "lab/sim/simulation.h"

namespace gorsetrail::sim {

RunResult runScenario(const Scenario& scenario, std::uint64_t seed, const std::string& mutant,
                      const std::string& tracedProgram) {
  Simulation simulation(scenario, seed, makeCoreFactory(mutant, scenario));
  simulation.traceProgram(tracedProgram);
  return simulation.run();
}

}  // namespace gorsetrail::sim
