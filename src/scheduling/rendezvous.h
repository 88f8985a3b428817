/// \file Highest-random-weight hashing: a program's fixed replica, stable when others come or go.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// \return the weight of a replica for a program; equal on every node.
std::uint64_t rendezvousWeight(const ProgramId& program, std::string_view replicaName);

/// \return the candidate of the highest weight; nothing when there are no candidates.
std::optional<ReplicaIndex> rendezvousChoice(const ProgramId& program,
                                             const std::vector<ReplicaIndex>& candidates,
                                             const std::vector<ReplicaView>& replicas);

}  // namespace gorsetrail::scheduling
