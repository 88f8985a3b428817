/// \file Excludes replicas of other software versions from requests that continue a stream. No I/O,
/// no clock.
#pragma once

#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// Excludes replicas whose software version is not the one that began the request's stream.
class SoftwareVersionRule final : public PlacementRule {
 public:
  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const override;
  /// \return zero: if no replica of the version is left, the stream cannot be continued later.
  [[nodiscard]] Duration retryAfter(ExclusionReason reason) const override;
};

}  // namespace gorsetrail::routing
