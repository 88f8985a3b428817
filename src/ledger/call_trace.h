/// \file Which nodes a ledger call was sent to and what each of them said, for log lines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::ledger {

/// What was heard of a node that a call was sent to.
enum class CoordinatorState : std::uint8_t {
  Silent,     ///< No reply by the end of the call.
  NotAlive,   ///< It gave no sign of life either.
  NoReply,    ///< The connection was refused or broke.
  Undecided,  ///< It replied that it can't say.
  Answered,
};

/// \return the state's stable name, for log lines.
std::string_view coordinatorStateName(CoordinatorState state);

/// One node that a call was sent to.
struct CoordinatorWord {
  std::string address;
  CoordinatorState state = CoordinatorState::Silent;
  std::string reason;  ///< Why it was undecided, if it said so.
};

/// \return `address/state(reason)` of each node, with commas between.
std::string textOf(const std::vector<CoordinatorWord>& asked);

}  // namespace gorsetrail::ledger
