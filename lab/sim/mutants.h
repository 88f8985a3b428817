/// \file Faulty nodes that show that each check of the promises can fire. Lab code only: a mutant
/// wraps a true node core and lies, drops or repeats on one point.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/sim/node_host.h"
#include "lab/sim/promise_report.h"

namespace gorsetrail::sim {

/// A mutant, the promise whose check it must break, and the scenario that shows it.
struct MutantInfo {
  std::string_view name;
  Promise promise;
  std::string_view scenario;
  std::string_view what;
};

const std::vector<MutantInfo>& mutants();
/// \return null when there is no such mutant.
const MutantInfo* findMutant(std::string_view name);
/// \return a factory of cores with that fault; of true cores when `name` is empty.
/// \param scenario outlives the factory.
CoreFactory makeCoreFactory(std::string_view name, const Scenario& scenario);

}  // namespace gorsetrail::sim
