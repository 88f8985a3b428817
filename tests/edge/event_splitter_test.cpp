// Guards against events that depend on how the stream is split into reads.
#include "edge/event_splitter.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::edge;

namespace {
const std::string kStream =
    "id: 1\ndata: first\n\nweights: 3\nid: 2\ndata: a\ndata: b\n\r\nid:3\ndata:tight\n\n";
}

TEST_GROUP(EventSplitter) { EventSplitter splitter; };

TEST(EventSplitter, readsIdsAndData) {
  const auto events = splitter.feed(kStream);
  LONGS_EQUAL(3, events.size());
  STRCMP_EQUAL("1", events[0].id.c_str());
  STRCMP_EQUAL("first", events[0].data.c_str());
  STRCMP_EQUAL("a\nb", events[1].data.c_str());
  STRCMP_EQUAL("3", events[2].id.c_str());
  STRCMP_EQUAL("tight", events[2].data.c_str());
  CHECK_FALSE(splitter.hasPartialEvent());
}

TEST(EventSplitter, givesTheSameEventsForEverySplitOfTheBytes) {
  for (std::size_t splitPosition = 1; splitPosition < kStream.size(); ++splitPosition) {
    EventSplitter fresh;
    auto events = fresh.feed(kStream.substr(0, splitPosition));
    for (StreamEvent& event : fresh.feed(kStream.substr(splitPosition))) {
      events.push_back(std::move(event));
    }
    std::string text;
    for (const StreamEvent& event : events) {
      text += event.text;
    }
    LONGS_EQUAL(3, events.size());
    CHECK(text == kStream);
  }
}

TEST(EventSplitter, buffersAPartialEventUntilItIsDropped) {
  CHECK(splitter.feed("id: 1\ndata: ha").empty());
  CHECK_TRUE(splitter.hasPartialEvent());
  splitter.dropPartialEvent();
  const auto events = splitter.feed("id: 2\ndata: whole\n\n");
  LONGS_EQUAL(1, events.size());
  STRCMP_EQUAL("whole", events[0].data.c_str());
}
