#include "scheduling/least_outstanding_policy.h"

#include "scheduling/replica_load.h"

namespace gorsetrail::scheduling {

std::optional<PlacementChoice> LeastOutstandingPolicy::choose(
    const CallDescription& call, const std::vector<ReplicaView>& replicas, RandomSource& random) {
  const std::optional<ReplicaIndex> best = leastLoaded(call.candidates, replicas, random);
  if (!best) {
    return std::nullopt;
  }
  return PlacementChoice{*best, "fewest requests"};
}

}  // namespace gorsetrail::scheduling
