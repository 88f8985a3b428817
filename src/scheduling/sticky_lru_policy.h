/// \file Baseline: a program stays where its last call ran.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// The first call goes to the least loaded replica; the engine evicts what was used longest ago.
class StickyLruPolicy final : public SchedulingPolicy {
 public:
  std::optional<PlacementChoice> choose(const CallDescription& call,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) override;
  [[nodiscard]] std::string_view name() const override { return "sticky-lru"; }
};

}  // namespace gorsetrail::scheduling
