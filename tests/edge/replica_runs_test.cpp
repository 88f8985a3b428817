// How many replicas a request may run on.
#include "edge/replica_runs.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using gorsetrail::edge::ReplicaRuns;

TEST_GROUP(ReplicaRuns) {
  ReplicaRuns runs;
  routing::ReplicaPtr first = std::make_shared<routing::Replica>();
  routing::ReplicaPtr second = std::make_shared<routing::Replica>();
};

TEST(ReplicaRuns, allowsAsManyReplicasAsTheRoute) {
  CHECK_TRUE(runs.mayRunOnAnother(1));
  runs.noteRun(first);
  CHECK_FALSE(runs.mayRunOnAnother(1));
  CHECK_TRUE(runs.mayRunOnAnother(2));
  runs.noteRun(second);
  CHECK_FALSE(runs.mayRunOnAnother(2));
}

TEST(ReplicaRuns, countsAReplicaOnceHoweverOftenAStreamGoesOnThere) {
  runs.noteRun(first);
  runs.noteRun(first);
  CHECK_TRUE(runs.mayRunOnAnother(2));
}

TEST(ReplicaRuns, doesNotCountWhereTheRunIsOver) {
  runs.noteRun(first);
  runs.noteUnreachable(first);
  CHECK_TRUE(runs.mayRunOnAnother(1));
  runs.noteUnreachable(second);
  CHECK_TRUE(runs.mayRunOnAnother(1));
}

TEST(ReplicaRuns, countsAReplicaAgainThatTookTheRequestOnceMore) {
  runs.noteRun(first);
  runs.noteUnreachable(first);
  runs.noteRun(first);
  CHECK_FALSE(runs.mayRunOnAnother(1));
}
