// Guards against log floods caused by unreadable records.
#include "edge/unreadable_records.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(UnreadableRecords) {
  static constexpr RecordKind kReplica = RecordKind::Replica;
  UnreadableRecordsKnobs knobs;
  UnreadableRecords records;
  Instant now{seconds(100)};
};

TEST(UnreadableRecords, logsAKeyOnceUntilItIsReadableAgain) {
  CHECK_TRUE(records.onUnreadable(kReplica, "i-1", now));
  for (int heartbeat = 0; heartbeat < 100; ++heartbeat) {
    now += seconds(2);
    CHECK_FALSE(records.onUnreadable(kReplica, "i-1", now));
  }
  LONGS_EQUAL(101, records.count(kReplica));
  records.onReadable(kReplica, "i-1");
  CHECK_TRUE(records.onUnreadable(kReplica, "i-1", now));
}

TEST(UnreadableRecords, tracksKindsAndKeysSeparately) {
  CHECK_TRUE(records.onUnreadable(kReplica, "i-1", now));
  CHECK_TRUE(records.onUnreadable(kReplica, "i-2", now));
  CHECK_TRUE(records.onUnreadable(RecordKind::Member, "i-1", now));
  LONGS_EQUAL(2, records.count(kReplica));
  LONGS_EQUAL(1, records.count(RecordKind::Member));
  LONGS_EQUAL(0, records.count(RecordKind::Operator));
}

TEST(UnreadableRecords, limitsLinesPerWindowAndLogsTheRestInTheNext) {
  std::uint32_t lines = 0;
  for (int key = 0; key < 25; ++key) {
    lines += records.onUnreadable(kReplica, std::to_string(key), now) ? 1 : 0;
  }
  LONGS_EQUAL(knobs.maximumLinesPerWindow, lines);
  now += knobs.window;
  for (int key = 0; key < 25; ++key) {
    lines += records.onUnreadable(kReplica, std::to_string(key), now) ? 1 : 0;
  }
  LONGS_EQUAL(2 * knobs.maximumLinesPerWindow, lines);
  LONGS_EQUAL(50, records.count(kReplica));
}

TEST(UnreadableRecords, limitsLinesOfAFlappingKey) {
  std::uint32_t lines = 0;
  for (int change = 0; change < 1000; ++change) {
    lines += records.onUnreadable(kReplica, "i-1", now) ? 1 : 0;
    records.onReadable(kReplica, "i-1");
  }
  LONGS_EQUAL(knobs.maximumLinesPerWindow, lines);
}

TEST(UnreadableRecords, boundsTheRememberedKeysButCountsAll) {
  for (std::size_t key = 0; key < 3 * knobs.maximumKeys; ++key) {
    now += knobs.window;
    records.onUnreadable(kReplica, std::to_string(key), now);
  }
  now += knobs.window;
  CHECK_FALSE(records.onUnreadable(kReplica, "new", now));
  // Keys that are no longer listed make room.
  records.onListed(kReplica, {"7"});
  CHECK_FALSE(records.onUnreadable(kReplica, "7", now));
  CHECK_TRUE(records.onUnreadable(kReplica, "new", now));
  LONGS_EQUAL(3 * knobs.maximumKeys + 3, records.count(kReplica));
}
