#include "edge/replica_runs.h"

#include <algorithm>

namespace gorsetrail::edge {

void ReplicaRuns::noteRun(const routing::ReplicaPtr& replica, Instant sentAt) {
  const auto known = std::find_if(runs_.begin(), runs_.end(),
                                  [&](const Run& run) { return run.replica == replica; });
  if (known == runs_.end()) {
    runs_.push_back({replica, sentAt, true});
  } else {
    known->sentAt = sentAt;
    known->reachable = true;
  }
}

void ReplicaRuns::noteUnreachable(const routing::ReplicaPtr& replica) {
  for (Run& run : runs_) {
    run.reachable = run.reachable && run.replica != replica;
  }
}

bool ReplicaRuns::mayGoOn(const Run& run) {
  return run.reachable && !routing::lifeAt(run.replica, run.sentAt)->hasEnded();
}

bool ReplicaRuns::counts(const routing::ReplicaPtr& replica) const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [&replica](const Run& run) { return run.replica == replica && mayGoOn(run); });
}

bool ReplicaRuns::mayRunOnAnother(std::uint32_t maximum) const {
  const auto counted = std::count_if(runs_.begin(), runs_.end(), mayGoOn);
  return static_cast<std::uint32_t>(counted) < maximum;
}

}  // namespace gorsetrail::edge
