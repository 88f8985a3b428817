/// \file All messages between nodes, one variant alternative per subsystem.
#pragma once

#include <variant>

#include "bundle/distribution_interface.h"
#include "engine/observation_interface.h"
#include "membership/membership_interface.h"
#include "program/journal_interface.h"

namespace gorsetrail::wire {

using PeerMessage = std::variant<program::JournalMessage, membership::MembershipMessage,
                                 bundle::DistributionMessage, engine::ObservationMessage>;

}  // namespace gorsetrail::wire
