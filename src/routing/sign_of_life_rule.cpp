#include "routing/sign_of_life_rule.h"

namespace gorsetrail::routing {

std::optional<ExclusionReason> SignOfLifeRule::exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const {
  const bool isSilentSinceFailure =
      replica.failures > 0 && replica.lastDataAt < replica.failingSince;
  const bool isRecent = now < replica.failingSince + knobs_.exclusionTime;
  if (!subject.needsSignOfLife || !isSilentSinceFailure || !isRecent) {
    return std::nullopt;
  }
  return ExclusionReason::NoSignOfLife;
}

}  // namespace gorsetrail::routing
