/// \file One whole load run against all configured sites.
#pragma once

#include <functional>
#include <string>

#include "lab/load/load_config.h"
#include "lab/load/load_figures.h"
#include "lab/load/promise_tally.h"

namespace gorsetrail::load {

struct LoadOutcome {
  LoadFigures figures;
  PromiseTally tally;
};

/// Called about once a second with the figures so far.
using ProgressListener = std::function<void(const LoadFigures& figures)>;

/// Runs all programs and watchers to their end; blocks. SIGINT and SIGTERM end it early.
LoadOutcome runLoad(const LoadConfig& config, const ProgressListener& onProgress);

}  // namespace gorsetrail::load
