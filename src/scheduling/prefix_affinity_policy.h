/// \file The product's policy: the replica that will answer soonest, counting the prefix tokens
/// that it need not compute, its load, how old the report of it is, and what others lose.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// Weighs cost in milliseconds: uncached prompt tokens (with the delay that they cause to the
/// other streams of the engine), requests in the batch, and requests in the queue. The lower
/// `latencyWeight` is, the more a token that is computed again counts.
/// Overflow is bounded: a replica with the prefix is left only for one that is cheaper by a margin.
class PrefixAffinityPolicy final : public SchedulingPolicy {
 public:
  std::optional<PlacementChoice> choose(const CallDescription& call,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) override;
  [[nodiscard]] std::string_view name() const override { return "prefix-affinity"; }

 private:
  /// \return the candidates worth a look: all when few, else those with a part of the prefix, the
  /// previous one and a random sample.
  const std::vector<ReplicaIndex>& shortlist(const CallDescription& call,
                                             const std::vector<ReplicaView>& replicas,
                                             RandomSource& random);

  std::vector<ReplicaIndex> shortlist_;  ///< Kept between calls to save allocations.
};

}  // namespace gorsetrail::scheduling
