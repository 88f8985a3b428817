#include "routing/replica_placement.h"

#include <algorithm>
#include <iterator>
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

ReplicaPtr ReplicaPlacement::witnessFor(const Replica& replica) const {
  ReplicaPtr witness;
  for (const ReplicaPtr& other : replicas_.all()) {
    const bool isOther = other->entry.address != replica.entry.address && other->takesWork();
    if (isOther && (!witness || other->heardAt > witness->heardAt)) {
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
// cheapest however full it is, for as long as it is full. The key stays: of the others it prefers
// the same one each time, which then holds the prompt, and programs spread over all of them.
ReplicaPtr ReplicaPlacement::placeElsewhere(const PlacementQuery& query,
                                            const std::vector<const Replica*>& allowed,
                                            Instant now) const {
  std::vector<const Replica*> sound;
  std::copy_if(allowed.begin(), allowed.end(), std::back_inserter(sound),
               [now](const Replica* replica) { return replica->isSound(now); });
  const bool toSpare = admission_.hasSpareRoom(sound);
  const bool toAny = admission_.goesAnywhere(*query.admission);
  if (!toSpare && !toAny) {
    return nullptr;
  }
  const auto takes = [&](const Replica& replica) {
    const bool hasRoom = toAny ? admission_.admitsFirstTurns(replica) : admission_.isSpare(replica);
    return hasRoom && std::find(sound.begin(), sound.end(), &replica) != sound.end();
  };
  return selector_.choose(replicas_, query.replica, takes, now);
}

}  // namespace gorsetrail::routing
