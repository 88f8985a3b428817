#include "routing/software_version_rule.h"

namespace gorsetrail::routing {

std::optional<ExclusionReason> SoftwareVersionRule::exclusionOf(const Replica& replica,
                                                                const PlacementSubject& subject,
                                                                Instant /*now*/) const {
  if (subject.softwareVersion == nullptr ||
      replica.entry.softwareVersion == *subject.softwareVersion) {
    return std::nullopt;
  }
  return ExclusionReason::OtherSoftwareVersion;
}

Duration SoftwareVersionRule::retryAfter(ExclusionReason /*reason*/) const {
  return Duration::zero();
}

}  // namespace gorsetrail::routing
