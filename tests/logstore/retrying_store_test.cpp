// Guards against lost calls, needless retries to a slow store, and late detection of outages.
#include "logstore/retrying_store.h"

#include <CppUTest/TestHarness.h>

#include <optional>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::logstore;

TEST_GROUP(RetryingStore) {
  FakeTimers timers;
  FakeLogStore direct{timers};
  RetryingStore store{direct, timers, [this] { return timers.now; }, {}, 7};
  const PartitionAddress partition{"t", 3};
  std::optional<StoreResult<AppendReply>> result;

  void append(Duration limit) {
    store.append({partition, {"record"}, limit},
                 [this](StoreResult<AppendReply> reply) { result = std::move(reply); });
  }
  bool appended() { return result && std::holds_alternative<AppendReply>(*result); }
};

TEST(RetryingStore, makesOneCallWhenTheStoreAnswersInTime) {
  append(seconds(1));
  timers.advance(seconds(2));
  CHECK_TRUE(appended());
  LONGS_EQUAL(1, direct.appends);
  LONGS_EQUAL(1, direct.logs[partition].size());
}

TEST(RetryingStore, retriesALostReplyLongBeforeTheTimeLimit) {
  direct.fault = FakeFault::LostReply;
  append(seconds(4));
  timers.advance(milliseconds(10));
  direct.fault = FakeFault::None;
  timers.advance(milliseconds(100));
  CHECK_TRUE(appended());
  // Both attempts were executed, so the record is in the log twice.
  LONGS_EQUAL(2, direct.logs[partition].size());
}

TEST(RetryingStore, waitsForASlowStoreAndLearnsItsPace) {
  direct.latency = milliseconds(240);
  append(seconds(4));
  timers.advance(seconds(4));
  CHECK_TRUE(appended());
  CHECK_TRUE(store.isLikelyAvailable(partition));
  for (int call = 0; call < 10; ++call) {
    append(seconds(4));
    timers.advance(seconds(1));
  }
  const int before = direct.appends;
  append(seconds(4));
  timers.advance(seconds(4));
  LONGS_EQUAL(1, direct.appends - before);
}

TEST(RetryingStore, retriesARefusalWithBackoff) {
  direct.fault = FakeFault::Busy;
  append(seconds(2));
  timers.advance(seconds(1));
  CHECK_FALSE(result.has_value());
  CHECK(direct.appends > 2);
  CHECK(direct.appends < 20);
  direct.fault = FakeFault::None;
  timers.advance(seconds(1));
  CHECK_TRUE(appended());
}

TEST(RetryingStore, returnsTheLastErrorAtTheTimeLimit) {
  direct.fault = FakeFault::Busy;
  append(milliseconds(500));
  timers.advance(seconds(2));
  CHECK_TRUE(result.has_value());
  CHECK(std::get<StoreError>(*result).fault == StoreFault::Busy);
}

TEST(RetryingStore, detectsAnOutageAndItsEnd) {
  CHECK_TRUE(store.isLikelyAvailable(partition));
  direct.fault = FakeFault::Busy;
  append(seconds(3));
  timers.advance(milliseconds(150));
  CHECK_FALSE(store.isLikelyAvailable(partition));
  direct.fault = FakeFault::None;
  timers.advance(seconds(1));
  CHECK_TRUE(store.isLikelyAvailable(partition));
}

TEST(RetryingStore, failuresOfOnePartitionDoNotAffectOthers) {
  const PartitionAddress other{"t", 4};
  direct.fault = FakeFault::Busy;
  append(milliseconds(100));
  timers.advance(milliseconds(60));
  direct.fault = FakeFault::None;
  store.append({other, {"record"}, seconds(1)}, [](const StoreResult<AppendReply>&) {});
  timers.advance(milliseconds(6));
  CHECK_TRUE(store.isLikelyAvailable(other));
}

TEST(RetryingStore, triesAppendsAgainAtOnceWhenTheStoreAnswersAnythingAfterASilence) {
  direct.fault = FakeFault::Silent;
  append(seconds(9));
  for (std::uint32_t number = 10; number < 15; ++number) {
    store.append({{"t", number}, {"record"}, milliseconds(800)},
                 [](const StoreResult<AppendReply>&) {});
  }
  timers.advance(milliseconds(950));
  CHECK_FALSE(store.isLikelyAvailable({"t", 4}));
  direct.fault = FakeFault::None;
  const int before = direct.appends;
  store.append({{"t", 4}, {"record"}, seconds(1)}, [](const StoreResult<AppendReply>&) {});
  timers.advance(milliseconds(10));
  CHECK_TRUE(appended());
  LONGS_EQUAL(2, direct.appends - before);
}
