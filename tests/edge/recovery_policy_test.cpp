// What follows when a replica did not serve a request, case by case.
#include "edge/recovery_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::edge;

namespace {

FailedDispatch failedThere(bool mayRunAgain) {
  FailedDispatch failed;
  failed.ranThere = true;
  failed.mayHaveRun = true;
  failed.mayRunAgain = mayRunAgain;
  failed.mayTryAnother = true;
  return failed;
}

}  // namespace

TEST_GROUP(RecoveryPolicy){};

TEST(RecoveryPolicy, runsAgainOnlyWhatMayBeRepeated) {
  CHECK(RecoveryStep::RunAgain == stepAfter(failedThere(true)));
  CHECK(RecoveryStep::FailUnknown == stepAfter(failedThere(false)));
}

TEST(RecoveryPolicy, asksAnotherReplicaWhereItHasNotRun) {
  FailedDispatch refused;
  refused.mayTryAnother = true;
  CHECK(RecoveryStep::TryAnother == stepAfter(refused));
  refused.mayTryAnother = false;
  CHECK(RecoveryStep::Refuse == stepAfter(refused));
}

TEST(RecoveryPolicy, neverPromisesNotRunAfterAnEarlierRun) {
  FailedDispatch refusedAfterARun;
  refusedAfterARun.mayHaveRun = true;
  CHECK(RecoveryStep::FailUnknown == stepAfter(refusedAfterARun));
}

TEST(RecoveryPolicy, breaksOffWhatTheClientHasPartOf) {
  FailedDispatch cut = failedThere(false);
  cut.streamBegun = true;
  CHECK(RecoveryStep::BreakOff == stepAfter(cut));
}

TEST(RecoveryPolicy, asksAFullReplicaAgainOnlyWhereNoOtherMayRunIt) {
  FailedDispatch refused;
  refused.mayHaveRun = true;
  refused.mayAskAgain = true;
  CHECK(RecoveryStep::AskAgain == stepAfter(refused));
  refused.mayTryAnother = true;
  CHECK(RecoveryStep::TryAnother == stepAfter(refused));
}

TEST(RecoveryPolicy, promisesNotRunOnlyWhereNoReplicaMayRunIt) {
  for (const unsigned status : {402U, 408U, 421U, 429U, 503U}) {
    LONGS_EQUAL(status, truthfulStatus(status, RunKnowledge::NeverSent));
    LONGS_EQUAL(status, truthfulStatus(status, RunKnowledge::Declined));
    LONGS_EQUAL(502, truthfulStatus(status, RunKnowledge::Unknown));
  }
}

TEST(RecoveryPolicy, statusesThatPromiseNothingStayAsTheyAre) {
  for (const unsigned status : {200U, 400U, 404U, 500U, 502U, 504U}) {
    LONGS_EQUAL(status, truthfulStatus(status, RunKnowledge::Unknown));
  }
}
