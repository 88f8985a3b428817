/// \file Excludes replicas that may have ended from requests under which replicas ended. No I/O,
/// no clock.
#pragma once

#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// Settings of `SignOfLifeRule`.
struct SignOfLifeKnobs {
  /// A failing replica without a sign of life is excluded for this time. Bounded, because a replica
  /// that gets no request shows no life.
  Duration exclusionTime = milliseconds(1500);
  /// Until a replica answers another request, or its next process registers.
  Duration retryAfter = milliseconds(250);
};

/// A run at a replica that has ended cannot be told from a run that ended it, so that it counts
/// against a request that is innocent. Requests with counted runs therefore avoid replicas that
/// broke off a request a moment ago and have sent nothing since.
class SignOfLifeRule final : public PlacementRule {
 public:
  explicit SignOfLifeRule(SignOfLifeKnobs knobs = {}) : knobs_(knobs) {}

  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const override;
  [[nodiscard]] Duration retryAfter(ExclusionReason /*reason*/) const override {
    return knobs_.retryAfter;
  }

 private:
  SignOfLifeKnobs knobs_;
};

}  // namespace gorsetrail::routing
