#include "routing/replica_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>

#include "routing/weighted_rendezvous.h"

namespace gorsetrail::routing {
namespace {

/// Upper bound of the factor by which a slow replica's load is scaled.
constexpr double kMaximumSlowness = 8.0;

bool wasTried(const ReplicaPtr& replica, const ReplicaQuery& query) {
  return query.tried != nullptr &&
         std::find(query.tried->begin(), query.tried->end(), replica) != query.tried->end();
}

/// \return the median of the replicas' smoothed response times; 0 if none has responded.
double medianAnswerTime(const std::vector<ReplicaPtr>& replicas) {
  std::vector<double> times;
  for (const ReplicaPtr& replica : replicas) {
    if (replica->answerMilliseconds > 0) {
      times.push_back(replica->answerMilliseconds);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double slownessOf(const Replica& replica, double usualMilliseconds, double slownessThreshold) {
  if (usualMilliseconds <= 0) {
    return 1.0;
  }
  const double ratio = replica.answerMilliseconds / usualMilliseconds;
  return ratio < slownessThreshold ? 1.0 : std::min(ratio, kMaximumSlowness);
}

}  // namespace

// With several regions, falls back to the nearest region that has eligible replicas, so that
// prompts are also cached for requests that are limited to other regions.
template <typename ScoreOf>
const Replica* ReplicaSelector::highestRanked(const std::vector<ReplicaPtr>& allowed,
                                              const ScoreOf& scoreOf) const {
  const bool looksFurther = zones_ != nullptr && zones_->hasSeveralRegions();
  const Replica* preferred = nullptr;
  Distance nearest = looksFurther ? Distance::OtherRegion : Distance::SameZone;
  decltype(scoreOf(*allowed.front())) highest = 0;
  for (const ReplicaPtr& replica : allowed) {
    const Distance distance = distanceTo(*replica);
    if (distance > nearest) {
      continue;
    }
    const auto score = scoreOf(*replica);
    if (preferred == nullptr || distance < nearest || score > highest) {
      preferred = replica.get();
      highest = score;
      nearest = distance;
    }
  }
  return preferred;
}

const Replica* ReplicaSelector::preferredReplica(const std::vector<ReplicaPtr>& allowed,
                                                 std::string_view key, bool byTime) const {
  if (key.empty()) {
    return nullptr;
  }
  if (!byTime) {
    return highestRanked(
        allowed, [key](const Replica& replica) { return rendezvousHash(key, replica.entry.id); });
  }
  return highestRanked(allowed, [key](const Replica& replica) {
    return rendezvousScore(key, replica.entry.id, replica.relativeTime.preference);
  });
}

Distance ReplicaSelector::distanceTo(const Replica& replica) const {
  if (zones_ != nullptr) {
    return zones_->between(zone_, replica.entry.zone);
  }
  return replica.entry.zone == zone_ ? Distance::SameZone : Distance::SameRegion;
}

double ReplicaSelector::costOf(const Replica& replica, bool preferred, const ReplicaQuery& query,
                               double usualMilliseconds, Instant now) const {
  const double slots = std::max(1U, replica.entry.slots);
  const double load = replica.load();
  const double waiting = std::max(0.0, load + 1.0 - slots);
  double cost =
      (knobs_.baseCost + load) * slownessOf(replica, usualMilliseconds, knobs_.slownessThreshold);
  cost += waiting * knobs_.queueingCost;
  if (!preferred) {
    cost += knobs_.nonPreferredCost +
            knobs_.costPerPromptToken * static_cast<double>(query.promptTokens);
  }
  return withStateCosts(cost, replica, query, now);
}

double ReplicaSelector::timeCostOf(const Replica& replica, bool preferred,
                                   const ReplicaQuery& query, Instant now) const {
  const double slots = std::max(1U, replica.entry.slots);
  const double load = replica.load();
  double cost = knobs_.baseCost + std::min(load, slots);
  cost += std::max(0.0, load + 1.0 - slots) *
          (query.waitsForSlot ? knobs_.expectedTime.queueingCost : knobs_.expectedTime.refusalCost);
  if (!preferred) {
    cost += knobs_.expectedTime.nonPreferredCost +
            knobs_.costPerPromptToken * static_cast<double>(query.promptTokens);
  }
  return withStateCosts(cost * replica.relativeTime.toFast, replica, query, now);
}

double ReplicaSelector::withStateCosts(double cost, const Replica& replica,
                                       const ReplicaQuery& query, Instant now) const {
  const Distance distance = distanceTo(replica);
  cost += distance == Distance::SameZone ? 0.0 : knobs_.otherZoneCost;
  cost += distance == Distance::OtherRegion ? knobs_.otherRegionCost : 0.0;
  const bool needsConnection = query.isConnected && !query.isConnected(replica);
  cost += needsConnection ? knobs_.newConnectionCost : 0.0;
  cost += replica.failureShare(now) * knobs_.failureCost;
  cost += replica.graceUntil ? knobs_.lapsedCost : 0.0;
  cost += replica.suspectUntil > now ? knobs_.suspectCost : 0.0;
  cost += replica.fullUntil > now ? knobs_.atCapacityCost : 0.0;
  return cost;
}

ReplicaPtr ReplicaSelector::choose(const ReplicaTable& table, const ReplicaQuery& query,
                                   const EligibilityFilter& isEligible, Instant now) const {
  const std::vector<ReplicaPtr>& replicas = table.ofService(query.service);
  // `isEligible` has side effects, so it is called once per replica; both steps use its results.
  std::vector<ReplicaPtr> allowed;
  allowed.reserve(replicas.size());
  std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(allowed),
               [&](const ReplicaPtr& replica) { return isEligible(*replica); });
  const bool byTime = selectsByTime(query.service);
  const Replica* const preferred = preferredReplica(allowed, query.affinityKey, byTime);
  const double usualMilliseconds = medianAnswerTime(replicas);
  ReplicaPtr chosen;
  double lowest = std::numeric_limits<double>::max();
  for (const ReplicaPtr& replica : allowed) {
    if (wasTried(replica, query)) {
      continue;
    }
    const bool isPreferred = preferred == nullptr || replica.get() == preferred;
    const double cost = byTime ? timeCostOf(*replica, isPreferred, query, now)
                               : costOf(*replica, isPreferred, query, usualMilliseconds, now);
    if (cost < lowest) {
      lowest = cost;
      chosen = replica;
    }
  }
  return chosen;
}

}  // namespace gorsetrail::routing
