/// \file Choice of the replica that a request is sent to. Policy only: no I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// What a choice depends on besides the table.
struct ReplicaQuery {
  std::string_view service;
  std::string_view affinityKey;  ///< Session of the request; empty when it has none.
  const std::vector<ReplicaPtr>* tried = nullptr;  ///< Not chosen again.
};

/// Knobs of the choice.
struct ReplicaSelectorKnobs {
  /// Cost of another zone, in requests: bytes between zones are priced, and the way is longer.
  double otherZoneCost = 3.0;
  /// Cost of a replica that does not hold the session's prompt, in requests.
  double affinityCost = 2.0;
  /// Cost of a replica under suspicion, in requests: chosen only when the others are overloaded.
  double suspectCost = 1000.0;
  /// Cost of a replica that refused for want of room a moment ago.
  double fullCost = 100.0;
};

/// Chooses the cheapest replica: load seen by this node, scaled to the nodes of its zone, plus the
/// costs above, weighed by how slowly the replica answered lately.
class ReplicaSelector {
 public:
  ReplicaSelector(std::string zone, ReplicaSelectorKnobs knobs)
      : zone_(std::move(zone)), knobs_(knobs) {}

  /// \param nodesInZone nodes that send to the same replicas, this one included.
  void setNodesInZone(std::size_t nodesInZone) { nodesInZone_ = nodesInZone; }

  /// \return the replica, or null when none takes work.
  [[nodiscard]] ReplicaPtr choose(const ReplicaTable& table, const ReplicaQuery& query,
                                  Instant now) const;

 private:
  [[nodiscard]] double costOf(const Replica& replica, bool preferred, double usualMilliseconds,
                              Instant now) const;

  std::string zone_;
  ReplicaSelectorKnobs knobs_;
  std::size_t nodesInZone_ = 1;
};

}  // namespace gorsetrail::routing
