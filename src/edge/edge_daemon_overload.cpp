// The part of `EdgeDaemon` that measures load for overload control, reports it to other nodes, and
// adapts limits to it.
#include <algorithm>

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
  reports.tenants = ownTenantLoads();
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

std::vector<routing::ProgramSignal> EdgeDaemon::programSignals(
    const std::vector<routing::ServiceReport>& ownReports) const {
  std::vector<routing::ProgramSignal> signals;
  const std::map<routing::NameHash, routing::ServiceReport>& others = fleetLoad_.reports().services;
  for (const auto& [name, service] : routes_.inForce()->services) {
    if (!service.engine) {
      continue;
    }
    routing::ProgramSignal signal{name, routing::serviceLoadOf(replicas_, name, &evacuations_), {}};
    const routing::NameHash hash = routing::nameHashOf(name);
    const auto own = std::find_if(
        ownReports.begin(), ownReports.end(),
        [hash](const routing::ServiceReport& report) { return report.service == hash; });
    if (own != ownReports.end()) {
      signal.report = *own;
    }
    if (const auto found = others.find(hash); found != others.end()) {
      signal.report = routing::mergedReport(signal.report, found->second);
    }
    signals.push_back(std::move(signal));
  }
  return signals;
}

void EdgeDaemon::updateProgramLimits(const std::vector<routing::ServiceReport>& ownReports,
                                     std::size_t otherNodes) {
  if (!context_.programAdmission || !routes_.inForce()) {
    return;
  }
  const std::size_t reporting = fleetLoad_.reports().reportingNodes;
  const std::vector<routing::ProgramLimitReport> changes = context_.programAdmission->update(
      programSignals(ownReports), {otherNodes, reporting}, clock_());
  for (const routing::ProgramLimitReport& change : changes) {
    log_.logImportant("program_limit", {{"service", change.service},
                                        {"limit_percent", percentOf(change.limit)},
                                        {"load_percent", percentOf(change.load)},
                                        {"inflation_percent", percentOf(change.inflation)},
                                        {"rejected_percent", percentOf(change.rejectedFraction)},
                                        {"reporting_nodes", std::uint64_t{reporting}}});
  }
}

}  // namespace gorsetrail::edge
