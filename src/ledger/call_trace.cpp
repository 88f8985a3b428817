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

std::string textOf(const std::vector<CoordinatorReport>& asked) {
  std::string text;
  for (const CoordinatorReport& report : asked) {
    text += text.empty() ? "" : ",";
    text += report.address + "/";
    text += coordinatorStateName(report.state);
    text += report.reason.empty() ? "" : "(" + report.reason + ")";
  }
  return text;
}

}  // namespace gorsetrail::ledger
