// Whether persisted turns run while their records cannot be stored, case by case and against the
// load that the policy answers: an outage of some seconds in the middle of programs.
#include "edge/turn_retention_policy.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr Duration kDeadline = milliseconds(4000);
constexpr std::size_t kTurnBytes = 20000;

TurnRetentionKnobs refusing() {
  TurnRetentionKnobs knobs;
  knobs.holdsEnds = false;
  return knobs;
}

/// The store's way through one outage.
struct Outage {
  Duration begin;
  Duration end;
  [[nodiscard]] bool covers(Duration at) const { return at >= begin && at < end; }
};

/// What came of the programs of a replay.
struct ReplayResult {
  int inTime = 0;   ///< Within the programs' aim.
  int late = 0;     ///< Within twice the aim.
  int lost = 0;     ///< Later than that, or a turn failed three times.
  int runs = 0;     ///< Turns that engines ran.
  int wasted = 0;   ///< Runs whose end was broken off.
  int refused = 0;  ///< Tries that were refused.
};

/// One program after the other begins every 40 ms, each a line of turns. Clients behave as the
/// deployments' clients do: a turn is sent three times with a pause of 0.25 s between, each send
/// with one retry after a refusal, which waits for the time to come back up to a third of the time
/// that is left. Engines are never full, so the outage alone decides.
class OutageReplay {
 public:
  OutageReplay(const TurnRetentionKnobs& knobs, Outage outage) : policy_(knobs), outage_(outage) {}

  ReplayResult play() {
    constexpr Duration kLastStart = seconds(30);
    constexpr Duration kBetweenPrograms = milliseconds(40);
    for (Duration start{}; start < kLastStart; start += kBetweenPrograms) {
      playProgram(start);
    }
    return result_;
  }

 private:
  static constexpr int kTurns = 9;
  static constexpr Duration kRun = milliseconds(200);
  static constexpr Duration kBetweenTurns = milliseconds(150);
  static constexpr Duration kSilenceLimit = seconds(2);
  /// The node notices the store's return a little later.
  static constexpr Duration kNoticed = milliseconds(300);
  static constexpr Duration kStore = milliseconds(10);

  void playProgram(Duration start) {
    const Duration idle = kTurns * (kRun + kBetweenTurns + kStore);
    const Duration aim = idle * 16 / 10 + milliseconds(250);
    Duration now = start;
    for (int turn = 0; turn < kTurns; ++turn) {
      if (!playTurn(now)) {
        ++result_.lost;
        return;
      }
      now += kBetweenTurns;
    }
    const Duration took = now - start;
    ++(took <= aim ? result_.inTime : took <= 2 * aim ? result_.late : result_.lost);
  }

  /// Moves `now` to the turn's end. \return whether the turn ended well.
  bool playTurn(Duration& now) {
    constexpr int kSends = 3;
    for (int send = 0; send < kSends; ++send) {
      now += send == 0 ? Duration::zero() : milliseconds(250);
      if (playSend(now)) {
        return true;
      }
    }
    return false;
  }

  bool playSend(Duration& now) {
    constexpr int kTries = 2;
    const Duration deadline = now + kDeadline;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const bool answers = !outage_.covers(now) && !outage_.covers(now - kNoticed);
      const auto decision = policy_.decide(answers, kTurnBytes, deadline - now);
      if (const auto* const refused = std::get_if<TurnRefused>(&decision)) {
        ++result_.refused;
        now += std::min(refused->retryAfter, (deadline - now) / 3);
        continue;
      }
      return playRun(now, deadline);
    }
    return false;
  }

  bool playRun(Duration& now, Duration deadline) {
    ++result_.runs;
    now += kRun;
    const Duration storedAt = outage_.covers(now) ? outage_.end + kNoticed : now + kStore;
    const Duration hold = std::min(policy_.holdLimit(deadline - now), kSilenceLimit);
    policy_.onHoldStarted();
    const bool stored = storedAt <= now + hold;
    policy_.onHoldEnded(stored, std::min(storedAt - now, hold));
    now = std::min(storedAt, now + hold);
    result_.wasted += stored ? 0 : 1;
    return stored;
  }

  TurnRetentionPolicy policy_;
  Outage outage_;
  ReplayResult result_;
};

const TurnRefused* refusalOf(const RetentionDecision& decision) {
  return std::get_if<TurnRefused>(&decision);
}

}  // namespace

TEST_GROUP(TurnRetentionPolicy) { TurnRetentionPolicy policy; };

TEST(TurnRetentionPolicy, runsEveryTurnWhileTheStoreAnswers) {
  policy.onTurnStarted(true, TurnRetentionKnobs{}.mostBytes);
  CHECK(refusalOf(policy.decide(true, kTurnBytes, milliseconds(1))) == nullptr);
}

TEST(TurnRetentionPolicy, runsATurnThatHasTimeToWaitForItsRecord) {
  CHECK(refusalOf(policy.decide(false, kTurnBytes, kDeadline)) == nullptr);
}

TEST(TurnRetentionPolicy, refusesAtOnceWhatCouldNotWaitForTheShortestReturn) {
  const RetentionDecision decision = policy.decide(false, kTurnBytes, milliseconds(600));
  const TurnRefused* const refused = refusalOf(decision);
  CHECK(refused != nullptr);
  CHECK(refused->reason == "store_not_answering");
  CHECK(refused->retryAfter > Duration::zero());
  CHECK(refused->retryAfter <= milliseconds(200));
}

TEST(TurnRetentionPolicy, refusesWhatExceedsTheMemoryWhileTheStoreIsAway) {
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

TEST(TurnRetentionPolicy, refusesEveryTurnWhereEndsAreNotHeld) {
  TurnRetentionPolicy standing(refusing());
  const RetentionDecision decision = standing.decide(false, kTurnBytes, kDeadline);
  const TurnRefused* const refused = refusalOf(decision);
  CHECK(refused != nullptr);
  CHECK(refused->retryAfter == milliseconds(800));
  CHECK(standing.holdLimit(seconds(3)) == seconds(3));
}

TEST(TurnRetentionPolicy, holdsAnEndNoLongerThanItsClientListensOrItsDeadlineAllows) {
  CHECK(policy.holdLimit(seconds(3)) == milliseconds(1900));
  CHECK(policy.holdLimit(milliseconds(700)) == milliseconds(700));
  CHECK(policy.holdLimit(milliseconds(-5)) == Duration::zero());
}

TEST(TurnRetentionPolicy, countsEndsThatWaitThatCameLateAndThatWereGivenUp) {
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

TEST(TurnRetentionPolicy, losesNoProgramInAnOutageOfFiveSeconds) {
  const Outage fiveSeconds{seconds(10), seconds(15)};
  const ReplayResult standing = OutageReplay(refusing(), fiveSeconds).play();
  const ReplayResult held = OutageReplay({}, fiveSeconds).play();
  CHECK(standing.lost > 0);
  LONGS_EQUAL(0, held.lost);
  CHECK(held.inTime >= standing.inTime);
}

TEST(TurnRetentionPolicy, savesAThirdOfTheProgramsThatAnOutageOfSevenSecondsCosts) {
  const Outage sevenSeconds{seconds(10), seconds(17)};
  const ReplayResult standing = OutageReplay(refusing(), sevenSeconds).play();
  const ReplayResult held = OutageReplay({}, sevenSeconds).play();
  CHECK(held.lost * 3 <= standing.lost * 2);
  CHECK(held.inTime >= standing.inTime);
}

TEST(TurnRetentionPolicy, wastesNoMoreThanThreeRunsOfATurn) {
  const ReplayResult held = OutageReplay({}, {seconds(10), seconds(60)}).play();
  LONGS_EQUAL(0, held.refused);
  CHECK(held.wasted <= 3 * held.lost);
}
