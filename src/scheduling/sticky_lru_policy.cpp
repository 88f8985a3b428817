#include "scheduling/sticky_lru_policy.h"

#include "scheduling/replica_load.h"

namespace gorsetrail::scheduling {

std::optional<PlacementChoice> StickyLruPolicy::choose(const CallDescription& call,
                                                       const std::vector<ReplicaView>& replicas,
                                                       RandomSource& random) {
  if (call.previous && isCandidate(call.candidates, *call.previous)) {
    return PlacementChoice{*call.previous, "replica of the program's last call"};
  }
  const std::optional<ReplicaIndex> best = leastLoaded(call.candidates, replicas, random);
  if (!best) {
    return std::nullopt;
  }
  return PlacementChoice{*best, "first call, fewest requests"};
}

}  // namespace gorsetrail::scheduling
