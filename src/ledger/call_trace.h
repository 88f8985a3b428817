/// \file The nodes that a ledger call was sent to and how each one responded, for log lines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::ledger {

/// Response of a node that a call was sent to.
enum class CoordinatorState : std::uint8_t {
  Silent,     ///< No reply before the call ended.
  NotAlive,   ///< No reply, and a liveness probe failed.
  NoReply,    ///< The connection was refused or broken.
  Undecided,  ///< It replied that it cannot decide.
  Answered,
};

/// \return the state's stable name for log lines.
std::string_view coordinatorStateName(CoordinatorState state);

/// A node that a call was sent to, with its response.
struct CoordinatorReport {
  std::string address;
  CoordinatorState state = CoordinatorState::Silent;
  std::string reason;  ///< Why it could not decide, if reported.
};

/// \return `address/state(reason)` of each node, separated by commas.
std::string textOf(const std::vector<CoordinatorReport>& asked);

}  // namespace gorsetrail::ledger
