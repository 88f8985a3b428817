#include "edge/replica_runs.h"

#include <algorithm>

namespace gorsetrail::edge {

void ReplicaRuns::noteRun(const routing::ReplicaPtr& replica) {
  const auto known = std::find_if(runs_.begin(), runs_.end(),
                                  [&](const Run& run) { return run.replica == replica; });
  if (known == runs_.end()) {
    runs_.push_back({replica, true});
  } else {
    known->reachable = true;
  }
}

void ReplicaRuns::noteUnreachable(const routing::ReplicaPtr& replica) {
  for (Run& run : runs_) {
    run.reachable = run.reachable && run.replica != replica;
  }
}

bool ReplicaRuns::mayRunOnAnother(std::uint32_t maximum) const {
  const auto counted =
      std::count_if(runs_.begin(), runs_.end(), [](const Run& run) { return run.reachable; });
  return static_cast<std::uint32_t>(counted) < maximum;
}

}  // namespace gorsetrail::edge
