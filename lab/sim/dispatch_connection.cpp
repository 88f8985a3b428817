#include "lab/sim/dispatch_connection.h"

namespace gorsetrail::sim {
namespace {

/// A client notices after this time that a connection through a partition is silent.
constexpr Duration kIdleTimeout = seconds(5);

}  // namespace

/// \return whether a partition swallowed what was to be said; the node sees a broken connection.
bool DispatchConnection::breakIfCut() {
  if (reachable()) {
    return false;
  }
  open_ = false;
  context_.events.scheduleAfter(kIdleTimeout, [deliver = deliver_, attempt = attempt_] {
    deliver(engine::DispatchBroken{attempt, "the connection went silent"});
  });
  return true;
}

void DispatchConnection::send(const engine::DispatchEvent& event) {
  if (!open_ || breakIfCut()) {
    return;
  }
  // Delays of one connection are equal, so that its parts arrive in order.
  const Duration delay = nodeZone_ == backendZone_ ? context_.scenario.delays.withinZone
                                                   : context_.scenario.delays.betweenZones;
  context_.events.scheduleAfter(delay, [deliver = deliver_, event] { deliver(event); });
}

void DispatchConnection::finish(const engine::DispatchEvent& event) {
  send(event);
  open_ = false;
}

}  // namespace gorsetrail::sim
