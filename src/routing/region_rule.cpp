#include "routing/region_rule.h"

namespace gorsetrail::routing {

std::optional<ExclusionReason> RegionRule::exclusionOf(const Replica& replica,
                                                       const PlacementSubject& subject,
                                                       Instant /*now*/) const {
  if (subject.allowedRegions == nullptr ||
      zones_.isIn(replica.entry.zone, *subject.allowedRegions)) {
    return std::nullopt;
  }
  return ExclusionReason::RegionNotAllowed;
}

Duration RegionRule::retryAfter(ExclusionReason /*reason*/) const { return knobs_.retryAfter; }

}  // namespace gorsetrail::routing
