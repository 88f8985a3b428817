/// \file Baseline: a fixed replica for each program, by rendezvous hash.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// Ignores load; needs no memory.
class SessionStickyPolicy final : public SchedulingPolicy {
 public:
  std::optional<PlacementChoice> choose(const CallDescription& call,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) override;
  [[nodiscard]] std::string_view name() const override { return "session-sticky"; }
};

}  // namespace gorsetrail::scheduling
