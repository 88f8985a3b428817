#include "edge/recovery_policy.h"

namespace gorsetrail::edge {

bool promisesNotRun(unsigned status) {
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

unsigned truthfulStatus(unsigned status, RunKnowledge known) {
  constexpr unsigned kBadGateway = 502;
  return known == RunKnowledge::Unknown && promisesNotRun(status) ? kBadGateway : status;
}

RecoveryStep stepAfter(const FailedDispatch& failed) {
  if (failed.ranThere && failed.mayRunAgain) {
    return RecoveryStep::RunAgain;
  }
  if (!failed.ranThere && failed.mayTryAnother) {
    return RecoveryStep::TryAnother;
  }
  if (!failed.ranThere && failed.mayAskAgain) {
    return RecoveryStep::AskAgain;
  }
  if (failed.streamBegun) {
    return RecoveryStep::BreakOff;
  }
  return failed.mayHaveRun ? RecoveryStep::FailUnknown : RecoveryStep::Refuse;
}

}  // namespace gorsetrail::edge
