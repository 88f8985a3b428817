/// \file Selection of the replica for a request by cost. Policy only: no I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/locality.h"
#include "routing/replica_table.h"
#include "routing/speed_contrast.h"

namespace gorsetrail::routing {

/// Inputs of a selection besides the replica table.
struct ReplicaQuery {
  std::string_view service;
  /// Requests with the same key prefer the same replica at every node.
  std::string_view affinityKey;
  /// Length of the prompt that the preferred replica may have cached; 0: nothing is cached.
  std::uint64_t promptTokens = 0;
  /// Whether requests may wait for a slot at the service's replicas; others refuse them.
  bool waitsForSlot = true;
  const std::vector<ReplicaPtr>* tried = nullptr;  ///< Replicas that are not chosen again.
  /// \return whether this node has an idle connection to the replica; unset: unknown.
  std::function<bool(const Replica&)> isConnected;
};

/// Cost weights of services whose replicas differ in speed (`SpeedContrast`). The unit is the same
/// as in `ReplicaSelectorKnobs`, whose other weights apply unchanged: a request on an idle fast
/// replica costs `baseCost`. All of these costs are multiplied by the replica's relative duration.
struct ExpectedTimeKnobs {
  /// Per request that would have to wait for a slot: with 6 to 8 slots, the wait for one of them is
  /// an eighth to a fifth of a request.
  double queueingCost = 4.0;
  /// Per request above the slots of a replica that refuses requests when it is full: a refusal
  /// costs a dispatch, and the request after the last attempt.
  double refusalCost = 60.0;
  /// Replaces `ReplicaSelectorKnobs::nonPreferredCost`. The load of other nodes is known 100 ms
  /// late or more, which is the duration of a request: nodes that all send to the least loaded
  /// replica fill its queue before they see it. Rendezvous hashing spreads requests without that
  /// delay, so requests leave their preferred replica only for more than a whole request's time.
  double nonPreferredCost = 30.0;
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
  ExpectedTimeKnobs expectedTime;
};

/// Chooses the replica with the lowest cost: its load from all nodes scaled by its recent slowness,
/// plus the costs in `ReplicaSelectorKnobs`. For services whose replicas differ in speed, the cost
/// is the expected time until the request is complete instead of the load.
class ReplicaSelector {
 public:
  /// \param zones outlives this object; null: all zones are in one region.
  /// \param speeds outlives this object; null: replicas are never selected by expected time.
  ReplicaSelector(std::string zone, ReplicaSelectorKnobs knobs, const ZoneTable* zones = nullptr,
                  const SpeedContrast* speeds = nullptr)
      : zone_(std::move(zone)), knobs_(knobs), zones_(zones), speeds_(speeds) {}

  /// \return whether a replica may receive the request.
  using EligibilityFilter = std::function<bool(const Replica&)>;

  /// Calls `isEligible` exactly once for each replica of the service, in table order.
  /// \return the cheapest eligible replica; null if there is none.
  [[nodiscard]] ReplicaPtr choose(const ReplicaTable& table, const ReplicaQuery& query,
                                  const EligibilityFilter& isEligible, Instant now) const;

  /// \return whether replicas of the service are currently selected by expected time.
  [[nodiscard]] bool selectsByTime(std::string_view service) const {
    return speeds_ != nullptr && speeds_->isActive(service);
  }

 private:
  /// \return the replica that every node of the zone prefers for the key, by rendezvous hashing
  /// over the eligible replicas; null without a key.
  [[nodiscard]] const Replica* preferredReplica(const std::vector<ReplicaPtr>& allowed,
                                                std::string_view key, bool byTime) const;
  /// \return the replica with the highest score among those that may be preferred.
  template <typename ScoreOf>
  [[nodiscard]] const Replica* highestRanked(const std::vector<ReplicaPtr>& allowed,
                                             const ScoreOf& scoreOf) const;
  [[nodiscard]] Distance distanceTo(const Replica& replica) const;
  [[nodiscard]] double costOf(const Replica& replica, bool preferred, const ReplicaQuery& query,
                              double usualMilliseconds, Instant now) const;
  /// \return the replica's cost by expected time.
  [[nodiscard]] double timeCostOf(const Replica& replica, bool preferred, const ReplicaQuery& query,
                                  Instant now) const;
  /// \return `cost` with the costs added that do not depend on load and speed.
  [[nodiscard]] double withStateCosts(double cost, const Replica& replica,
                                      const ReplicaQuery& query, Instant now) const;

  std::string zone_;
  ReplicaSelectorKnobs knobs_;
  const ZoneTable* zones_;
  const SpeedContrast* speeds_;
};

}  // namespace gorsetrail::routing
