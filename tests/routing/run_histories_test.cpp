// Guards against requests that end replicas without a limit, and against limits for innocent ones.
#include "routing/run_histories.h"

#include <functional>
#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

const RequestKey kRequest{1, 2};
const RequestKey kOther{3, 4};
constexpr Duration kLifetime = seconds(600);
constexpr Duration kRunTime = seconds(4);

}  // namespace

TEST_GROUP(RunHistories) {
  RunHistoryKnobs knobs;
  RunHistories histories{knobs};
  Instant now{seconds(1000)};
  Instant readAt = now;
  bool isListed = true;
  std::set<std::string> absent;

  RegistrationView view() {
    return {[this](const std::string& id, std::optional<ReplicaStart> /*startedAt*/) {
              if (!isListed) {
                return Registration::Unknown;
              }
              return absent.contains(id) ? Registration::Absent : Registration::Present;
            },
            readAt};
  }
  /// A run was interrupted.
  void record(const std::string& replica, bool atFailingReplica = false) {
    histories.record(kRequest, interruptedRun(numberOf(replica), replica, atFailingReplica),
                     now + kLifetime, now);
  }
  /// A run was interrupted that was sent at a time of its replica's life.
  void recordSent(std::uint64_t number, const std::string& replica, Duration sentAfter,
                  std::optional<Duration> lastDataAfter = std::nullopt) {
    ReplicaRun run = interruptedRun(number, replica);
    run.sentAt = now + sentAfter;
    if (lastDataAfter) {
      run.lastDataAt = now + *lastDataAfter;
    }
    histories.record(kRequest, run, now + kLifetime, now);
  }
  ReplicaRun interruptedRun(std::uint64_t number, const std::string& replica,
                            bool atFailingReplica = false) {
    ReplicaRun run{number, replica, ReplicaStart(1)};
    run.mayRunUntil = now + kRunTime;
    run.isInterrupted = true;
    run.atFailingReplica = atFailingReplica;
    return run;
  }
  bool settle(const std::string& replica, RunState state) {
    return histories.settle(kRequest, numberOf(replica), state, RunEvidence::Replica);
  }
  /// \return the number of the only run at a replica.
  static std::uint64_t numberOf(const std::string& replica) {
    return std::hash<std::string>{}(replica);
  }
  /// Time passes, and the registrations are read again.
  void pass(Duration time, bool storeAnswers = true) {
    now += time;
    readAt = storeAnswers ? now : readAt;
    histories.update(view(), now);
  }
  QuarantineDecision decide(RequestKey request = kRequest) {
    return histories.decide(request, view(), now);
  }
  /// \return what another node receives.
  RunHistory copyOf(const RunHistories& from, RequestKey request = kRequest) {
    return *from.find(request);
  }
};

// Sub-agents of a program that ask for the same send equal requests at once.
TEST(RunHistories, runsThatWereSentBeforeTheNextProcessCouldStartCountAsOne) {
  for (std::uint64_t number = 1; number <= 7; ++number) {
    recordSent(number, "a", milliseconds(10) * number);
  }
  CHECK_FALSE(decide().isQuarantined);
  LONGS_EQUAL(1, decide().uncertainReplicas);
  LONGS_EQUAL(0, decide().repeatedReplicas);
  recordSent(8, "b", {});
  CHECK_FALSE(decide().isQuarantined);
  recordSent(9, "c", {});
  CHECK_TRUE(decide().isQuarantined);
  absent = {"a", "b", "c"};
  pass(seconds(60));
  LONGS_EQUAL(3, decide().endedReplicas);
  CHECK_FALSE(decide().retryAfter.has_value());
}

// The other side: the next process under an id may have met a later run.
TEST(RunHistories, runsCountEachThatMayHaveMetTheNextProcessUnderTheId) {
  recordSent(1, "a", {});
  recordSent(2, "a", knobs.restartTime);
  recordSent(3, "a", knobs.restartTime * 2);
  CHECK_TRUE(decide().isQuarantined);
  LONGS_EQUAL(2, decide().repeatedReplicas);
}

// Its process lived until it sent the data.
TEST(RunHistories, dataOfARunShowsThatLaterRunsMetTheSameProcess) {
  recordSent(1, "a", {}, seconds(1));
  recordSent(2, "a", seconds(1) + knobs.restartTime - milliseconds(1), seconds(3));
  recordSent(3, "a", seconds(3));
  LONGS_EQUAL(1, decide().uncertainReplicas);
  recordSent(4, "a", seconds(3) + knobs.restartTime);
  LONGS_EQUAL(2, decide().uncertainReplicas);
}

// A run that broke off without data shows nothing of the time after it was sent.
TEST(RunHistories, runsWithoutDataDoNotLinkLaterOnes) {
  recordSent(1, "a", {});
  recordSent(2, "a", knobs.restartTime - milliseconds(1));
  LONGS_EQUAL(1, decide().uncertainReplicas);
  recordSent(3, "a", knobs.restartTime + milliseconds(50));
  LONGS_EQUAL(2, decide().uncertainReplicas);
}

TEST(RunHistories, runsAtOtherReplicasAndStartsCountEach) {
  recordSent(1, "a", {});
  recordSent(2, "b", {});
  ReplicaRun restarted = interruptedRun(3, "a");
  restarted.startedAt = ReplicaStart(2);
  restarted.sentAt = now;
  histories.record(kRequest, restarted, now + kLifetime, now);
  LONGS_EQUAL(3, decide().uncertainReplicas);
}

TEST(RunHistories, manyRunsAtOneReplicaDoNotDisplaceThoseAtOthers) {
  recordSent(1, "a", {});
  recordSent(2, "b", {});
  for (std::uint64_t number = 3; number <= 60; ++number) {
    recordSent(number, "c", milliseconds(number));
  }
  LONGS_EQUAL(3, decide().uncertainReplicas);
}

TEST(RunHistories, uncertainReplicasMayLiveOnceTheirRegistrationsShouldBeGone) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
  }
  CHECK_FALSE(decide().mayLive);
  pass(knobs.registrationLapseTime, false);
  CHECK_FALSE(decide().mayLive);  // The store did not answer meanwhile.
  pass(milliseconds(1));
  CHECK_TRUE(decide().mayLive);
  histories.record(kRequest, ReplicaRun{77, "d", ReplicaStart(1)}, now + kLifetime, now);
  pass(knobs.registrationLapseTime);
  CHECK_FALSE(decide().mayLive);  // One is in progress.
}

TEST(RunHistories, replicasWhoseRegistrationsAreGoneDoNotLive) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
  }
  absent = {"a", "b", "c"};
  pass(knobs.registrationLapseTime);
  CHECK_FALSE(decide().mayLive);
}

TEST(RunHistories, aRequestIsQuarantinedAfterThreeInterruptedRuns) {
  for (const char* replica : {"a", "b"}) {
    record(replica);
    CHECK_FALSE(decide().isQuarantined);
  }
  record("c");
  CHECK_TRUE(decide().isQuarantined);
  LONGS_EQUAL(3, decide().uncertainReplicas);
  CHECK_FALSE(decide(kOther).isQuarantined);
}

// Its process may have ended before, so that the refusal is not final; but it may have lived.
TEST(RunHistories, aRunAtAFailingReplicaCountsAndIsNeverCertain) {
  record("a", true);
  record("b");
  record("c");
  absent = {"a", "b", "c"};
  pass(seconds(60));
  CHECK_TRUE(decide().isQuarantined);
  LONGS_EQUAL(2, decide().endedReplicas);
  LONGS_EQUAL(1, decide().uncertainReplicas);
  CHECK(decide().retryAfter == kLifetime - seconds(60));
}

TEST(RunHistories, aRunThatIsRecordedAgainCountsOnce) {
  for (int change = 0; change < 5; ++change) {
    record("a");
  }
  CHECK_FALSE(decide().isQuarantined);
}

// A process that took over a replica's id may not have been read yet.
TEST(RunHistories, eachRunAtOneReplicaCounts) {
  for (std::uint64_t number = 1; number <= 3; ++number) {
    histories.record(kRequest, interruptedRun(number, "a"), now + kLifetime, now);
  }
  CHECK_TRUE(decide().isQuarantined);
}

// Each may have met another process under the id, one that ended before its registration was read.
TEST(RunHistories, furtherRunsAtAReplicaThatEndedCountAndAreNeverCertain) {
  for (std::uint64_t number = 1; number <= 3; ++number) {
    histories.record(kRequest, interruptedRun(number, "a"), now + kLifetime, now);
  }
  absent = {"a"};
  pass(seconds(60));
  CHECK_TRUE(decide().isQuarantined);
  LONGS_EQUAL(1, decide().endedReplicas);
  CHECK(decide().retryAfter == kLifetime - seconds(60));
}

// It may be the next process under the id, or an entry that the store has not removed yet.
TEST(RunHistories, aRegistrationThatIsStillThereProvesNothing) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
  }
  CHECK(decide().retryAfter == kRunTime + knobs.usualProofTime);
  pass(seconds(60));
  CHECK_TRUE(decide().isQuarantined);
  CHECK(decide().retryAfter == knobs.usualProofTime);
  absent = {"a", "b", "c"};
  pass(seconds(1));
  LONGS_EQUAL(3, decide().endedReplicas);
}

TEST(RunHistories, runsInProgressCountAndMayBeAnsweredSoon) {
  for (std::uint64_t number = 1; number <= 3; ++number) {
    ReplicaRun run = interruptedRun(number, std::to_string(number));
    run.isInterrupted = false;
    histories.record(kRequest, run, now + kLifetime, now);
  }
  CHECK_TRUE(decide().isQuarantined);
  CHECK(decide().retryAfter == knobs.usualProofTime);
}

TEST(RunHistories, aSuccessClearsTheRunsOfItsSession) {
  ReplicaRun run = interruptedRun(1, "a");
  run.session = 7;
  histories.record(kRequest, run, now + kLifetime, now);
  CHECK_FALSE(histories.clear(kRequest, 8, now, RunEvidence::LaterSuccess));
  CHECK_TRUE(histories.clear(kRequest, 7, now, RunEvidence::LaterSuccess));
  LONGS_EQUAL(0, decide().uncertainReplicas);
}

TEST(RunHistories, runsInProgressAreNotClearedBySuccesses) {
  ReplicaRun run = interruptedRun(1, "a");
  run.isInterrupted = false;
  histories.record(kRequest, run, now + kLifetime, now);
  CHECK_FALSE(histories.clear(kRequest, std::nullopt, now, RunEvidence::LaterSuccess));
}

TEST(RunHistories, replicasWhoseRegistrationsAreGoneCountUntilTheHistoryExpires) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
  }
  absent = {"a", "b", "c"};
  pass(seconds(4));
  CHECK_TRUE(decide().isQuarantined);
  CHECK_FALSE(decide().retryAfter.has_value());
  absent.clear();  // Other processes take over the ids.
  pass(seconds(590));
  CHECK_TRUE(decide().isQuarantined);
  LONGS_EQUAL(1, histories.quarantinedRequests());
  pass(seconds(10));
  CHECK_FALSE(decide().isQuarantined);
  CHECK_TRUE(histories.isEmpty());
}

TEST(RunHistories, twoEndedReplicasAndOneThatMayLive) {
  record("a");
  record("b");
  absent = {"a", "b"};
  pass(seconds(4));
  record("c");
  CHECK_TRUE(decide().isQuarantined);
  CHECK(decide().retryAfter == kRunTime + knobs.usualProofTime);
  CHECK_TRUE(settle("c", RunState::Survived));
  CHECK_FALSE(decide().isQuarantined);
}

TEST(RunHistories, uncertainRunsCountWhileTheStoreIsUnavailable) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
  }
  pass(seconds(60), false);
  CHECK_TRUE(decide().isQuarantined);
  isListed = false;
  pass(seconds(60));
  CHECK_TRUE(decide().isQuarantined);
}

// A node may not have read the registration of a new replica yet.
TEST(RunHistories, aRegistrationThatWasNotReadSinceTheRunIsNoEnd) {
  absent = {"a"};
  record("a");
  LONGS_EQUAL(0, decide().endedReplicas);
  pass(milliseconds(100));
  LONGS_EQUAL(1, decide().endedReplicas);
}

TEST(RunHistories, aRunThatWasNotExecutedDoesNotCount) {
  for (const char* replica : {"a", "b", "c"}) {
    record(replica);
    CHECK_TRUE(settle(replica, RunState::NotExecuted));
  }
  CHECK_FALSE(decide().isQuarantined);
  record("a");
  record("b");
  record("c");
  CHECK_TRUE(decide().isQuarantined);
}

TEST(RunHistories, aVerdictSettlesOneRunAndOutdatedCopiesDoNotBringItBack) {
  record("a");
  record("b");
  RunHistories other{knobs};
  other.merge(kRequest, copyOf(histories), now);
  CHECK_TRUE(settle("a", RunState::Survived));
  CHECK_FALSE(settle("a", RunState::Survived));
  CHECK_FALSE(histories.merge(kRequest, copyOf(other), now));
  LONGS_EQUAL(1, decide().uncertainReplicas);
  CHECK_TRUE(other.merge(kRequest, copyOf(histories), now));
  LONGS_EQUAL(1, other.decide(kRequest, view(), now).uncertainReplicas);
}

TEST(RunHistories, runsAreClearedThatWereInterruptedUntilThen) {
  record("a");
  record("b");
  const Instant until = now;
  pass(milliseconds(1));
  record("c");
  CHECK_TRUE(histories.clear(kRequest, std::nullopt, until, RunEvidence::Operator));
  LONGS_EQUAL(1, decide().uncertainReplicas);
}

TEST(RunHistories, aVerdictOnARequestWithoutHistoryIsNotRemembered) {
  CHECK_FALSE(settle("a", RunState::Survived));
  CHECK_FALSE(histories.clear(kRequest, std::nullopt, now, RunEvidence::Operator));
  CHECK_TRUE(histories.isEmpty());
}

// A message may be read long after it was sent: verdicts are tied to runs, not to times.
TEST(RunHistories, aVerdictThatArrivesLateLeavesLaterRunsCounted) {
  record("a");
  settle("a", RunState::Survived);
  const RunHistory verdict = copyOf(histories);
  RunHistories other{knobs};
  pass(seconds(2));
  for (std::uint64_t number = 1; number <= 3; ++number) {
    other.record(kRequest, {number, "b", ReplicaStart(1)}, now + kLifetime, now);
  }
  pass(seconds(2));
  other.merge(kRequest, verdict, now);
  LONGS_EQUAL(3, other.decide(kRequest, view(), now).uncertainReplicas);
}

TEST(RunHistories, nodesThatMergeInAnyOrderAgree) {
  RunHistories one{knobs};
  RunHistories two{knobs};
  one.record(kRequest, interruptedRun(1, "a"), now + kLifetime, now);
  two.record(kRequest, interruptedRun(2, "b"), now + kLifetime, now);
  two.settle(kRequest, 2, RunState::NotExecuted, RunEvidence::Replica);
  CHECK(one.digest() != two.digest());
  CHECK_TRUE(one.merge(kRequest, copyOf(two), now));
  CHECK_TRUE(two.merge(kRequest, copyOf(one), now));
  CHECK(one.digest() == two.digest());
  CHECK_FALSE(one.merge(kRequest, copyOf(two), now));
  LONGS_EQUAL(1, one.decide(kRequest, view(), now).uncertainReplicas);
}

// An end is inferred from a registration that is gone, which may have gone for another reason.
TEST(RunHistories, proofThatAReplicaOutlivedTheRunGoesBeforeItsEnd) {
  record("a");
  RunHistories other{knobs};
  other.merge(kRequest, copyOf(histories), now);
  settle("a", RunState::Survived);
  pass(milliseconds(500));
  absent = {"a"};
  other.update(view(), now);
  LONGS_EQUAL(1, other.decide(kRequest, view(), now).endedReplicas);
  CHECK_FALSE(histories.merge(kRequest, copyOf(other), now));
  CHECK_TRUE(other.merge(kRequest, copyOf(histories), now));
  LONGS_EQUAL(0, decide().endedReplicas);
}

TEST(RunHistories, anInterruptionAfterTheVerdictCountsAgain) {
  record("a");
  RunHistories other{knobs};
  other.merge(kRequest, copyOf(histories), now);
  other.settle(kRequest, numberOf("a"), RunState::Survived, RunEvidence::Answer);
  record("a");
  CHECK_FALSE(histories.merge(kRequest, copyOf(other), now));
  CHECK_TRUE(other.merge(kRequest, copyOf(histories), now));
  LONGS_EQUAL(1, other.decide(kRequest, view(), now).uncertainReplicas);
}

TEST(RunHistories, historiesWithFewRunsAreDroppedFirst) {
  knobs.maximumHistories = 3;
  RunHistories small{knobs};
  const auto add = [&](RequestKey key, int replicas) {
    for (int replica = 0; replica < replicas; ++replica) {
      const auto number = static_cast<std::uint64_t>(replica + 1);
      small.record(key, interruptedRun(number, std::to_string(replica)), now + kLifetime, now);
    }
    now += milliseconds(1);
  };
  add({0, 1}, 3);
  add({0, 2}, 1);
  add({0, 3}, 1);
  add({0, 4}, 1);
  LONGS_EQUAL(3, small.all().size());
  LONGS_EQUAL(1, small.droppedHistories());
  CHECK(small.find({0, 1}) != nullptr);
  CHECK(small.find({0, 2}) == nullptr);
}

TEST(RunHistories, runsOfOneRequestAreBounded) {
  for (int replica = 0; replica < 100; ++replica) {
    record(std::to_string(replica));
    if (replica % 2 == 0) {
      settle(std::to_string(replica), RunState::NotExecuted);
    }
  }
  LONGS_EQUAL(knobs.maximumRuns, histories.find(kRequest)->runs.size());
  CHECK_TRUE(decide().isQuarantined);
}
