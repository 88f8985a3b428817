// Timers that are dropped before they are due.
#include "services/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <memory>

#include "manual_timers.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::services;
using gorsetrail::services::testing::ManualTimers;

TEST_GROUP(TimerService) {
  boost::asio::io_context context;
  TimerServicePtr timers = makeTimerService(context);
  int calls = 0;
};

TEST(TimerService, aTimerRunsItsWorkOnce) {
  const TimerPtr timer = timers->startTimer(milliseconds(1), [this] { ++calls; });
  context.run();
  LONGS_EQUAL(1, calls);
}

TEST(TimerService, aDroppedTimerFreesItsWorkAtOnce) {
  const auto held = std::make_shared<int>(1);
  TimerPtr timer = timers->startTimer(seconds(3600), [this, held] { calls += *held; });
  timer.reset();
  context.run();
  LONGS_EQUAL(1, held.use_count());
  LONGS_EQUAL(0, calls);
}

TEST(TimerService, aTimerMayBeDroppedByItsOwnWork) {
  TimerPtr timer;
  timer = timers->startTimer(milliseconds(1), [this, &timer] {
    timer.reset();
    ++calls;
  });
  context.run();
  LONGS_EQUAL(1, calls);
}

TEST(TimerService, otherServicesFreeTheWorkOfADroppedTimer) {
  ManualTimers manual;
  TimerService& service = manual;
  const auto held = std::make_shared<int>(1);
  TimerPtr timer = service.startTimer(seconds(1), [this, held] { calls += *held; });
  timer.reset();
  LONGS_EQUAL(1, held.use_count());
}
