/// \file Selection of the replica for a request by cost. Policy only: no I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/locality.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Inputs of a selection besides the replica table.
struct ReplicaQuery {
  std::string_view service;
  /// Requests with the same key prefer the same replica at every node.
  std::string_view affinityKey;
  /// Length of the prompt that the preferred replica may have cached; 0: nothing is cached.
  std::uint64_t promptTokens = 0;
  const std::vector<ReplicaPtr>* tried = nullptr;  ///< Replicas that are not chosen again.
  /// \return whether this node has an idle connection to the replica; unset: unknown.
  std::function<bool(const Replica&)> isConnected;
};

/// Cost weights. The unit is the cost of one more request in a replica's batch.
struct ReplicaSelectorKnobs {
  /// Cost of a request on an idle replica; scaled by the replica's slowness.
  double baseCost = 20.0;
  /// Cost of processing the prompt where it is not cached: it stalls the whole batch, while one
  /// more request in a batch step costs almost nothing.
  double costPerPromptToken = 0.008;
  /// Small, so that it only breaks ties in favour of the key's preferred replica.
  double nonPreferredCost = 0.5;
  /// Covers the price and latency of traffic between zones.
  double otherZoneCost = 0.8;
  /// Added to `otherZoneCost`: traffic between regions costs several times as much and adds a
  /// longer round trip. With 4, traffic between regions was a sixth lower than with 0 on days with
  /// faults, with the same share of requests served (8 ms between regions, mean of six runs each).
  double otherRegionCost = 4.0;
  /// Covers the price and round trip of a new connection. A replica that has fewer requests by at
  /// least this many is preferred in spite of it.
  double newConnectionCost = 1.5;
  /// Per request that would have to wait for a slot.
  double queueingCost = 2.0;
  /// A replica is slow if its response time is at least this many times the median.
  double slownessThreshold = 2.0;
  /// Multiplied by the fraction of recent requests, of all nodes, that failed, so that a replica
  /// with intermittent failures is avoided between failures too.
  double failureCost = 80.0;
  /// High enough that a suspect replica is chosen only if the others are overloaded.
  double suspectCost = 1000.0;
  /// High enough that a replica with a lapsed registration is chosen only if there is no other.
  double lapsedCost = 10000.0;
  /// The replica has just refused a request because it was at capacity.
  double atCapacityCost = 100.0;
};

/// Chooses the replica with the lowest cost: its load from all nodes scaled by its recent slowness,
/// plus the costs in `ReplicaSelectorKnobs`.
class ReplicaSelector {
 public:
  /// \param zones outlives this object; null: all zones are in one region.
  ReplicaSelector(std::string zone, ReplicaSelectorKnobs knobs, const ZoneTable* zones = nullptr)
      : zone_(std::move(zone)), knobs_(knobs), zones_(zones) {}

  /// \return whether a replica may receive the request.
  using EligibilityFilter = std::function<bool(const Replica&)>;

  /// Calls `isEligible` exactly once for each replica of the service, in table order.
  /// \return the cheapest eligible replica; null if there is none.
  [[nodiscard]] ReplicaPtr choose(const ReplicaTable& table, const ReplicaQuery& query,
                                  const EligibilityFilter& isEligible, Instant now) const;

 private:
  /// \return the replica that every node of the zone prefers for the key, by rendezvous hashing
  /// over the eligible replicas; null without a key.
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
