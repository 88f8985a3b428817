/// \file Baseline: the replica with the fewest requests.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// Ignores the cache; ties are broken at random.
class LeastOutstandingPolicy final : public SchedulingPolicy {
 public:
  std::optional<PlacementChoice> choose(const CallDescription& call,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) override;
  [[nodiscard]] std::string_view name() const override { return "least-outstanding"; }
};

}  // namespace gorsetrail::scheduling
