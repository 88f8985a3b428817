/// \file The product's policy: the replica that will answer soonest, counting the prefix tokens
/// that it need not compute, its load, how old the report of it is, and what others lose.
#pragma once

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// Weighs cost in milliseconds of engine time:
/// `uncached prompt tokens x prefill cost x externality + requests there x waiting cost`.
/// A prompt token computed twice delays every other stream of the engine and evicts others'
/// prefixes, so that it counts more than its own time; more so the lower `latencyWeight` is.
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
