// Guards against lost, partial or wrongly counted events of a stream that spans several dispatches.
#include "edge/stream_progress.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::edge;

TEST_GROUP(StreamProgress) { StreamProgress progress{"4"}; };

TEST(StreamProgress, countsEventsOnlyWhenTheyAreReleased) {
  CHECK_TRUE(progress.receive("id: 5\ndata: a\n\n"));
  CHECK_TRUE(progress.hasOutput());
  LONGS_EQUAL(0, progress.eventsReleased());
  STRCMP_EQUAL("id: 5\ndata: a\n\n", progress.releaseEvents().c_str());
  LONGS_EQUAL(1, progress.eventsReleased());
  CHECK_FALSE(progress.hasOutput());
}

TEST(StreamProgress, dropsAPartialEventWhenAnotherRunBegins) {
  CHECK_FALSE(progress.receive("id: 5\nda"));
  CHECK_TRUE(progress.hasPartialEvent());
  STRCMP_EQUAL("4", progress.lastEventId().c_str());
  progress.beginRun();
  CHECK_FALSE(progress.hasPartialEvent());
  CHECK_TRUE(progress.receive("id: 5\ndata: b\n\n"));
  STRCMP_EQUAL("5", progress.lastEventId().c_str());
  STRCMP_EQUAL("b\n", progress.recordedData().c_str());
}
