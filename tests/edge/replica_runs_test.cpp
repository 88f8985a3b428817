// How many replicas a request may run on.
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

TEST(ReplicaRuns, allowsAsManyReplicasAsTheRoute) {
  CHECK_TRUE(runs.mayRunOnAnother(1));
  runs.noteRun(first, now);
  CHECK_FALSE(runs.mayRunOnAnother(1));
  CHECK_TRUE(runs.mayRunOnAnother(2));
  runs.noteRun(second, now);
  CHECK_FALSE(runs.mayRunOnAnother(2));
}

TEST(ReplicaRuns, countsAReplicaOnceHoweverOftenAStreamGoesOnThere) {
  runs.noteRun(first, now);
  runs.noteRun(first, now);
  CHECK_TRUE(runs.mayRunOnAnother(2));
}

TEST(ReplicaRuns, doesNotCountWhereTheRunIsOver) {
  runs.noteRun(first, now);
  runs.noteUnreachable(first);
  CHECK_TRUE(runs.mayRunOnAnother(1));
  runs.noteUnreachable(second);
  CHECK_TRUE(runs.mayRunOnAnother(1));
}

TEST(ReplicaRuns, countsAReplicaAgainThatTookTheRequestOnceMore) {
  runs.noteRun(first, now);
  runs.noteUnreachable(first);
  runs.noteRun(first, now);
  CHECK_FALSE(runs.mayRunOnAnother(1));
}

TEST(ReplicaRuns, doesNotCountARunThatEndedWithItsReplicasProcess) {
  runs.noteRun(first, now);
  first->lifeEnd = routing::LifeEnd{now + seconds(1), second};
  CHECK_TRUE(runs.mayRunOnAnother(1));
}

TEST(ReplicaRuns, countsARunThatReachedTheNewProcessBeforeItWasKnown) {
  runs.noteRun(first, now);
  first->lifeEnd = routing::LifeEnd{now - seconds(1), second};
  CHECK_FALSE(runs.mayRunOnAnother(1));
  runs.noteUnreachable(first);
  CHECK_TRUE(runs.mayRunOnAnother(1));
}

TEST(ReplicaRuns, tellsWhereARunStillCounts) {
  CHECK_FALSE(runs.counts(first));
  runs.noteRun(first, now);
  CHECK_TRUE(runs.counts(first));
  CHECK_FALSE(runs.counts(second));
  runs.noteUnreachable(first);
  CHECK_FALSE(runs.counts(first));
}
