/// \file The figures of one emulation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace gorsetrail::emulator {

/// Name (with its unit) to number, in order of name.
using Figures = std::map<std::string, double>;

/// Collects samples of the measured programs and calls.
struct Measures {
  std::vector<double> programLatencyMs;  ///< First call to last answer, less tool pauses.
  std::vector<double> programTotalMs;    ///< With tool pauses.
  std::vector<double> firstTokenMs;
  std::vector<double> tenantSlowdownSum;  ///< Latency over least possible latency.
  std::vector<std::uint32_t> tenantPrograms;
  std::uint64_t calls = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t cachedTokens = 0;
  std::uint64_t recomputedTokens = 0;
  std::uint64_t completedPrograms = 0;
  std::uint64_t leftPrograms = 0;       ///< A person did not wait any longer.
  std::uint64_t abandonedPrograms = 0;  ///< By the workload's plan, whatever the policy.
  std::uint64_t unfinishedPrograms = 0;
};

/// \return the value that `share` of the samples do not exceed; 0 when there are none.
double quantileOf(std::vector<double> samples, double share);
/// \return Jain's index of the values: 1 when all are equal, 1/n when one has all.
double jainIndex(const std::vector<double>& values);

/// \param measuredTime virtual time in which measured programs arrived.
Figures figuresOf(const Measures& measures, Duration measuredTime);

}  // namespace gorsetrail::emulator
