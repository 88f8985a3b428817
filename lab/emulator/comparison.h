/// \file The same programs under several policies, over several seeds, side by side.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/emulator/emulation.h"

namespace gorsetrail::emulator {

/// Mean and spread of one figure over the seeds.
struct FigureSpread {
  double mean = 0.0;
  double lowest = 0.0;
  double highest = 0.0;
};

/// Figures of one policy at one load.
struct PolicyRuns {
  std::string policy;
  double load = 0.0;
  std::vector<Figures> runs;  ///< One a seed, in the order of the seeds.

  [[nodiscard]] FigureSpread spreadOf(const std::string& figure) const;
};

/// What to compare.
struct ComparisonOptions {
  std::vector<std::string> policies;
  std::vector<double> loads;
  std::uint64_t firstSeed = 1;
  std::uint32_t seeds = 1;
  std::uint32_t threads = 1;
  bool retention = true;
};

/// Runs every policy at every load with the same seeds; results are in order of load, then policy.
std::vector<PolicyRuns> comparePolicies(const Workload& workload, const ComparisonOptions& options);

}  // namespace gorsetrail::emulator
