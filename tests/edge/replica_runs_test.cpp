// Guards against a request that runs at more replicas than its route allows.
#include "edge/replica_runs.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using gorsetrail::edge::ReplicaRuns;

TEST_GROUP(ReplicaRuns) {
  ReplicaRuns runs;
  Instant now{seconds(100)};
  routing::ReplicaPtr first = std::make_shared<routing::Replica>();
  routing::ReplicaPtr second = std::make_shared<routing::Replica>();
};

TEST(ReplicaRuns, allowsAsManyReplicasAsTheRouteDoes) {
  CHECK_TRUE(runs.mayRunOnAnotherReplica(1));
  runs.recordRun(first, now);
  CHECK_FALSE(runs.mayRunOnAnotherReplica(1));
  CHECK_TRUE(runs.mayRunOnAnotherReplica(2));
  runs.recordRun(second, now);
  CHECK_FALSE(runs.mayRunOnAnotherReplica(2));
}

TEST(ReplicaRuns, countsAReplicaOnceWhenAStreamIsResumedThere) {
  runs.recordRun(first, now);
  runs.recordRun(first, now);
  CHECK_TRUE(runs.mayRunOnAnotherReplica(2));
}

TEST(ReplicaRuns, doesNotCountUnreachableReplicas) {
  runs.recordRun(first, now);
  runs.recordUnreachable(first);
  CHECK_TRUE(runs.mayRunOnAnotherReplica(1));
  runs.recordUnreachable(second);
  CHECK_TRUE(runs.mayRunOnAnotherReplica(1));
}

TEST(ReplicaRuns, countsAReplicaAgainAfterAFurtherRun) {
  runs.recordRun(first, now);
  runs.recordUnreachable(first);
  runs.recordRun(first, now);
  CHECK_FALSE(runs.mayRunOnAnotherReplica(1));
}

TEST(ReplicaRuns, doesNotCountARunThatEndedWithTheReplicasProcess) {
  runs.recordRun(first, now);
  first->lifeEnd = routing::LifeEnd{now + seconds(1), second};
  CHECK_TRUE(runs.mayRunOnAnotherReplica(1));
}

TEST(ReplicaRuns, countsARunAtANewIncarnationThatWasNotYetKnown) {
  runs.recordRun(first, now);
  first->lifeEnd = routing::LifeEnd{now - seconds(1), second};
  CHECK_FALSE(runs.mayRunOnAnotherReplica(1));
  runs.recordUnreachable(first);
  CHECK_TRUE(runs.mayRunOnAnotherReplica(1));
}

TEST(ReplicaRuns, reportsWhereARunMayStillBeInProgress) {
  CHECK_FALSE(runs.mayStillBeRunningAt(first));
  runs.recordRun(first, now);
  CHECK_TRUE(runs.mayStillBeRunningAt(first));
  CHECK_FALSE(runs.mayStillBeRunningAt(second));
  runs.recordUnreachable(first);
  CHECK_FALSE(runs.mayStillBeRunningAt(first));
}
