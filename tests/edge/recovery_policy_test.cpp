// Guards against duplicate execution and against a wrong claim that a request was not executed.
#include "edge/recovery_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::edge;

namespace {

FailedDispatch interruptedRun(bool mayRerun) {
  FailedDispatch failed;
  failed.mayHaveRunThere = true;
  failed.mayHaveRun = true;
  failed.mayRerun = mayRerun;
  failed.mayTryAnotherReplica = true;
  return failed;
}

}  // namespace

TEST_GROUP(RecoveryPolicy){};

TEST(RecoveryPolicy, rerunsOnlyRequestsThatMayBeRepeated) {
  CHECK(RecoveryStep::Rerun == nextStep(interruptedRun(true)));
  CHECK(RecoveryStep::FailWithUnknownState == nextStep(interruptedRun(false)));
}

TEST(RecoveryPolicy, triesAnotherReplicaIfTheRequestHasNotRun) {
  FailedDispatch refused;
  refused.mayTryAnotherReplica = true;
  CHECK(RecoveryStep::TryAnotherReplica == nextStep(refused));
  refused.mayTryAnotherReplica = false;
  CHECK(RecoveryStep::Refuse == nextStep(refused));
}

TEST(RecoveryPolicy, neverRefusesAfterAnEarlierRun) {
  FailedDispatch refusedAfterARun;
  refusedAfterARun.mayHaveRun = true;
  CHECK(RecoveryStep::FailWithUnknownState == nextStep(refusedAfterARun));
}

TEST(RecoveryPolicy, abortsAStreamThatTheClientHasPartOf) {
  FailedDispatch interrupted = interruptedRun(false);
  interrupted.streamBegun = true;
  CHECK(RecoveryStep::AbortStream == nextStep(interrupted));
}

TEST(RecoveryPolicy, retriesABusyReplicaOnlyIfNoOtherIsAllowed) {
  FailedDispatch refused;
  refused.mayHaveRun = true;
  refused.mayRetrySameReplica = true;
  CHECK(RecoveryStep::RetrySameReplica == nextStep(refused));
  refused.mayTryAnotherReplica = true;
  CHECK(RecoveryStep::TryAnotherReplica == nextStep(refused));
}

TEST(RecoveryPolicy, impliesNotExecutedOnlyIfNoReplicaMayHaveRunIt) {
  for (const unsigned status : {402U, 408U, 421U, 429U, 503U}) {
    LONGS_EQUAL(status, statusConsistentWith(status, ExecutionState::NotSent));
    LONGS_EQUAL(status, statusConsistentWith(status, ExecutionState::NotExecuted));
    LONGS_EQUAL(502, statusConsistentWith(status, ExecutionState::Unknown));
  }
}

TEST(RecoveryPolicy, leavesStatusesThatMakeNoClaimUnchanged) {
  for (const unsigned status : {200U, 400U, 404U, 500U, 502U, 504U}) {
    LONGS_EQUAL(status, statusConsistentWith(status, ExecutionState::Unknown));
  }
}
