// Guards against programs that fail in a store outage of a few seconds, and against held turns
// without a limit on time or memory.
#include "edge/turn_retention_policy.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr Duration kDeadline = milliseconds(4000);
constexpr std::size_t kTurnBytes = 20000;

TurnRetentionKnobs withoutHolds() {
  TurnRetentionKnobs knobs;
  knobs.holdsEnds = false;
  return knobs;
}

/// Time range in which the store is unavailable.
struct Outage {
  Duration begin;
  Duration end;
  [[nodiscard]] bool covers(Duration at) const { return at >= begin && at < end; }
};

/// Counts of one simulation.
struct SimulationResult {
  int inTime = 0;   ///< Programs finished within the target time.
  int late = 0;     ///< Programs finished within twice the target time.
  int lost = 0;     ///< Programs that took longer, or failed a turn three times.
  int runs = 0;     ///< Turns run by engines.
  int wasted = 0;   ///< Runs whose stream was aborted.
  int refused = 0;  ///< Refused attempts.
};

/// Simulates a program of several turns that starts every 40 ms. A client sends a turn up to three
/// times with pauses of 0.25 s; each send retries once after a refusal, with a wait of at most a
/// third of the remaining time. Engines have unlimited capacity.
class OutageSimulation {
 public:
  OutageSimulation(const TurnRetentionKnobs& knobs, Outage outage)
      : policy_(knobs), outage_(outage) {}

  SimulationResult play() {
    constexpr Duration kLastStart = seconds(30);
    constexpr Duration kProgramInterval = milliseconds(40);
    for (Duration start{}; start < kLastStart; start += kProgramInterval) {
      simulateProgram(start);
    }
    return result_;
  }

 private:
  static constexpr int kTurns = 9;
  static constexpr Duration kRunTime = milliseconds(200);
  static constexpr Duration kPauseBetweenTurns = milliseconds(150);
  static constexpr Duration kClientSilenceTimeout = seconds(2);
  /// Delay until the node detects that the store has recovered.
  static constexpr Duration kRecoveryDetectionDelay = milliseconds(300);
  static constexpr Duration kStoreLatency = milliseconds(10);

  void simulateProgram(Duration start) {
    const Duration unloadedTime = kTurns * (kRunTime + kPauseBetweenTurns + kStoreLatency);
    const Duration targetTime = unloadedTime * 16 / 10 + milliseconds(250);
    Duration now = start;
    for (int turn = 0; turn < kTurns; ++turn) {
      if (!simulateTurn(now)) {
        ++result_.lost;
        return;
      }
      now += kPauseBetweenTurns;
    }
    const Duration took = now - start;
    ++(took <= targetTime ? result_.inTime : took <= 2 * targetTime ? result_.late : result_.lost);
  }

  /// Advances `now` to the end of the turn. \return whether the turn succeeded.
  bool simulateTurn(Duration& now) {
    constexpr int kSends = 3;
    for (int send = 0; send < kSends; ++send) {
      now += send == 0 ? Duration::zero() : milliseconds(250);
      if (simulateSend(now)) {
        return true;
      }
    }
    return false;
  }

  bool simulateSend(Duration& now) {
    constexpr int kTries = 2;
    const Duration deadline = now + kDeadline;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const bool answers = !outage_.covers(now) && !outage_.covers(now - kRecoveryDetectionDelay);
      const auto decision = policy_.decide(answers, kTurnBytes, deadline - now);
      if (const auto* const refused = std::get_if<TurnRefused>(&decision)) {
        ++result_.refused;
        now += std::min(refused->retryAfter, (deadline - now) / 3);
        continue;
      }
      return simulateRun(now, deadline);
    }
    return false;
  }

  bool simulateRun(Duration& now, Duration deadline) {
    ++result_.runs;
    now += kRunTime;
    const Duration storedAt =
        outage_.covers(now) ? outage_.end + kRecoveryDetectionDelay : now + kStoreLatency;
    const Duration hold = std::min(policy_.holdLimit(deadline - now), kClientSilenceTimeout);
    policy_.onHoldStarted();
    const bool stored = storedAt <= now + hold;
    policy_.onHoldEnded(stored, std::min(storedAt - now, hold));
    now = std::min(storedAt, now + hold);
    result_.wasted += stored ? 0 : 1;
    return stored;
  }

  TurnRetentionPolicy policy_;
  Outage outage_;
  SimulationResult result_;
};

const TurnRefused* refusalOf(const RetentionDecision& decision) {
  return std::get_if<TurnRefused>(&decision);
}

}  // namespace

TEST_GROUP(TurnRetentionPolicy) { TurnRetentionPolicy policy; };

TEST(TurnRetentionPolicy, admitsEveryTurnWhileTheStoreIsAvailable) {
  policy.onTurnStarted(true, TurnRetentionKnobs{}.mostBytes);
  CHECK(refusalOf(policy.decide(true, kTurnBytes, milliseconds(1))) == nullptr);
}

TEST(TurnRetentionPolicy, admitsATurnThatHasTimeToWaitForItsRecord) {
  CHECK(refusalOf(policy.decide(false, kTurnBytes, kDeadline)) == nullptr);
}

TEST(TurnRetentionPolicy, refusesATurnWithLessTimeThanTheMinimumHold) {
  const RetentionDecision decision = policy.decide(false, kTurnBytes, milliseconds(600));
  const TurnRefused* const refused = refusalOf(decision);
  CHECK(refused != nullptr);
  CHECK(refused->reason == "store_not_answering");
  CHECK(refused->retryAfter > Duration::zero());
  CHECK(refused->retryAfter <= milliseconds(200));
}

TEST(TurnRetentionPolicy, refusesTurnsAboveTheMemoryLimitInAnOutage) {
  policy.onTurnStarted(true, TurnRetentionKnobs{}.mostBytes - kTurnBytes);
  CHECK(refusalOf(policy.decide(false, kTurnBytes, kDeadline)) == nullptr);
  const RetentionDecision decision = policy.decide(false, kTurnBytes + 1, kDeadline);
  const TurnRefused* const refused = refusalOf(decision);
  CHECK(refused != nullptr);
  CHECK(refused->reason == "turn_memory_full");
  CHECK(refused->retryAfter > seconds(1));
  policy.onTurnEnded(kTurnBytes);
  CHECK(refusalOf(policy.decide(false, kTurnBytes + 1, kDeadline)) == nullptr);
}

TEST(TurnRetentionPolicy, refusesEveryTurnInAnOutageIfEndsAreNotHeld) {
  TurnRetentionPolicy withoutHold(withoutHolds());
  const RetentionDecision decision = withoutHold.decide(false, kTurnBytes, kDeadline);
  const TurnRefused* const refused = refusalOf(decision);
  CHECK(refused != nullptr);
  CHECK(refused->retryAfter == milliseconds(800));
  CHECK(withoutHold.holdLimit(seconds(3)) == seconds(3));
}

TEST(TurnRetentionPolicy, limitsTheHoldByTheClientsTimeoutAndTheDeadline) {
  CHECK(policy.holdLimit(seconds(3)) == milliseconds(1900));
  CHECK(policy.holdLimit(milliseconds(700)) == milliseconds(700));
  CHECK(policy.holdLimit(milliseconds(-5)) == Duration::zero());
}

TEST(TurnRetentionPolicy, countsHeldLateAndAbortedEnds) {
  policy.onHoldStarted();
  policy.onHoldStarted();
  policy.onHoldStarted();
  LONGS_EQUAL(3, policy.held());
  CHECK_FALSE(policy.onHoldEnded(true, milliseconds(4)));
  CHECK_TRUE(policy.onHoldEnded(true, milliseconds(900)));
  CHECK_TRUE(policy.onHoldEnded(false, milliseconds(1900)));
  LONGS_EQUAL(0, policy.held());
  LONGS_EQUAL(1, policy.counters().storedLate);
  LONGS_EQUAL(1, policy.counters().givenUp);
}

TEST(TurnRetentionPolicy, failsNoProgramInAnOutageOfFiveSeconds) {
  const Outage fiveSeconds{seconds(10), seconds(15)};
  const SimulationResult withoutHold = OutageSimulation(withoutHolds(), fiveSeconds).play();
  const SimulationResult held = OutageSimulation({}, fiveSeconds).play();
  CHECK(withoutHold.lost > 0);
  LONGS_EQUAL(0, held.lost);
  CHECK(held.inTime >= withoutHold.inTime);
}

TEST(TurnRetentionPolicy, savesAThirdOfTheProgramsThatFailInAnOutageOfSevenSeconds) {
  const Outage sevenSeconds{seconds(10), seconds(17)};
  const SimulationResult withoutHold = OutageSimulation(withoutHolds(), sevenSeconds).play();
  const SimulationResult held = OutageSimulation({}, sevenSeconds).play();
  CHECK(held.lost * 3 <= withoutHold.lost * 2);
  CHECK(held.inTime >= withoutHold.inTime);
}

TEST(TurnRetentionPolicy, wastesNoMoreThanThreeRunsOfATurn) {
  const SimulationResult held = OutageSimulation({}, {seconds(10), seconds(60)}).play();
  LONGS_EQUAL(0, held.refused);
  CHECK(held.wasted <= 3 * held.lost);
}
