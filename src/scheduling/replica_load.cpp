#include "scheduling/replica_load.h"

#include <algorithm>

namespace gorsetrail::scheduling {

std::uint32_t believedRequests(const ReplicaView& replica) {
  return std::max(replica.reportedRunning + replica.reportedQueued, replica.ownOutstanding);
}

std::optional<ReplicaIndex> leastLoaded(const std::vector<ReplicaIndex>& candidates,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random) {
  std::optional<ReplicaIndex> best;
  std::uint32_t bestLoad = 0;
  std::uint64_t ties = 0;
  for (const ReplicaIndex candidate : candidates) {
    const std::uint32_t load = believedRequests(replicas[candidate.value()]);
    if (!best || load < bestLoad) {
      best = candidate;
      bestLoad = load;
      ties = 1;
    } else if (load == bestLoad && random.below(++ties) == 0) {
      best = candidate;
    }
  }
  return best;
}

bool isCandidate(const std::vector<ReplicaIndex>& candidates, ReplicaIndex replica) {
  return std::find(candidates.begin(), candidates.end(), replica) != candidates.end();
}

}  // namespace gorsetrail::scheduling
