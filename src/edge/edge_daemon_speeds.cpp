// The part of `EdgeDaemon` that selects replicas by expected time where their speeds differ.
#include <cstddef>

#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"

namespace gorsetrail::edge {
namespace {

/// Limit of log lines in one update: after an outage many services may change at once.
constexpr std::size_t kMaximumSelectionLines = 16;

}  // namespace

void EdgeDaemon::updateSpeedSelection() {
  if (!settings_.uses(Mechanism::ReplicaSpeeds)) {
    return;
  }
  std::size_t lines = 0;
  for (const routing::SpeedSelectionChange& change : speedContrast_.update(replicas_, clock_())) {
    if (++lines > kMaximumSelectionLines) {
      break;  // The gauge still shows the others.
    }
    log_.logImportant("speed_selection", {{"service", change.service},
                                          {"state", change.active ? "on" : "off"},
                                          {"slow_replicas", std::uint64_t{change.slowReplicas}},
                                          {"factor_percent", percentOf(change.slowRatio)}});
  }
}

}  // namespace gorsetrail::edge
