#include "routing/replica_placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace gorsetrail::routing {

std::string_view placementBarName(PlacementBar bar) {
  switch (bar) {
    case PlacementBar::Leaving:
      return "replicas_leaving";
    case PlacementBar::ZoneEvacuated:
      return "zones_evacuated";
    case PlacementBar::EvacuationUnknown:
      return "evacuations_unknown";
    case PlacementBar::ColdRateSpent:
      return "replicas_cold";
    case PlacementBar::RegionNotAllowed:
      break;
  }
  return "region_not_allowed";
}

ReplicaPlacement::ReplicaPlacement(const ReplicaTable& replicas, const ReplicaSelector& selector,
                                   const AdmissionPolicy& admission,
                                   std::vector<PlacementRule*> rules)
    : replicas_(replicas), selector_(selector), admission_(admission), rules_(std::move(rules)) {}

std::optional<ReplicaPlacement::Barred> ReplicaPlacement::barred(const Replica& replica,
                                                                 const PlacementSubject& subject,
                                                                 Instant now) const {
  if (!replica.takesWork()) {
    return Barred{PlacementBar::Leaving, nullptr};
  }
  for (PlacementRule* const rule : rules_) {
    if (const auto bar = rule->barOf(replica, subject, now)) {
      return Barred{*bar, rule};
    }
  }
  return std::nullopt;
}

std::optional<PlacementBar> ReplicaPlacement::barOf(const Replica& replica,
                                                    const PlacementSubject& subject,
                                                    Instant now) const {
  const std::optional<Barred> found = barred(replica, subject, now);
  return found ? std::optional(found->bar) : std::nullopt;
}

void ReplicaPlacement::onSent(const Replica& replica, Instant now) {
  for (PlacementRule* const rule : rules_) {
    rule->onSent(replica, now);
  }
}

NoReplica ReplicaPlacement::whyNone(const std::vector<Barred>& passedOver) {
  std::map<PlacementBar, std::size_t> counts;
  NoReplica result;
  std::size_t most = 0;
  for (const Barred& found : passedOver) {
    if (found.rule == nullptr) {
      continue;
    }
    // Replicas elsewhere could not serve the request in any case: they are the reason only where
    // nothing keeps back those that could.
    const bool isElsewhere = found.bar == PlacementBar::RegionNotAllowed;
    const std::size_t count = isElsewhere ? 1 : 1 + ++counts[found.bar];
    if (count > most) {
      most = count;
      result.bar = found.bar;
      result.retryAfter = found.rule->retryAfter(found.bar);
    }
  }
  return result;
}

Placement ReplicaPlacement::place(const PlacementQuery& query, Instant now) const {
  std::vector<Barred> passedOver;
  double leastLoadPerSlot = std::numeric_limits<double>::max();
  const auto mayGet = [&](const Replica& replica) {
    const std::optional<Barred> found = barred(replica, query.subject, now);
    if (!found) {
      leastLoadPerSlot = std::min(leastLoadPerSlot, replica.loadPerSlot());
      return true;
    }
    if (found->rule != nullptr) {
      found->rule->onPassedOver(replica);
    }
    passedOver.push_back(*found);
    return false;
  };
  const ReplicaPtr replica = selector_.choose(replicas_, query.replica, mayGet, now);
  if (!replica) {
    return whyNone(passedOver);
  }
  const auto& admission = query.admission;
  if (admission && !admission_.admits(*replica, admission->stage, admission->priority)) {
    return PlacesTaken{replica, leastLoadPerSlot};
  }
  return Placed{replica};
}

}  // namespace gorsetrail::routing
