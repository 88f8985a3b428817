// Guards against lost, reordered or needlessly separate appends when callers share a batch.
#include "logstore/append_batcher.h"

#include <CppUTest/TestHarness.h>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::logstore;

TEST_GROUP(AppendBatcher) {
  FakeTimers timers;
  FakeLogStore log{timers};
  PartitionAddress address{"topic", 3};
  AppendBatcherKnobs knobs;
  std::vector<std::uint64_t> offsets;
  int failures = 0;

  AppendBatcher make() {
    return {log, timers, [this] { return timers.now; }, address, knobs};
  }
  void append(AppendBatcher & batcher, const std::string& record, Duration window,
              Duration timeLimit = milliseconds(500)) {
    batcher.append(record, window, timeLimit, [this](const StoreResult<std::uint64_t>& result) {
      if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
        offsets.push_back(*offset);
      } else {
        ++failures;
      }
    });
  }
};

TEST(AppendBatcher, combinesRecordsOfOneWindowIntoOneAppendInOrder) {
  AppendBatcher batcher = make();
  append(batcher, "a", milliseconds(10));
  timers.advance(milliseconds(5));
  append(batcher, "b", milliseconds(10));
  timers.advance(milliseconds(4));
  LONGS_EQUAL(0, log.appends);
  timers.advance(milliseconds(10));
  LONGS_EQUAL(1, log.appends);
  CHECK(offsets == (std::vector<std::uint64_t>{0, 1}));
  CHECK(log.logs[address] == (std::vector<std::string>{"a", "b"}));
}

TEST(AppendBatcher, shorterWindowFlushesAllPendingRecords) {
  AppendBatcher batcher = make();
  append(batcher, "patient", milliseconds(300));
  append(batcher, "urgent", milliseconds(2));
  timers.advance(milliseconds(10));
  LONGS_EQUAL(2, offsets.size());
  timers.advance(milliseconds(400));
  LONGS_EQUAL(1, log.appends);
}

TEST(AppendBatcher, hasAtMostOneAppendInFlightWhenTheStoreIsSlow) {
  AppendBatcher batcher = make();
  log.latency = milliseconds(200);
  for (int number = 0; number < 20; ++number) {
    append(batcher, std::to_string(number), milliseconds(5));
    timers.advance(milliseconds(10));
  }
  timers.advance(milliseconds(500));
  LONGS_EQUAL(2, log.appends);
  LONGS_EQUAL(20, offsets.size());
  LONGS_EQUAL(19, offsets.back());
}

TEST(AppendBatcher, reportsAFailureToEveryCallerOfTheBatchAndContinues) {
  AppendBatcher batcher = make();
  log.fault = FakeFault::Busy;
  append(batcher, "a", milliseconds(1));
  append(batcher, "b", milliseconds(1));
  timers.advance(milliseconds(20));
  LONGS_EQUAL(2, failures);
  log.fault = FakeFault::None;
  append(batcher, "c", milliseconds(1));
  timers.advance(milliseconds(20));
  LONGS_EQUAL(1, offsets.size());
}

TEST(AppendBatcher, sendsTheRestAtOnceAfterAFullBatch) {
  knobs.maximumBatchBytes = 100;
  AppendBatcher batcher = make();
  for (int number = 0; number < 3; ++number) {
    append(batcher, std::string(60, 'x'), milliseconds(1));
  }
  append(batcher, std::string(500, 'y'), milliseconds(1));
  timers.advance(milliseconds(50));
  LONGS_EQUAL(4, log.appends);
  LONGS_EQUAL(4, offsets.size());
}

// Guards against reservations that are recorded after their callers were told that nothing was
// reserved.
TEST(AppendBatcher, doesNotSendARecordAfterItsTimeLimit) {
  AppendBatcher batcher = make();
  log.fault = FakeFault::Silent;
  append(batcher, "lost", milliseconds(1));
  timers.advance(milliseconds(50));
  append(batcher, "late", milliseconds(1), milliseconds(200));
  append(batcher, "in time", milliseconds(1));
  log.fault = FakeFault::None;
  timers.advance(milliseconds(1000));
  CHECK(log.logs[address] == (std::vector<std::string>{"in time"}));
  LONGS_EQUAL(2, failures);
}
