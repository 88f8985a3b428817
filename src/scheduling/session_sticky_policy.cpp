#include "scheduling/session_sticky_policy.h"

#include "scheduling/rendezvous.h"

namespace gorsetrail::scheduling {

std::optional<PlacementChoice> SessionStickyPolicy::choose(const CallDescription& call,
                                                           const std::vector<ReplicaView>& replicas,
                                                           RandomSource& /*random*/) {
  const std::optional<ReplicaIndex> fixed =
      rendezvousChoice(call.program, call.candidates, replicas);
  if (!fixed) {
    return std::nullopt;
  }
  return PlacementChoice{*fixed, "fixed replica of the program"};
}

}  // namespace gorsetrail::scheduling
