#include "edge/recovery_policy.h"

namespace gorsetrail::edge {

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
