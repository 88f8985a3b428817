/// \file Baseline: every candidate in turn.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// Ignores load and cache.
class RoundRobinPolicy final : public SchedulingPolicy {
 public:
  std::optional<PlacementChoice> choose(const CallDescription& call,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) override;
  [[nodiscard]] std::string_view name() const override { return "round-robin"; }

 private:
  std::uint64_t turn_ = 0;
};

}  // namespace gorsetrail::scheduling
