// Guards against refused callers that all return at the same time, out of order, or later than
// clients wait.
#include "routing/return_schedule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(ReturnSchedule) {
  ReturnSchedule schedule{{}};
  RandomSource random{7};
  Instant now{seconds(100)};

  /// Refuses callers at once, their classes in turn, and returns their delays by class.
  std::vector<std::vector<Duration>> refuseAtOnce(int callers, Duration timeLeft) {
    std::vector<std::vector<Duration>> delays(kReturnClasses);
    for (int number = 0; number < callers; ++number) {
      const std::size_t index = static_cast<std::size_t>(number) % kReturnClasses;
      delays[index].push_back(
          schedule.assign({static_cast<ReturnClass>(index), timeLeft}, now, random));
    }
    return delays;
  }
  static std::vector<Duration> joined(const std::vector<std::vector<Duration>>& delays) {
    std::vector<Duration> all;
    for (const std::vector<Duration>& ofClass : delays) {
      all.insert(all.end(), ofClass.begin(), ofClass.end());
    }
    std::sort(all.begin(), all.end());
    return all;
  }
  static Duration meanOf(const std::vector<Duration>& delays) {
    Duration sum{};
    for (const Duration delay : delays) {
      sum += delay;
    }
    return sum / static_cast<Duration::rep>(delays.size());
  }
};

// With one fixed delay all 400 return within the same 100 ms.
TEST(ReturnSchedule, spreads400CallersOverTimeAtTheRateOfTheService) {
  schedule.setCompletionRate(400, now);
  const std::vector<Duration> all = joined(refuseAtOnce(400, seconds(12)));
  CHECK(all.front() >= milliseconds(148));
  CHECK(all.back() > milliseconds(1700));
  for (auto first = all.begin(); first != all.end(); ++first) {
    const auto end = std::upper_bound(first, all.end(), *first + milliseconds(100));
    // 400 completions per second are 40 in 100 ms; the random spread may add a half.
    CHECK(end - first <= 60);
  }
}

TEST(ReturnSchedule, startedAndMostUrgentProgramsReturnFirst) {
  schedule.setCompletionRate(400, now);
  const auto delays = refuseAtOnce(400, seconds(12));
  for (std::size_t index = 1; index < kReturnClasses; ++index) {
    CHECK(meanOf(delays[index - 1]) + milliseconds(100) < meanOf(delays[index]));
  }
  CHECK(ReturnClass::StartedMostUrgent == returnClassOf(WorkStage::Continuing, 0));
  CHECK(ReturnClass::Started == returnClassOf(WorkStage::Continuing, 1));
  CHECK(ReturnClass::StartingMostUrgent == returnClassOf(WorkStage::FirstTurn, 0));
  CHECK(ReturnClass::Starting == returnClassOf(WorkStage::FirstTurn, 5));
  CHECK(ReturnClass::Last == returnClassOf(WorkStage::Overdue, 0));
}

TEST(ReturnSchedule, noCallerReturnsLaterThanAThirdOfItsTimeLeft) {
  schedule.setCompletionRate(20, now);
  for (int number = 0; number < 400; ++number) {
    const Duration timeLeft = milliseconds(10 * (number % 400));
    const Duration delay = schedule.assign({ReturnClass::Started, timeLeft}, now, random);
    CHECK(delay >= Duration::zero());
    CHECK(delay <= timeLeft / 3);
  }
}

// Guards against callers without time for their place who return earlier than they must, or
// simultaneously.
TEST(ReturnSchedule, callersThatCannotWaitForTheirPlaceReturnAsLateAsTheyCan) {
  schedule.setCompletionRate(0, now);
  const std::vector<Duration> all = joined(refuseAtOnce(400, seconds(3)));
  CHECK(all.front() >= milliseconds(720));
  CHECK(all.back() > milliseconds(940));
  CHECK(all.back() <= milliseconds(1000));
  CHECK(all[200] - all.front() > milliseconds(100));
  DOUBLES_EQUAL(0, schedule.callersAhead(now), 1e-9);
}

// Guards against a backlog of places that nobody can keep, in an overload that lasts.
TEST(ReturnSchedule, callersThatCannotWaitForTheirPlaceTakeNone) {
  schedule.setCompletionRate(20, now);
  const std::vector<Duration> all = joined(refuseAtOnce(400, seconds(3)));
  // Eight places lie within 0.96 s; each class sees only those of its own and earlier classes.
  CHECK(schedule.callersAhead(now) < 20);
  CHECK(all.back() - all[200] > milliseconds(50));
}

TEST(ReturnSchedule, aStartedCallerReturnsBeforeTheStartingOnesRefusedEarlier) {
  schedule.setCompletionRate(20, now);
  Duration starting{};
  for (int number = 0; number < 20; ++number) {
    starting = schedule.assign({ReturnClass::Starting, seconds(9)}, now, random);
  }
  CHECK(starting > milliseconds(1500));
  CHECK(schedule.assign({ReturnClass::Started, seconds(9)}, now, random) <= milliseconds(192));
}

// Guards against the first callers of all nodes that return simultaneously.
TEST(ReturnSchedule, theFirstCallersOfManyNodesAreSpread) {
  std::vector<Duration> delays;
  for (int node = 0; node < 60; ++node) {
    ReturnSchedule ofNode{{}};
    ofNode.setCompletionRate(20, now);
    delays.push_back(ofNode.assign({ReturnClass::Started, seconds(9)}, now, random));
  }
  const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
  CHECK(*first >= milliseconds(148));
  CHECK(*last - *first > milliseconds(30));
}

// Guards against callers that are kept away from a service that has recovered.
TEST(ReturnSchedule, aServiceThatCompletesAgainIsReturnedToAtOnce) {
  schedule.setCompletionRate(0, now);
  refuseAtOnce(400, seconds(3));
  schedule.setCompletionRate(50, now);
  CHECK(schedule.assign({ReturnClass::Starting, seconds(3)}, now, random) <= milliseconds(192));
}

TEST(ReturnSchedule, placesLapseWithoutRefusals) {
  schedule.setCompletionRate(20, now);
  refuseAtOnce(400, seconds(12));
  CHECK(schedule.assign({ReturnClass::Last, seconds(12)}, now, random) > seconds(2));
  now += milliseconds(501);
  DOUBLES_EQUAL(0, schedule.callersAhead(now), 1e-9);
  CHECK(schedule.assign({ReturnClass::Last, seconds(12)}, now, random) <= milliseconds(192));
}

TEST(ReturnSchedule, theOrderAdvancesAtTheRateAndSavesNothingWhileItIsEmpty) {
  schedule.setCompletionRate(20, now);
  for (int number = 0; number < 10; ++number) {
    CHECK(schedule.assign({ReturnClass::Started, seconds(9)}, now, random) > Duration::zero());
  }
  now += milliseconds(400);  // Four places at half the rate.
  DOUBLES_EQUAL(6, schedule.callersAhead(now), 1e-6);
  now += seconds(60);
  CHECK(schedule.assign({ReturnClass::Started, seconds(9)}, now, random) > Duration::zero());
  CHECK(schedule.assign({ReturnClass::Started, seconds(9)}, now, random) > milliseconds(230));
}

// Guards against the longest delays at a node that has just started.
TEST(ReturnSchedule, withoutAKnownRateTheDelayIsTheUsualOneWithASpread) {
  for (const Duration delay : joined(refuseAtOnce(40, seconds(4)))) {
    CHECK(delay >= milliseconds(350));
    CHECK(delay <= milliseconds(450));
  }
}

// A burst of 400 refused callers who have one retry, at a service that completes 30 requests in
// 100 ms and serves nobody else after the burst. With one fixed delay 30 of them are served.
TEST(ReturnSchedule, mostCallersOfABurstAreServedAtTheirRetry) {
  schedule.setCompletionRate(300, now);
  std::array<int, 200> returning{};
  for (const Duration delay : joined(refuseAtOnce(400, seconds(12)))) {
    ++returning[static_cast<std::size_t>(delay / milliseconds(100))];
  }
  int served = 0;
  for (const int callers : returning) {
    served += std::min(callers, 30);
  }
  CHECK(served >= 350);
}
