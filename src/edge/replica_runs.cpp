#include "edge/replica_runs.h"

#include <algorithm>

namespace gorsetrail::edge {

void ReplicaRuns::recordRun(const routing::ReplicaPtr& replica, Instant sentAt) {
  const auto known = std::find_if(runs_.begin(), runs_.end(),
                                  [&](const Run& run) { return run.replica == replica; });
  if (known == runs_.end()) {
    runs_.push_back({replica, sentAt, true});
  } else {
    known->sentAt = sentAt;
    known->reachable = true;
  }
}

void ReplicaRuns::recordUnreachable(const routing::ReplicaPtr& replica) {
  for (Run& run : runs_) {
    run.reachable = run.reachable && run.replica != replica;
  }
}

bool ReplicaRuns::mayStillBeRunning(const Run& run) {
  return run.reachable && !routing::incarnationAt(run.replica, run.sentAt)->hasEnded();
}

bool ReplicaRuns::mayStillBeRunningAt(const routing::ReplicaPtr& replica) const {
  return std::any_of(runs_.begin(), runs_.end(), [&replica](const Run& run) {
    return run.replica == replica && mayStillBeRunning(run);
  });
}

bool ReplicaRuns::mayRunOnAnotherReplica(std::uint32_t maximumReplicas) const {
  const auto counting = std::count_if(runs_.begin(), runs_.end(), mayStillBeRunning);
  return static_cast<std::uint32_t>(counting) < maximumReplicas;
}

std::size_t ReplicaRuns::endedReplicas() const {
  return static_cast<std::size_t>(std::count_if(
      runs_.begin(), runs_.end(), [](const Run& run) { return !mayStillBeRunning(run); }));
}

}  // namespace gorsetrail::edge
