/// \file Keeps requests from replicas outside the regions that may serve them. No I/O, no clock.
#pragma once

#include "routing/locality.h"
#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// Knobs of `RegionRule`.
struct RegionRuleKnobs {
  /// Where no replica of the allowed regions is left: one that was replaced is back within
  /// seconds. A rule of thumb.
  Duration retryAfter = milliseconds(1000);
};

/// A replica whose zone is in no region that this node knows counts as outside.
class RegionRule final : public PlacementRule {
 public:
  /// \param zones outlives this object.
  RegionRule(const ZoneTable& zones, RegionRuleKnobs knobs) : zones_(zones), knobs_(knobs) {}

  [[nodiscard]] std::optional<PlacementBar> barOf(const Replica& replica,
                                                  const PlacementSubject& subject,
                                                  Instant now) const override;
  [[nodiscard]] Duration retryAfter(PlacementBar bar) const override;

 private:
  const ZoneTable& zones_;
  RegionRuleKnobs knobs_;
};

}  // namespace gorsetrail::routing
