// Guards against staying on a failing direct route, and against needless use of the relay.
#include "logstore/failover_store.h"

#include <CppUTest/TestHarness.h>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::logstore;

TEST_GROUP(FailoverStore) {
  FakeTimers timers;
  FakeLogStore direct{timers};
  FakeLogStore relay{timers};
  int switches = 0;
  FailoverStore store{
      direct, relay, [this] { return timers.now; }, {}, [this](StoreRoute) { ++switches; }};
  int answered = 0;

  void call() {
    store.append({{"t", 0}, {"record"}, milliseconds(100)},
                 [this](const StoreResult<AppendReply>& reply) {
                   answered += std::holds_alternative<AppendReply>(reply) ? 1 : 0;
                 });
    timers.advance(milliseconds(100));
  }
};

TEST(FailoverStore, staysDirectWhileTheStoreIsReachable) {
  for (int number = 0; number < 5; ++number) {
    call();
  }
  LONGS_EQUAL(5, direct.appends);
  LONGS_EQUAL(0, relay.appends);
  CHECK_TRUE(store.isDirect());
}

TEST(FailoverStore, switchesToTheRelayWhenTheStoreIsUnreachable) {
  direct.fault = FakeFault::Silent;
  for (int number = 0; number < 12; ++number) {
    call();
  }
  CHECK_FALSE(store.isDirect());
  CHECK(answered >= 5);
  LONGS_EQUAL(1, switches);
}

TEST(FailoverStore, staysDirectWhileOnlySomePartitionsAreDown) {
  for (int number = 0; number < 20; ++number) {
    direct.fault = number % 4 == 0 ? FakeFault::None : FakeFault::Silent;
    call();
  }
  CHECK_TRUE(store.isDirect());
  LONGS_EQUAL(0, relay.appends);
}

TEST(FailoverStore, switchesBackWhenTheStoreIsReachableAgain) {
  direct.fault = FakeFault::Silent;
  for (int number = 0; number < 8; ++number) {
    call();
  }
  direct.fault = FakeFault::None;
  for (int number = 0; number < 12; ++number) {
    call();
  }
  CHECK_TRUE(store.isDirect());
  LONGS_EQUAL(2, switches);
}
