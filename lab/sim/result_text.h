/// \file Results of runs as text.
#pragma once

#include <string>

#include "lab/sim/simulation.h"

namespace gorsetrail::sim {

/// \return one JSON object: scenario, seed, violations, figures, checks, digest.
std::string resultJson(const RunResult& result);
/// \return a table for a terminal.
std::string resultTable(const RunResult& result);

}  // namespace gorsetrail::sim
