#include "ledger/reservation.h"

namespace gorsetrail::ledger {

std::string_view undecidedReasonName(UndecidedReason reason) {
  switch (reason) {
    case UndecidedReason::Unknown:
      break;
    case UndecidedReason::UnseenSpending:
      return "unseen_spending";
    case UndecidedReason::DecidedTooLate:
      return "decided_too_late";
    case UndecidedReason::NoLease:
      return "no_lease";
    case UndecidedReason::LeaseInsufficient:
      return "lease_insufficient";
    case UndecidedReason::AppendFailed:
      return "append_failed";
    case UndecidedReason::ReadFailed:
      return "read_failed";
    case UndecidedReason::NoAnswer:
      return "no_answer";
    case UndecidedReason::NodesNotKnown:
      return "nodes_not_known";
    case UndecidedReason::UnsettledTurns:
      return "unsettled_turns";
    case UndecidedReason::WitnessesUnavailable:
      return "witnesses_unavailable";
  }
  return "unknown";
}

std::string_view unrecordedSpendingName(UnrecordedSpending spending) {
  switch (spending) {
    case UnrecordedSpending::None:
      break;
    case UnrecordedSpending::Secondary:
      return "secondary";
    case UnrecordedSpending::Primary:
      return "primary";
    case UnrecordedSpending::Both:
      return "both";
  }
  return "none";
}

}  // namespace gorsetrail::ledger
