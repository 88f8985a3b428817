/// \file Excludes replicas outside a request's allowed regions. No I/O, no clock.
#pragma once

#include "routing/locality.h"
#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// Settings of `RegionRule`.
struct RegionRuleKnobs {
  /// Used if the allowed regions have no replica; a replacement usually starts within seconds. A
  /// rule of thumb.
  Duration retryAfter = milliseconds(1000);
};

/// Excludes replicas outside the allowed regions, including those in a zone without known region.
class RegionRule final : public PlacementRule {
 public:
  /// \param zones outlives this object.
  RegionRule(const ZoneTable& zones, RegionRuleKnobs knobs) : zones_(zones), knobs_(knobs) {}

  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const override;
  [[nodiscard]] Duration retryAfter(ExclusionReason reason) const override;

 private:
  const ZoneTable& zones_;
  RegionRuleKnobs knobs_;
};

}  // namespace gorsetrail::routing
