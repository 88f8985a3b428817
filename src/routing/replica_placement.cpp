#include "routing/replica_placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// \return whether the reason excludes the replica from the request at any time.
bool isPermanent(ExclusionReason reason) {
  return reason == ExclusionReason::RegionNotAllowed ||
         reason == ExclusionReason::OtherSoftwareVersion;
}

double leastLoadPerSlotOf(const std::vector<const Replica*>& replicas) {
  double least = std::numeric_limits<double>::max();
  for (const Replica* const replica : replicas) {
    least = std::min(least, replica->timeLoadPerSlot());
  }
  return least;
}

}  // namespace

std::string_view exclusionReasonName(ExclusionReason reason) {
  switch (reason) {
    case ExclusionReason::Leaving:
      return "replicas_leaving";
    case ExclusionReason::ZoneEvacuated:
      return "zones_evacuated";
    case ExclusionReason::EvacuationUnknown:
      return "evacuations_unknown";
    case ExclusionReason::ColdRateExhausted:
      return "replicas_cold";
    case ExclusionReason::OtherSoftwareVersion:
      return "software_version_gone";
    case ExclusionReason::NoSignOfLife:
      return "replicas_may_have_ended";
    case ExclusionReason::RegionNotAllowed:
      break;
  }
  return "region_not_allowed";
}

ReplicaPlacement::ReplicaPlacement(const ReplicaTable& replicas, const ReplicaSelector& selector,
                                   const AdmissionPolicy& admission,
                                   std::vector<PlacementRule*> rules)
    : replicas_(replicas), selector_(selector), admission_(admission), rules_(std::move(rules)) {}

std::optional<ReplicaPlacement::Exclusion> ReplicaPlacement::findExclusion(
    const Replica& replica, const PlacementSubject& subject, Instant now) const {
  if (!replica.acceptsRequests()) {
    return Exclusion{ExclusionReason::Leaving, nullptr};
  }
  for (PlacementRule* const rule : rules_) {
    if (const auto reason = rule->exclusionOf(replica, subject, now)) {
      return Exclusion{*reason, rule};
    }
  }
  return std::nullopt;
}

std::optional<ExclusionReason> ReplicaPlacement::exclusionOf(const Replica& replica,
                                                             const PlacementSubject& subject,
                                                             Instant now) const {
  const std::optional<Exclusion> found = findExclusion(replica, subject, now);
  return found ? std::optional(found->reason) : std::nullopt;
}

bool ReplicaPlacement::hasReplicaOf(std::string_view service, const std::string& version) const {
  const std::vector<ReplicaPtr>& replicas = replicas_.ofService(service);
  return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaPtr& replica) {
    return replica->acceptsRequests() && replica->entry.softwareVersion == version;
  });
}

ReplicaPtr ReplicaPlacement::witnessFor(const Replica& replica) const {
  ReplicaPtr witness;
  for (const ReplicaPtr& other : replicas_.all()) {
    const bool isOther = other->entry.address != replica.entry.address && other->acceptsRequests();
    if (isOther && (!witness || other->lastDataAt > witness->lastDataAt)) {
      witness = other;
    }
  }
  return witness;
}

std::string_view ReplicaPlacement::onSent(const Replica& replica, Instant now) {
  std::string_view grant;
  for (PlacementRule* const rule : rules_) {
    if (grant.empty()) {
      grant = rule->grantNameOf(replica, now);
    }
    rule->onSent(replica, now);
  }
  return grant;
}

NoReplica ReplicaPlacement::noReplicaFor(const std::vector<Exclusion>& exclusions) {
  std::map<ExclusionReason, std::size_t> counts;
  NoReplica result;
  std::size_t most = 0;
  for (const Exclusion& found : exclusions) {
    if (found.rule == nullptr) {
      continue;
    }
    // Replicas that can never serve the request are reported only if no other rule excluded one.
    const std::size_t count = isPermanent(found.reason) ? 1 : 1 + ++counts[found.reason];
    if (count > most) {
      most = count;
      result.reason = found.reason;
      result.retryAfter = found.rule->retryAfter(found.reason);
    }
  }
  return result;
}

Placement ReplicaPlacement::place(const PlacementQuery& query, Instant now) const {
  std::vector<Exclusion> exclusions;
  std::vector<const Replica*> allowed;
  const auto isEligible = [&](const Replica& replica) {
    const std::optional<Exclusion> found = findExclusion(replica, query.subject, now);
    if (!found) {
      allowed.push_back(&replica);
      return true;
    }
    if (found->rule != nullptr) {
      found->rule->onExcluded(replica);
    }
    exclusions.push_back(*found);
    return false;
  };
  const ReplicaPtr cheapest = selector_.choose(replicas_, query.replica, isEligible, now);
  if (!cheapest) {
    // Replicas that were tried before may serve the request later.
    const auto isRelevant = [&](const Exclusion& found) {
      return allowed.empty() || !isPermanent(found.reason);
    };
    exclusions.erase(std::stable_partition(exclusions.begin(), exclusions.end(), isRelevant),
                     exclusions.end());
    return noReplicaFor(exclusions);
  }
  if (!query.admission || admission_.admits(*cheapest, *query.admission)) {
    return Placed{cheapest};
  }
  if (const ReplicaPtr other = chooseOverflowReplica(query, allowed, now)) {
    return Placed{other};
  }
  return RefusedByAdmission{cheapest, leastLoadPerSlotOf(allowed)};
}

// Processing a long prompt again costs more than any queue, so the replica that cached it remains
// the cheapest even if it is full. The affinity key also selects the overflow replica, so that a
// program returns to the same one, which then has its prompt, and programs spread over all
// candidates.
ReplicaPtr ReplicaPlacement::chooseOverflowReplica(const PlacementQuery& query,
                                                   const std::vector<const Replica*>& allowed,
                                                   Instant now) const {
  std::vector<const Replica*> healthy;
  std::copy_if(allowed.begin(), allowed.end(), std::back_inserter(healthy),
               [now](const Replica* replica) { return replica->isHealthy(now); });
  const auto isHealthy = [&](const Replica& replica) {
    return std::find(healthy.begin(), healthy.end(), &replica) != healthy.end();
  };
  if (selector_.selectsByTime(query.replica.service)) {
    // Slow replicas keep free slots while the fast ones are full: the fleet's mean load says
    // nothing about room, and the cost of processing the prompt again is part of the choice.
    const auto admits = [&](const Replica& replica) {
      return admission_.admits(replica, *query.admission) && isHealthy(replica);
    };
    return selector_.choose(replicas_, query.replica, admits, now);
  }
  const bool toSpare = admission_.hasSpareCapacity(healthy);
  const bool toAny = admission_.mayOverflow(*query.admission);
  if (!toSpare && !toAny) {
    return nullptr;
  }
  const auto isOverflowTarget = [&](const Replica& replica) {
    const bool hasRoom =
        toAny ? admission_.admitsFirstTurns(replica) : admission_.isLightlyLoaded(replica);
    // The learned limit may leave overdue programs less than a lightly loaded replica has.
    const bool exceedsShare = query.admission->stage == WorkStage::Overdue &&
                              !admission_.admits(replica, *query.admission);
    return hasRoom && !exceedsShare && isHealthy(replica);
  };
  return selector_.choose(replicas_, query.replica, isOverflowTarget, now);
}

}  // namespace gorsetrail::routing
