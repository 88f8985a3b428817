/// \file How loaded a replica is believed to be, from a late report and this node's own calls.
#pragma once

#include <cstdint>
#include <vector>

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// \return requests believed at the replica: the report, but at least this node's own calls.
std::uint32_t believedRequests(const ReplicaView& replica);

/// \return the candidate with the fewest believed requests, ties broken at random; nothing when
/// there are no candidates.
std::optional<ReplicaIndex> leastLoaded(const std::vector<ReplicaIndex>& candidates,
                                        const std::vector<ReplicaView>& replicas,
                                        RandomSource& random);

/// \return whether `replica` is among the candidates.
bool isCandidate(const std::vector<ReplicaIndex>& candidates, ReplicaIndex replica);

}  // namespace gorsetrail::scheduling
