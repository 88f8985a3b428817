/// \file Figures of a load run and their summary.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "lab/load/promise_tally.h"

namespace gorsetrail::load {

/// Figures of one run; filled by the programs.
struct LoadFigures {
  std::uint64_t programsStarted = 0;
  std::uint64_t programsCompleted = 0;  ///< All their calls were answered, and they were closed.
  std::uint64_t callsAnswered = 0;
  std::uint64_t callsGivenUp = 0;  ///< No answer in the allowed attempts.
  std::uint64_t attempts = 0;
  std::uint64_t redirects = 0;
  std::uint64_t promptTokens = 0;
  std::uint64_t cachedTokens = 0;
  std::uint64_t completionTokens = 0;
  std::map<std::string, std::uint64_t> errors;  ///< By kind, one for each refused attempt.
  std::vector<Duration> programLatencies;       ///< First call to last answer, tools included.
  Duration elapsed{};
};

/// \param share from 0 to 1.
/// \return the sample that `share` of all samples do not exceed, in milliseconds; 0 without any.
double quantileMilliseconds(std::vector<Duration> samples, double share);

/// \return one JSON object.
std::string summaryJson(const LoadFigures& figures, const PromiseTally& tally);
/// \return lines for a terminal.
std::string summaryTable(const LoadFigures& figures, const PromiseTally& tally);

}  // namespace gorsetrail::load
