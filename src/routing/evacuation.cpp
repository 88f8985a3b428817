#include "routing/evacuation.h"

#include <algorithm>

namespace gorsetrail::routing {

bool EvacuationTable::onEvacuated(const std::string& zone, Instant now) {
  return since_.emplace(zone, now).second;
}

bool EvacuationTable::onTakenBack(const std::string& zone) { return since_.erase(zone) > 0; }

std::vector<std::string> EvacuationTable::onListed(const std::vector<std::string>& zones) {
  isListingRead_ = true;
  std::vector<std::string> ended;
  for (const auto& [zone, since] : since_) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
      ended.push_back(zone);
    }
  }
  for (const std::string& zone : ended) {
    onTakenBack(zone);
  }
  return ended;
}

std::optional<ExclusionReason> EvacuationRule::exclusionOf(const Replica& replica,
                                                           const PlacementSubject& /*subject*/,
                                                           Instant /*now*/) const {
  if (!table_.isKnown()) {
    return ExclusionReason::EvacuationUnknown;
  }
  if (table_.isEvacuated(replica.entry.zone)) {
    return ExclusionReason::ZoneEvacuated;
  }
  return std::nullopt;
}

Duration EvacuationRule::retryAfter(ExclusionReason reason) const {
  return reason == ExclusionReason::EvacuationUnknown ? knobs_.retryAfterUnknown
                                                      : knobs_.retryAfterEvacuated;
}

}  // namespace gorsetrail::routing
