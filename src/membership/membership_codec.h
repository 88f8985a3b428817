/// \file Encodes membership messages as single datagrams.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "membership/membership_interface.h"

namespace gorsetrail::membership {

/// Back-end notices and the bundle version are not encoded: edge nodes read both from the log
/// store.
std::string encodeMembershipMessage(const MembershipMessage& message);

/// Errors: `InvalidFrame`, also if a state or a message kind is unknown to this version.
Result<MembershipMessage> decodeMembershipMessage(std::string_view bytes);

}  // namespace gorsetrail::membership
