// Guards against a copy of a keyed partition that misses changes or returns stale values.
#include "logstore/compacted_topic.h"

#include <map>
#include <vector>

#include "base/random.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::logstore;

namespace {

constexpr std::size_t kEverything = std::size_t{1} << 30U;

bool isEqualUpToHash(const std::string& older, const std::string& newer) {
  return older.substr(0, older.find('#')) == newer.substr(0, newer.find('#'));
}

}  // namespace

TEST_GROUP(CompactedTopic) {
  std::vector<std::string> log;
  CompactedTopic copy{isEqualUpToHash};

  void put(const std::string& key, const std::string& value) {
    log.push_back(encodeKeyedRecord(key, value));
  }
  ReadReply readLog(std::uint64_t start) const {
    ReadReply reply;
    reply.end = log.size();
    reply.records.assign(log.begin() + static_cast<std::ptrdiff_t>(start), log.end());
    return reply;
  }
  void listNothing(std::uint64_t end) {
    copy.beginListing(end);
    copy.endListing();
  }
  void readOn() { copy.applyReply(copy.end(), readLog(copy.end())); }
};

TEST(CompactedTopic, returnsNoChangesBeforeAListingIsComplete) {
  copy.beginListing(0);
  CHECK_FALSE(copy.isComplete());
  CHECK_FALSE(copy.changesSince(0, kEverything).has_value());
  copy.endListing();
  CHECK_TRUE(copy.changesSince(0, kEverything).has_value());
}

TEST(CompactedTopic, omitsHeartbeatsAndReturnsTheNextOffset) {
  listNothing(0);
  put("a", "ready#1");
  put("b", "ready#1");
  for (int heartbeat = 2; heartbeat < 1000; ++heartbeat) {
    put("a", "ready#" + std::to_string(heartbeat));
  }
  readOn();
  const ReadReply all = *copy.changesSince(0, kEverything);
  LONGS_EQUAL(2, all.records.size());
  LONGS_EQUAL(log.size(), all.changes->next);
  put("b", "draining#2");
  readOn();
  const ReadReply update = *copy.changesSince(all.changes->next, kEverything);
  LONGS_EQUAL(1, update.records.size());
  STRCMP_EQUAL("draining#2", decodeKeyedRecord(update.records.front()).second.c_str());
}

TEST(CompactedTopic, returnsEveryChangeOfAKeyUntilTheLimitIsReached) {
  copy = CompactedTopic(isEqualUpToHash, {10, 3});
  listNothing(0);
  for (const char* value : {"ready", "draining", "ready"}) {
    put("a", value);
  }
  readOn();
  const ReadReply each = *copy.changesSince(0, kEverything);
  LONGS_EQUAL(3, each.records.size());
  STRCMP_EQUAL("draining", decodeKeyedRecord(each.records[1]).second.c_str());
  put("b", "ready");
  readOn();
  // Individual changes from offset 0 are evicted, so only the latest value of each key remains.
  LONGS_EQUAL(2, copy.changesSince(0, kEverything)->records.size());
  LONGS_EQUAL(3, copy.changesSince(1, kEverything)->records.size());
}

TEST(CompactedTopic, returnsRemovedKeysToLaggingFollowers) {
  listNothing(0);
  put("a", "1");
  readOn();
  put("a", "");
  readOn();
  const ReadReply update = *copy.changesSince(1, kEverything);
  LONGS_EQUAL(1, update.records.size());
  STRCMP_EQUAL("", decodeKeyedRecord(update.records.front()).second.c_str());
  LONGS_EQUAL(0, copy.page({}, kEverything).items.size());
}

TEST(CompactedTopic, refusesOffsetsBeforeEvictedTombstones) {
  copy = CompactedTopic(isEqualUpToHash, {10, 0});
  listNothing(0);
  for (int number = 0; number < 20; ++number) {
    put("k" + std::to_string(number), "v");
    put("k" + std::to_string(number), "");
  }
  readOn();
  CHECK_FALSE(copy.changesSince(0, kEverything).has_value());
  CHECK_TRUE(copy.changesSince(log.size() - 2, kEverything).has_value());
}

TEST(CompactedTopic, returnsChangesFoundByAListingAfterRecordsWereDropped) {
  listNothing(0);
  put("stays", "1");
  put("changes", "1");
  put("goes", "1");
  readOn();
  // The next records are written and dropped before they are read.
  log.resize(10);
  copy.beginListing(10);
  copy.addListed({"stays", "1", 5});
  copy.addListed({"changes", "2", 6});
  copy.endListing();
  std::map<std::string, std::string> received;
  const ReadReply update = *copy.changesSince(3, kEverything);
  for (const std::string& record : update.records) {
    const auto [key, value] = decodeKeyedRecord(record);
    received[key] = value;
  }
  LONGS_EQUAL(2, received.size());
  STRCMP_EQUAL("2", received.at("changes").c_str());
  STRCMP_EQUAL("", received.at("goes").c_str());
  LONGS_EQUAL(10, update.changes->next);
}

TEST(CompactedTopic, returnsAChangeThatALaterListingPageAlreadyContained) {
  put("a", "1");
  copy.beginListing(1);
  put("a", "2");
  copy.addListed({"a", "2", 1});  // The page was made after the change.
  copy.endListing();
  readOn();
  const ReadReply update = *copy.changesSince(1, kEverything);
  LONGS_EQUAL(1, update.records.size());
  STRCMP_EQUAL("2", decodeKeyedRecord(update.records.front()).second.c_str());
}

TEST(CompactedTopic, ignoresAReplyThatStartsAfterItsEnd) {
  listNothing(0);
  ReadReply later;
  later.records = {encodeKeyedRecord("a", "1")};
  copy.applyReply(5, later);
  LONGS_EQUAL(0, copy.end());
  LONGS_EQUAL(0, copy.keys());
}

// Guards against lost or stale keys when one copy lists and follows another during random changes
// and removals.
TEST(CompactedTopic, chainedCopiesConvergeToTheLog) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomSource random(seed);
    log.clear();
    std::map<std::string, std::string> truth;
    CompactedTopic first{isEqualUpToHash};
    CompactedTopic second{isEqualUpToHash};
    first.beginListing(0);
    first.endListing();
    bool secondListed = false;
    for (int step = 0; step < 300; ++step) {
      const std::string key = "k" + std::to_string(random.below(12));
      const std::uint64_t what = random.below(10);
      if (what < 6) {
        const std::string value = std::to_string(random.below(3)) + "#" + std::to_string(step);
        put(key, value);
        truth[key] = value.substr(0, value.find('#'));
      } else if (what == 6) {
        put(key, "");
        truth.erase(key);
      } else if (what == 7) {
        first.applyReply(first.end(), readLog(first.end()));
      } else if (!secondListed) {
        secondListed = true;
        second.beginListing(first.end());
        std::string after;
        bool hasMore = true;
        while (hasMore) {
          const NewestReply page = first.page(after, 8);
          for (const KeyedItem& item : page.items) {
            second.addListed(item);
            after = item.key;
          }
          hasMore = page.hasMore;
          first.applyReply(first.end(), readLog(first.end()));
        }
        second.endListing();
      } else if (const auto update = first.changesSince(second.end(), 16)) {
        second.applyReply(second.end(), *update);
      }
    }
    first.applyReply(first.end(), readLog(first.end()));
    while (secondListed && second.end() < first.end()) {
      second.applyReply(second.end(), *first.changesSince(second.end(), 16));
    }
    for (CompactedTopic* const one : {&first, &second}) {
      if (one == &second && !secondListed) {
        continue;
      }
      const NewestReply page = one->page({}, kEverything);
      LONGS_EQUAL(truth.size(), page.items.size());
      for (const KeyedItem& item : page.items) {
        STRCMP_EQUAL(truth.at(item.key).c_str(),
                     item.value.substr(0, item.value.find('#')).c_str());
      }
    }
  }
}

// Guards against losing changes that share one offset, as those found by a listing do.
TEST(CompactedTopic, chainedCopyAppliesAllChangesFoundByAListing) {
  listNothing(0);
  for (const char* key : {"a", "b", "c"}) {
    put(key, "1");
  }
  readOn();
  CompactedTopic second{isEqualUpToHash};
  second.beginListing(0);
  second.endListing();
  second.applyReply(0, *copy.changesSince(0, kEverything));
  // The records of three changes are written and dropped before they are read.
  log.resize(10);
  copy.beginListing(10);
  copy.addListed({"a", "2", 5});
  copy.addListed({"b", "2", 6});
  copy.endListing();
  second.applyReply(3, *copy.changesSince(3, kEverything));
  const NewestReply page = second.page({}, kEverything);
  LONGS_EQUAL(2, page.items.size());
  STRCMP_EQUAL("2", page.items[0].value.c_str());
  STRCMP_EQUAL("2", page.items[1].value.c_str());
}
