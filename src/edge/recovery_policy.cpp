#include "edge/recovery_policy.h"

namespace gorsetrail::edge {

bool impliesNotExecuted(unsigned status) {
  constexpr unsigned kBudgetSpent = 402;
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kUnavailable = 503;
  switch (status) {
    case kBudgetSpent:
    case kRequestTimeout:
    case kMisdirected:
    case kTooManyRequests:
    case kUnavailable:
      return true;
    default:
      return false;
  }
}

unsigned statusConsistentWith(unsigned status, ExecutionState known) {
  constexpr unsigned kBadGateway = 502;
  return known == ExecutionState::Unknown && impliesNotExecuted(status) ? kBadGateway : status;
}

RecoveryStep nextStep(const FailedDispatch& failed) {
  if (failed.mayHaveRunThere && failed.mayRerun) {
    return RecoveryStep::Rerun;
  }
  if (!failed.mayHaveRunThere && failed.mayTryAnotherReplica) {
    return RecoveryStep::TryAnotherReplica;
  }
  if (!failed.mayHaveRunThere && failed.mayRetrySameReplica) {
    return RecoveryStep::RetrySameReplica;
  }
  if (failed.streamBegun) {
    return RecoveryStep::AbortStream;
  }
  return failed.mayHaveRun ? RecoveryStep::FailWithUnknownState : RecoveryStep::Refuse;
}

}  // namespace gorsetrail::edge
