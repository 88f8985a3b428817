#include "ledger/call_trace.h"

namespace gorsetrail::ledger {

std::string_view coordinatorStateName(CoordinatorState state) {
  switch (state) {
    case CoordinatorState::Silent:
      break;
    case CoordinatorState::NotAlive:
      return "not_alive";
    case CoordinatorState::NoReply:
      return "no_reply";
    case CoordinatorState::Undecided:
      return "undecided";
    case CoordinatorState::Answered:
      return "answered";
  }
  return "silent";
}

std::string textOf(const std::vector<CoordinatorWord>& asked) {
  std::string text;
  for (const CoordinatorWord& word : asked) {
    text += text.empty() ? "" : ",";
    text += word.address + "/";
    text += coordinatorStateName(word.state);
    text += word.reason.empty() ? "" : "(" + word.reason + ")";
  }
  return text;
}

}  // namespace gorsetrail::ledger
