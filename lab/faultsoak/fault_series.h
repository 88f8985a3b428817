/// \file Series of signals, restarts and changes that meet one another: what an operator, a process
/// manager or an impatient script does to a node that is not ready with the last one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/random.h"
#include "lab/faultsoak/fault_plan.h"

namespace gorsetrail::lab {

enum class FaultSeries : std::uint8_t {
  StopTwice,            ///< SIGTERM again amid a graceful stop.
  KillAmidStop,         ///< SIGKILL amid a graceful stop.
  ReloadAmidStop,       ///< SIGHUP with changed settings amid a graceful stop.
  PauseAmidStop,        ///< SIGSTOP amid a graceful stop.
  StopWhilePaused,      ///< SIGTERM to a process that stands still.
  ReloadsInARow,        ///< SIGHUP again and again, the settings changed each time.
  KillWhileStarting,    ///< SIGKILL, and again while the next process starts.
  RollingRestart,       ///< SIGTERM to one node after the other; a pause and a configuration amid.
  ChangesInARow,        ///< Configurations that follow one another at once.
  ReplicaStartsInARow,  ///< One replica starts again under its id, and again.
};

/// How many kinds of series there are.
inline constexpr std::size_t kFaultSeriesKinds = 10;

/// \param at when the first fault strikes, from the start of traffic.
/// \return the faults in order of their times; all that is left open follows from `random`.
std::vector<SoakFault> planSeries(FaultSeries series, RandomSource& random, Duration at,
                                  std::size_t nodes, std::size_t replicas);

}  // namespace gorsetrail::lab
