#include "lab/sim/event_queue.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::sim;

TEST_GROUP(EventQueue){};

TEST(EventQueue, RunsByTimeAndThenByOrderOfScheduling) {
  EventQueue events;
  std::string order;
  events.schedule(Instant(seconds(2)), [&] { order += "c"; });
  events.schedule(Instant(seconds(1)), [&] { order += "a"; });
  events.schedule(Instant(seconds(1)), [&] { order += "b"; });
  events.schedule(Instant(seconds(3)), [&] { order += "d"; });
  events.runUntil(Instant(seconds(2)));
  STRCMP_EQUAL("abc", order.c_str());
  CHECK(events.now() == Instant(seconds(2)));
}

TEST(EventQueue, AnActionMayScheduleTheNext) {
  EventQueue events;
  int runs = 0;
  std::function<void()> again = [&] {
    if (++runs < 5) {
      events.scheduleAfter(milliseconds(10), again);
    }
  };
  events.scheduleAfter(milliseconds(10), again);
  events.runUntil(Instant(seconds(1)));
  CHECK_EQUAL(5, runs);
}
