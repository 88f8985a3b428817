// Guards against retries that amplify an overload, and against a node that may never retry.
#include "routing/retry_budget.h"

#include <CppUTest/TestHarness.h>

#include "routing/completion_rate.h"

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(RetryBudget) {
  RetryBudget budget{{}};
  CompletionRate answers;
  Instant now{seconds(100)};

  /// Replays load for the given time, in steps of 10 ms.
  /// \return the granted dispatches after refusals.
  int replay(Duration time, int answersPerStep, int refusalsPerStep) {
    int granted = 0;
    for (const Instant end = now + time; now < end; now += milliseconds(10)) {
      for (int number = 0; number < answersPerStep; ++number) {
        answers.onCompleted(now);
        budget.onAnswered(answers.perSecond(now).value_or(0), now);
      }
      for (int number = 0; number < refusalsPerStep; ++number) {
        granted += budget.takeToken(now) ? 1 : 0;
      }
    }
    return granted;
  }
};

// 3,000 refusals beside 1,000 answers: without a budget each refusal becomes a further dispatch.
TEST(RetryBudget, dispatchesAfterRefusalsStayATenthOfTheAnswers) {
  const int granted = replay(seconds(10), 1, 3);
  CHECK(granted >= 95);
  CHECK(granted <= 106);
}

TEST(RetryBudget, aServiceThatAnswersNothingGetsTheMinimumRate) {
  const int granted = replay(seconds(10), 0, 3);
  CHECK(granted >= 3);
  CHECK(granted <= 4);
}

TEST(RetryBudget, anIdleNodeMayRetry) {
  CHECK_TRUE(budget.takeToken(now));
  CHECK_TRUE(budget.takeToken(now));
  CHECK_FALSE(budget.takeToken(now));
  now += seconds(5);
  CHECK_TRUE(budget.takeToken(now));
}

// Guards against tokens of a quiet time that are spent in the first second of an overload.
TEST(RetryBudget, savedTokensAreLimitedToThreeSeconds) {
  replay(seconds(60), 1, 0);
  int granted = 0;
  while (granted < 100 && budget.takeToken(now)) {
    ++granted;
  }
  CHECK(granted >= 27);
  CHECK(granted <= 33);
}

TEST(RetryBudget, theRateOfAnswersFollowsTheLoad) {
  CHECK_FALSE(answers.perSecond(now).has_value());
  replay(seconds(2), 1, 0);
  DOUBLES_EQUAL(100, answers.perSecond(now).value_or(0), 10);
  now += seconds(2);
  DOUBLES_EQUAL(50, answers.perSecond(now).value_or(0), 25);
  now += seconds(20);
  CHECK(answers.perSecond(now).value_or(9) < 1);
}
