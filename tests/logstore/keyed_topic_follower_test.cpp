// Guards against missed changes and stale values through paged listings and store outages.
#include "logstore/keyed_topic_follower.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::logstore;

TEST_GROUP(KeyedTopicFollower) {
  FakeTimers timers;
  FakeLogStore store{timers};
  const PartitionAddress partition{"keyed.x", 0};
  std::map<std::string, std::string> known;
  int failures = 0;
  std::shared_ptr<KeyedTopicFollower> follower;

  void start() {
    KeyedTopicObserver observer;
    observer.onRecord = [this](const std::string& key, const std::string& value) {
      if (value.empty()) {
        known.erase(key);
      } else {
        known[key] = value;
      }
    };
    observer.onListed = [this](const std::vector<std::string>& keys) {
      for (auto entry = known.begin(); entry != known.end();) {
        const bool listed = std::find(keys.begin(), keys.end(), entry->first) != keys.end();
        entry = listed ? std::next(entry) : known.erase(entry);
      }
    };
    observer.onFresh = [](Instant) {};
    observer.onReadFailed = [this](const StoreError&) { ++failures; };
    follower = std::make_shared<KeyedTopicFollower>(
        store, timers, [this] { return timers.now; }, partition, KeyedTopicFollowerKnobs{},
        observer);
    follower->start();
  }
  void put(const std::string& key, const std::string& value) {
    store.logs[partition].push_back(encodeKeyedRecord(key, value));
  }
};

TEST(KeyedTopicFollower, completesAListingThatTheStoreAnswersSlowly) {
  // When all nodes of a large fleet start at once, the store answers their listings slowly.
  store.latency = milliseconds(900);
  put("a", "1");
  start();
  timers.advance(seconds(2));
  LONGS_EQUAL(1, known.size());
}

TEST(KeyedTopicFollower, listsInPagesAndFollowsChanges) {
  store.page = 2;
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    put(key, "1");
  }
  start();
  timers.advance(seconds(1));
  LONGS_EQUAL(5, known.size());
  put("b", "2");
  put("c", "");
  timers.advance(seconds(1));
  LONGS_EQUAL(4, known.size());
  STRCMP_EQUAL("2", known["b"].c_str());
}

TEST(KeyedTopicFollower, readsChangesMadeDuringTheListing) {
  store.page = 1;
  put("a", "1");
  put("b", "1");
  put("c", "1");
  start();
  timers.advance(milliseconds(5));  // The first page has arrived.
  put("a", "2");
  put("b", "");
  timers.advance(seconds(2));
  STRCMP_EQUAL("2", known["a"].c_str());
  LONGS_EQUAL(0, known.count("b"));
}

TEST(KeyedTopicFollower, resumesAfterAnOutage) {
  put("a", "1");
  start();
  timers.advance(seconds(1));
  store.fault = FakeFault::Silent;
  timers.advance(seconds(3));
  CHECK(failures > 0);
  put("a", "2");
  store.fault = FakeFault::None;
  timers.advance(seconds(2));
  STRCMP_EQUAL("2", known["a"].c_str());
}

TEST(KeyedTopicFollower, retryNowEndsAPauseOnlyAfterAFailure) {
  put("a", "1");
  store.fault = FakeFault::Busy;
  start();
  timers.advance(seconds(3));
  store.fault = FakeFault::None;
  follower->retryNow();
  timers.advance(milliseconds(10));
  LONGS_EQUAL(1, known.size());
  const int reads = store.reads;
  follower->retryNow();  // No call failed, so the pause is not shortened.
  timers.advance(milliseconds(10));
  LONGS_EQUAL(reads, store.reads);
}
