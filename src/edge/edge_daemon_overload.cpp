// The part of `EdgeDaemon` that measures load for overload control and reports it to other nodes.
#include "edge/edge_daemon.h"

#include "edge/edge_daemon_shared.h"

namespace gorsetrail::edge {
namespace {

/// Limit of log lines in one scan of the replicas: a failing link slows all replicas behind it.
constexpr std::size_t kMaximumSpeedLines = 8;

}  // namespace

routing::LoadReports EdgeDaemon::localReports(const std::vector<routing::ReplicaPtr>& replicas) {
  const Instant now = clock_();
  routing::LoadReports reports;
  if (settings_.overloadControl && settings_.uses(Mechanism::ServiceTimes)) {
    reports.services = serviceTimes_.reports(now);
  }
  if (settings_.uses(Mechanism::ReplicaSpeeds)) {
    reports.speeds = serviceTimes_.speedReports(replicas, now);
  }
  return reports;
}

void EdgeDaemon::updateReplicaSpeeds(const std::vector<routing::ReplicaPtr>& replicas) {
  std::size_t lines = 0;
  for (const routing::ReplicaSpeedChange& change : serviceTimes_.updateSpeeds(replicas, clock_())) {
    if (++lines > kMaximumSpeedLines) {
      break;  // The gauge still counts the others.
    }
    log_.logImportant("replica_speed", {{"replica", change.replica->entry.id},
                                        {"zone", change.replica->entry.zone},
                                        {"state", change.isSlow ? "slow" : "usual"},
                                        {"factor_percent", percentOf(change.replica->timeFactor)},
                                        {"samples", static_cast<std::uint64_t>(change.samples)}});
  }
}

}  // namespace gorsetrail::edge
