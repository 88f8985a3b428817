#include "routing/replica_placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace gorsetrail::routing {
namespace {

double leastLoadPerSlotOf(const std::vector<const Replica*>& replicas) {
  double least = std::numeric_limits<double>::max();
  for (const Replica* const replica : replicas) {
    least = std::min(least, replica->loadPerSlot());
  }
  return least;
}

}  // namespace

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
  std::vector<const Replica*> allowed;
  const auto mayGet = [&](const Replica& replica) {
    const std::optional<Barred> found = barred(replica, query.subject, now);
    if (!found) {
      allowed.push_back(&replica);
      return true;
    }
    if (found->rule != nullptr) {
      found->rule->onPassedOver(replica);
    }
    passedOver.push_back(*found);
    return false;
  };
  const ReplicaPtr cheapest = selector_.choose(replicas_, query.replica, mayGet, now);
  if (!cheapest) {
    return whyNone(passedOver);
  }
  if (!query.admission || admission_.admits(*cheapest, *query.admission)) {
    return Placed{cheapest};
  }
  if (const ReplicaPtr other = placeElsewhere(query, allowed, now)) {
    return Placed{other};
  }
  return PlacesTaken{cheapest, leastLoadPerSlotOf(allowed)};
}

// Reading a long prompt anew costs more than any queue, so the replica that holds it stays the
// cheapest however full it is, for as long as it is full.
ReplicaPtr ReplicaPlacement::placeElsewhere(const PlacementQuery& query,
                                            const std::vector<const Replica*>& allowed,
                                            Instant now) const {
  const auto spare = std::count_if(allowed.begin(), allowed.end(), [this](const Replica* replica) {
    return admission_.isSpare(*replica);
  });
  const bool hasSpareRoom = 2 * spare >= static_cast<std::ptrdiff_t>(allowed.size());
  const auto takes = [&](const Replica& replica) {
    const bool isAllowed = std::find(allowed.begin(), allowed.end(), &replica) != allowed.end();
    return isAllowed && admission_.takesElsewhere(replica, *query.admission, hasSpareRoom);
  };
  ReplicaQuery anywhere = query.replica;
  anywhere.affinityKey = {};  // None of those that are left holds the prompt.
  return selector_.choose(replicas_, anywhere, takes, now);
}

}  // namespace gorsetrail::routing
