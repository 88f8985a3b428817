#include "services/paced_loop.h"

#include "services/manual_timers.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using services::Pace;
using services::PacedLoop;
using services::RoundVerdict;

TEST_GROUP(PacedLoop) {
  services::testing::ManualTimers timers;
  std::vector<PacedLoop::Report> reports;
  PacedLoop loop{timers, Pace{}, 7,
                 [this](PacedLoop::Report report) { reports.push_back(std::move(report)); }};

  void round(RoundVerdict verdict) {
    reports.back()(verdict);
    timers.fireFirst();
  }
};

TEST(PacedLoop, DownForHoursIsAskedAtTheLongestBackoff) {
  loop.start();
  for (int failure = 0; failure < 200; ++failure) {
    round(RoundVerdict::Failed);
  }
  LONGS_EQUAL(200, loop.failures());
  for (std::size_t index = 8; index < timers.delays.size(); ++index) {
    CHECK(timers.delays[index] >= seconds(15));
    CHECK(timers.delays[index] <= seconds(30));
  }
  CHECK(timers.delays[0] >= milliseconds(250) && timers.delays[0] <= milliseconds(500));
  CHECK(timers.delays[9] != timers.delays[10]);  // Jitter.
  round(RoundVerdict::Idle);
  LONGS_EQUAL(0, loop.failures());
  CHECK(timers.delays.back() <= milliseconds(500));
}

TEST(PacedLoop, AlwaysPausesAlsoWhenThereIsMore) {
  loop.start();
  for (int busy = 0; busy < 20; ++busy) {
    round(RoundVerdict::Busy);
    CHECK(timers.delays.back() >= milliseconds(5));
  }
}

TEST(PacedLoop, RunsOneRoundAtATime) {
  loop.start();
  loop.start();
  LONGS_EQUAL(1, reports.size());
  const PacedLoop::Report first = reports[0];
  first(RoundVerdict::Idle);
  first(RoundVerdict::Idle);
  LONGS_EQUAL(1, timers.pending.size());
}

TEST(PacedLoop, StartsNothingAfterItsStop) {
  loop.start();
  loop.stop();
  reports[0](RoundVerdict::Idle);
  LONGS_EQUAL(0, timers.pending.size());
  loop.start();
  reports[1](RoundVerdict::Idle);
  loop.stop();
  timers.fireFirst();
  LONGS_EQUAL(2, reports.size());
}
