#include "scheduling/round_robin_policy.h"

namespace gorsetrail::scheduling {

std::optional<PlacementChoice> RoundRobinPolicy::choose(
    const CallDescription& call, const std::vector<ReplicaView>& /*replicas*/,
    RandomSource& /*random*/) {
  if (call.candidates.empty()) {
    return std::nullopt;
  }
  const std::uint64_t position = turn_++ % call.candidates.size();
  return PlacementChoice{call.candidates[position], "next in turn"};
}

}  // namespace gorsetrail::scheduling
