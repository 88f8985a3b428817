// When replicas count as different in speed, and what follows for single replicas.
#include "routing/speed_contrast.h"

#include <string>
#include <vector>

#include "routing/admission_policy.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(SpeedContrast) {
  ReplicaTable table;
  SpeedContrast contrast{{}};
  Instant now{seconds(100)};

  ReplicaPtr add(const std::string& id, double timeFactor) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.slots = 8;
    table.upsert(entry);
    ReplicaPtr replica = table.find(id);
    replica->timeFactor = timeFactor;
    replica->othersTimeSamples =
        1000;  // Enough that the assumption of typical speed is negligible.
    return replica;
  }
  std::vector<ReplicaPtr> addMany(const std::string& prefix, int count, double timeFactor) {
    std::vector<ReplicaPtr> added;
    added.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
      added.push_back(add(prefix + std::to_string(index), timeFactor));
    }
    return added;
  }
  /// Updates every 100 ms.
  /// \return the changes.
  std::vector<SpeedSelectionChange> pass(Duration time) {
    std::vector<SpeedSelectionChange> changes;
    for (const Instant end = now + time; now < end; now += milliseconds(100)) {
      for (const SpeedSelectionChange& change : contrast.update(table, now)) {
        changes.push_back(change);
      }
    }
    return changes;
  }
};

TEST(SpeedContrast, replicasMustDifferForThreeSeconds) {
  addMany("fast", 4, 0.7);
  const ReplicaPtr slow = add("slow", 1.7);
  CHECK_TRUE(pass(milliseconds(3000)).empty());
  CHECK_FALSE(contrast.isActive("s"));
  DOUBLES_EQUAL(1.0, slow->relativeTime.toFast, 0);
  const std::vector<SpeedSelectionChange> changes = pass(milliseconds(100));
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes.front().active);
  STRCMP_EQUAL("s", changes.front().service.c_str());
  LONGS_EQUAL(1, changes.front().slowReplicas);
  DOUBLES_EQUAL(2.43, changes.front().slowRatio, 0.01);
  CHECK_TRUE(contrast.isActive("s"));
  CHECK_FALSE(contrast.isActive("other"));
  DOUBLES_EQUAL(2.44, slow->relativeTime.toFast, 0.01);
  DOUBLES_EQUAL(1.0, table.find("fast0")->relativeTime.toFast, 0);
}

TEST(SpeedContrast, fewOrSlightlySlowReplicasDoNotCount) {
  addMany("fast", 9, 1.0);
  add("slow0", 3.0);
  add("slow1", 1.4);
  CHECK_TRUE(pass(seconds(10)).empty());
  add("slow2", 1.6);
  add("slow3", 1.6);
  LONGS_EQUAL(1, pass(seconds(10)).size());
}

// Slow phases of half a second must not change the selection, neither before nor after.
TEST(SpeedContrast, noiseChangesNothing) {
  const std::vector<ReplicaPtr> replicas = addMany("r", 4, 1.0);
  const ReplicaPtr slow = add("slow", 1.0);
  const auto addNoise = [&] {
    for (int phase = 0; phase < 10; ++phase) {
      replicas[0]->timeFactor = replicas[1]->timeFactor = 2.5;
      CHECK_TRUE(pass(milliseconds(600)).empty());
      replicas[0]->timeFactor = replicas[1]->timeFactor = 1.0;
      CHECK_TRUE(pass(milliseconds(900)).empty());
    }
  };
  addNoise();
  slow->timeFactor = 2.4;
  LONGS_EQUAL(1, pass(seconds(4)).size());
  addNoise();
  CHECK_TRUE(contrast.isActive("s"));
  DOUBLES_EQUAL(1.0, replicas[0]->relativeTime.toFast, 0);
}

TEST(SpeedContrast, endsWhenReplicasNoLongerDiffer) {
  addMany("fast", 4, 1.0);
  const ReplicaPtr slow = add("slow", 2.4);
  pass(seconds(4));
  slow->timeFactor = 1.0;
  const std::vector<SpeedSelectionChange> changes = pass(seconds(4));
  LONGS_EQUAL(1, changes.size());
  CHECK_FALSE(changes.front().active);
  DOUBLES_EQUAL(1.0, slow->relativeTime.toFast, 0);
  DOUBLES_EQUAL(1.0, slow->relativeTime.preference, 0);
}

// Guards against prompts that move to and fro because of small changes of speed.
TEST(SpeedContrast, smallChangesKeepTheStep) {
  addMany("fast", 4, 1.0);
  const ReplicaPtr slow = add("slow", 2.4);
  pass(seconds(4));
  const double step = slow->relativeTime.toFast;
  for (const double factor : {2.1, 2.8, 2.2, 2.7}) {
    slow->timeFactor = factor;
    pass(seconds(2));
    DOUBLES_EQUAL(step, slow->relativeTime.toFast, 0);
  }
  slow->timeFactor = 3.1;
  pass(milliseconds(900));
  DOUBLES_EQUAL(step, slow->relativeTime.toFast, 0);
  pass(milliseconds(300));
  CHECK_TRUE(slow->relativeTime.toFast > step);
}

// A slow replica gets few requests, so that its measurements expire although it is still slow.
TEST(SpeedContrast, rememberedAsSlowWithoutMeasurementsForALimitedTime) {
  addMany("fast", 4, 1.0);
  const ReplicaPtr slow = add("slow", 2.4);
  pass(seconds(4));
  slow->othersTimeSamples = 0;
  slow->timeFactor = 1.0;
  CHECK_TRUE(pass(seconds(14)).empty());
  CHECK_TRUE(slow->relativeTime.toFast > 2);
  LONGS_EQUAL(1, pass(seconds(6)).size());
  CHECK_FALSE(contrast.isActive("s"));
}

// With few samples `timeFactor` is close to 1 at a slow replica too.
TEST(SpeedContrast, fewSamplesAreNoRecovery) {
  addMany("fast", 4, 1.0);
  const ReplicaPtr slow = add("slow", 2.4);
  pass(seconds(4));
  slow->othersTimeFactor = 2.4;
  slow->othersTimeSamples = 0.5;
  slow->timeFactor = mergedTimeFactor({}, 2.4, 0.5, now);
  CHECK_TRUE(slow->timeFactor < 1.25);
  CHECK_TRUE(pass(seconds(20)).empty());
  DOUBLES_EQUAL(2.44, slow->relativeTime.toFast, 0.01);
}

TEST(SpeedContrast, aRestartedReplicaIsNotSlow) {
  addMany("fast", 4, 1.0);
  add("slow", 2.4)->entry.startedAt = ReplicaStart(1000);
  pass(seconds(4));
  CHECK_TRUE(table.find("slow")->relativeTime.toFast > 2);
  ReplicaEntry next = table.find("slow")->entry;
  next.startedAt = ReplicaStart(5000);
  table.upsert(next);
  pass(milliseconds(200));
  DOUBLES_EQUAL(1.0, table.find("slow")->relativeTime.toFast, 0);
}

TEST(SpeedContrast, leavingReplicasDoNotCount) {
  addMany("fast", 4, 1.0);
  add("slow", 2.4)->entry.draining = true;
  CHECK_TRUE(pass(seconds(10)).empty());
}

TEST(SpeedContrast, slowReplicasAdmitLess) {
  const AdmissionPolicy admission({});
  const ReplicaPtr fast = addMany("fast", 4, 1.0).front();
  const ReplicaPtr slow = add("slow", 2.4);
  fast->inFlight = slow->inFlight = 6;
  CHECK_TRUE(admission.admitsFirstTurns(*slow));
  pass(seconds(4));
  CHECK_TRUE(admission.admitsFirstTurns(*fast));
  CHECK_FALSE(admission.admitsFirstTurns(*slow));
  CHECK_TRUE(admission.admits(*slow, {WorkStage::Continuing, 5}));
  slow->inFlight = 3;
  CHECK_TRUE(admission.admitsFirstTurns(*slow));
  CHECK_FALSE(admission.isLightlyLoaded(*slow));
}

// Guards against a service that admits half of its usual load because a few replicas are fast.
TEST(SpeedContrast, replicasOfTypicalSpeedAdmitAsBefore) {
  addMany("fast", 3, 0.5);
  const ReplicaPtr typical = addMany("typical", 7, 1.0).front();
  pass(seconds(4));
  CHECK_TRUE(contrast.isActive("s"));
  DOUBLES_EQUAL(1.95, typical->relativeTime.toFast, 0.01);
  DOUBLES_EQUAL(1.0, typical->relativeTime.toTypical, 0);
}

TEST(SpeedContrast, slowReplicasArePreferredMoreOftenWhileFastOnesAreFull) {
  const std::vector<ReplicaPtr> fast = addMany("fast", 4, 1.0);
  const ReplicaPtr slow = add("slow", 2.4);
  pass(seconds(4));
  const double idle = slow->relativeTime.preference;
  CHECK_TRUE(idle < 0.03);
  for (const ReplicaPtr& replica : fast) {
    replica->inFlight = 7;
  }
  pass(seconds(4));
  CHECK_TRUE(slow->relativeTime.preference > 4 * idle);
  for (const ReplicaPtr& replica : fast) {
    replica->inFlight = 5;  // Between the two limits.
  }
  pass(seconds(6));
  CHECK_TRUE(slow->relativeTime.preference > 4 * idle);
  for (const ReplicaPtr& replica : fast) {
    replica->inFlight = 2;
  }
  pass(seconds(6));
  DOUBLES_EQUAL(idle, slow->relativeTime.preference, 1e-9);
}
