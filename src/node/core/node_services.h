/// \file The parts that a node core composes; tests put fakes in their place.
#pragma once

#include <functional>

#include "membership/membership_service.h"
#include "node/core/node_core.h"
#include "program/program_service.h"
#include "scheduling/scheduling_policy.h"

namespace gorsetrail::node {

/// Makes the program service over the node's liveness and replica groups, which outlive it.
using ProgramServiceFactory = std::function<program::ProgramServicePtr(
    const program::PeerLiveness& liveness, const program::ReplicaGroups& groups)>;

struct NodeServices {
  membership::MembershipServicePtr membership;
  scheduling::SchedulingPolicyPtr policy;
  ProgramServiceFactory makeProgram;
};

/// \return a core over the given parts.
NodeCorePtr makeNodeCoreOver(NodeOptions options, NodeServices services);

}  // namespace gorsetrail::node
