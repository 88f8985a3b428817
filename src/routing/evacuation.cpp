#include "routing/evacuation.h"

#include <algorithm>

namespace gorsetrail::routing {

bool EvacuationTable::onEvacuated(const std::string& zone, Instant now) {
  return since_.emplace(zone, now).second;
}

bool EvacuationTable::onTakenBack(const std::string& zone) { return since_.erase(zone) > 0; }

std::vector<std::string> EvacuationTable::onListed(const std::vector<std::string>& zones) {
  known_ = true;
  std::vector<std::string> takenBack;
  for (const auto& [zone, since] : since_) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
      takenBack.push_back(zone);
    }
  }
  for (const std::string& zone : takenBack) {
    onTakenBack(zone);
  }
  return takenBack;
}

std::optional<PlacementBar> EvacuationRule::barOf(const Replica& replica,
                                                  const PlacementSubject& /*subject*/,
                                                  Instant /*now*/) const {
  if (!table_.isKnown()) {
    return PlacementBar::EvacuationUnknown;
  }
  if (table_.isEvacuated(replica.entry.zone)) {
    return PlacementBar::ZoneEvacuated;
  }
  return std::nullopt;
}

Duration EvacuationRule::retryAfter(PlacementBar bar) const {
  return bar == PlacementBar::EvacuationUnknown ? knobs_.retryAfterUnknown
                                                : knobs_.retryAfterEvacuated;
}

}  // namespace gorsetrail::routing
