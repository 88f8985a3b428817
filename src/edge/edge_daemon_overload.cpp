// The part of `EdgeDaemon` that measures load for overload control, reports it to other nodes, and
// adapts limits to it.
#include <algorithm>

#include "edge/edge_daemon.h"
#include "edge/exchange_shared.h"

namespace gorsetrail::edge {

routing::LoadReports EdgeDaemon::localReports() { return {}; }

std::vector<routing::ProgramSignal> EdgeDaemon::programSignals(
    const std::vector<routing::ServiceReport>& ownReports) const {
  std::vector<routing::ProgramSignal> signals;
  const std::map<routing::NameHash, routing::ServiceReport>& others = fleetLoad_.reports().services;
  for (const auto& [name, service] : routes_.inForce()->services) {
    if (!service.engine) {
      continue;
    }
    routing::ProgramSignal signal{name, routing::serviceLoadOf(replicas_, name), {}};
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
