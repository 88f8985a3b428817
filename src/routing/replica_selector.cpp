#include "routing/replica_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace gorsetrail::routing {
namespace {

/// Upper bound of the factor by which a slow replica's load is scaled.
constexpr double kMaximumSlowness = 8.0;

std::uint64_t rendezvousWeightOf(std::string_view key, std::string_view replicaId) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(replicaId.data(), replicaId.size(), seed);
}

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
const Replica* ReplicaSelector::preferredReplica(const std::vector<ReplicaPtr>& allowed,
                                                 std::string_view key) const {
  const bool looksFurther = zones_ != nullptr && zones_->hasSeveralRegions();
  const Replica* preferred = nullptr;
  Distance nearest = looksFurther ? Distance::OtherRegion : Distance::SameZone;
  std::uint64_t highest = 0;
  if (key.empty()) {
    return nullptr;
  }
  for (const ReplicaPtr& replica : allowed) {
    const Distance distance = distanceTo(*replica);
    if (distance > nearest) {
      continue;
    }
    const std::uint64_t weight = rendezvousWeightOf(key, replica->entry.id);
    if (preferred == nullptr || distance < nearest || weight > highest) {
      preferred = replica.get();
      highest = weight;
      nearest = distance;
    }
  }
  return preferred;
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
  const Replica* const preferred = preferredReplica(allowed, query.affinityKey);
  const double usualMilliseconds = medianAnswerTime(replicas);
  ReplicaPtr chosen;
  double lowest = std::numeric_limits<double>::max();
  for (const ReplicaPtr& replica : allowed) {
    if (wasTried(replica, query)) {
      continue;
    }
    const bool isPreferred = preferred == nullptr || replica.get() == preferred;
    const double cost = costOf(*replica, isPreferred, query, usualMilliseconds, now);
    if (cost < lowest) {
      lowest = cost;
      chosen = replica;
    }
  }
  return chosen;
}

}  // namespace gorsetrail::routing
