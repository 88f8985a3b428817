/// \file Choice of the replica that a request is sent to. Policy only: no I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/locality.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// What a choice depends on besides the table.
struct ReplicaQuery {
  std::string_view service;
  /// Requests of one key prefer one replica; every node prefers the same one.
  std::string_view affinityKey;
  /// Length of the prompt that the preferred replica may have read already; 0: nothing is kept.
  std::uint64_t promptTokens = 0;
  const std::vector<ReplicaPtr>* tried = nullptr;  ///< Not chosen again.
  /// \return whether this node has an idle connection to the replica; unset: not known.
  std::function<bool(const Replica&)> isConnected;
};

/// Knobs of the choice. Costs are in requests: what one more request in a replica's batch costs.
struct ReplicaSelectorKnobs {
  /// What a request costs on an empty replica: a slow replica makes this part slower too.
  double baseCost = 20.0;
  /// Reading a prompt again stops the whole batch: a batch step costs nearly the same for one
  /// request as for all slots, so reading is what fills an engine.
  double costPerPromptToken = 0.008;
  /// Only splits ties: each key prefers some replica.
  double otherReplicaCost = 0.5;
  /// Bytes between zones are priced, and the way is longer.
  double otherZoneCost = 0.8;
  /// Besides `otherZoneCost`: the round trip comes out of the program's time, and the bytes cost
  /// several times those between zones. With 4, a sixth fewer bytes between regions than with 0 on
  /// days with faults, at the same share served (8 ms between regions, mean of six plays each).
  double otherRegionCost = 4.0;
  /// Opening a connection is priced and takes a round trip. Less than two requests: between
  /// replicas whose load differs by that much the emptier one is worth it.
  double newConnectionCost = 1.5;
  /// For each request that would have to wait for a slot.
  double waitingCost = 2.0;
  /// Answers this many times slower than the middle one count as a slow replica.
  double slowFrom = 2.0;
  /// Times the share of its latest requests that failed, at all nodes: a replica that fails part of
  /// its requests looks well between two failures.
  double failureCost = 80.0;
  /// Chosen only when the others are overloaded.
  double suspectCost = 1000.0;
  /// Its registration lapsed: chosen only when there is no other.
  double doubtfulCost = 10000.0;
  /// It refused for want of room a moment ago.
  double fullCost = 100.0;
};

/// Chooses the cheapest replica: its load from all nodes, weighed by how slowly it answered lately,
/// plus the costs above.
class ReplicaSelector {
 public:
  /// \param zones outlives this object; null: there is one region.
  ReplicaSelector(std::string zone, ReplicaSelectorKnobs knobs, const ZoneTable* zones = nullptr)
      : zone_(std::move(zone)), knobs_(knobs), zones_(zones) {}

  /// Whether a replica may get the request at all.
  using MayGet = std::function<bool(const Replica&)>;

  /// Calls `mayGet` once for each of the service's replicas, in their order.
  /// \return the replica, or null when none may get the request.
  [[nodiscard]] ReplicaPtr choose(const ReplicaTable& table, const ReplicaQuery& query,
                                  const MayGet& mayGet, Instant now) const;

 private:
  /// \param allowed those that may get the request.
  /// \return the replica that every node of the zone prefers for the key; null without a key.
  [[nodiscard]] const Replica* preferredReplica(const std::vector<ReplicaPtr>& allowed,
                                                std::string_view key) const;
  [[nodiscard]] Distance distanceTo(const Replica& replica) const;
  [[nodiscard]] double costOf(const Replica& replica, bool preferred, const ReplicaQuery& query,
                              double usualMilliseconds, Instant now) const;

  std::string zone_;
  ReplicaSelectorKnobs knobs_;
  const ZoneTable* zones_;
};

}  // namespace gorsetrail::routing
