// Guards against requests that a planned stop takes and cuts off.
#include "edge/stop_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(StopSchedule) { const Instant start{seconds(1000)}; };

TEST(StopSchedule, takesRequestsThatFitTheRestOfTheStop) {
  const StopSchedule stop(start, seconds(8));
  CHECK_TRUE(stop.takes(start, seconds(7)));
  CHECK_FALSE(stop.takes(start, milliseconds(7301)));
  CHECK_TRUE(stop.takes(start + milliseconds(2900), seconds(4)));
  CHECK_FALSE(stop.takes(start + milliseconds(3000), milliseconds(1)));
}

TEST(StopSchedule, aShortStopTakesOnlyShortRequests) {
  const StopSchedule stop(start, seconds(3));
  CHECK_TRUE(stop.takes(start, seconds(2)));
  CHECK_FALSE(stop.takes(start + seconds(1), seconds(2)));
  CHECK_TRUE(stop.takes(start + seconds(1), seconds(1)));
}

TEST(StopSchedule, finalAnswersComeBeforeTheEndOfTheProcess) {
  const StopSchedule stop(start, seconds(8));
  CHECK(stop.finalAnswersAt() < stop.latestExitAt());
  CHECK(stop.latestExitAt() < start + seconds(8));
  CHECK(stop.earliestExitAt() < stop.finalAnswersAt());
}
