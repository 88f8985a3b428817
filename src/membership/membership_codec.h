/// \file Membership messages as the bytes of one datagram.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "membership/membership_interface.h"

namespace gorsetrail::membership {

/// Back-end notices and the bundle's version are left out: edge nodes follow both in the store.
std::string encodeMembershipMessage(const MembershipMessage& message);

/// Errors: `InvalidFrame`, also for a state or a kind that this version does not know.
Result<MembershipMessage> decodeMembershipMessage(std::string_view bytes);

}  // namespace gorsetrail::membership
