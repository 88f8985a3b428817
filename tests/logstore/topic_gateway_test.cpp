// Guards against followers that miss changes behind a gateway, and against extra store reads.
#include "logstore/topic_gateway.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

#include "logstore/fake_log_store.h"
#include "logstore/keyed_topic_follower.h"

using namespace gorsetrail;
using namespace gorsetrail::logstore;

namespace {

/// Sends reads to the gateway, and listings to the store or the gateway as `listsStore` says.
class GatewayStore final : public LogStore {
 public:
  GatewayStore(LogStore& store, TopicGateway& gateway) : store_(store), gateway_(gateway) {}
  void append(AppendRequest request, StoreCallback<AppendReply> callback) override {
    store_.append(std::move(request), std::move(callback));
  }
  void read(ReadRequest request, StoreCallback<ReadReply> callback) override {
    gateway_.read(request, std::move(callback));
  }
  void listLatest(NewestRequest request, StoreCallback<NewestReply> callback) override {
    if (listsStore) {
      store_.listLatest(std::move(request), std::move(callback));
    } else {
      gateway_.listLatest(request, std::move(callback));
    }
  }

  bool listsStore = false;

 private:
  LogStore& store_;
  TopicGateway& gateway_;
};

}  // namespace

TEST_GROUP(TopicGateway) {
  FakeTimers timers;
  FakeLogStore log{timers};
  PartitionAddress partition{"keyed.x", 0};
  TopicGatewayKnobs knobs;
  std::unique_ptr<CompactedTopic> copy;
  std::unique_ptr<TopicGateway> gateway;
  std::unique_ptr<GatewayStore> store;
  std::vector<std::shared_ptr<KeyedTopicFollower>> followers;
  std::vector<std::map<std::string, std::string>> views;
  int receivedRecords = 0;

  void setup() override {
    copy = std::make_unique<CompactedTopic>([](const std::string& older, const std::string& newer) {
      return older.substr(0, older.find('#')) == newer.substr(0, newer.find('#'));
    });
    gateway = std::make_unique<TopicGateway>(
        log, timers, [this] { return timers.now; }, partition, *copy, knobs);
    store = std::make_unique<GatewayStore>(log, *gateway);
  }
  /// Adds a follower that fills the gateway's copy: it lists the store and reads the gateway.
  void startOwnFollower() {
    store->listsStore = true;
    follow(1, copy.get());
    timers.advance(seconds(1));
    store->listsStore = false;
  }
  void put(const std::string& key, const std::string& value) {
    log.logs[partition].push_back(encodeKeyedRecord(key, value));
  }
  void follow(std::size_t count, CompactedTopic* ownCopy = nullptr) {
    views.resize(views.size() + count);
    for (std::size_t index = views.size() - count; index < views.size(); ++index) {
      KeyedTopicObserver observer;
      observer.onRecord = [this, index](const std::string& key, const std::string& value) {
        ++receivedRecords;
        views[index][key] = value;
      };
      observer.onListed = [](const std::vector<std::string>&) {};
      observer.onFresh = [](Instant) {};
      observer.onReadFailed = [](const StoreError&) {};
      followers.push_back(std::make_shared<KeyedTopicFollower>(
          *store, timers, [this] { return timers.now; }, partition,
          KeyedTopicFollowerKnobs{Duration::zero(), milliseconds(300), milliseconds(500)}, observer,
          ownCopy));
      followers.back()->start();
    }
  }
  StoreResult<ReadReply> readFrom(std::uint64_t start) {
    StoreResult<ReadReply> outcome;
    gateway->read({partition, start},
                  [&outcome](StoreResult<ReadReply> result) { outcome = result; });
    timers.advance(seconds(1));
    return outcome;
  }
};

TEST(TopicGateway, storeReadsDoNotGrowWithTheNumberOfFollowers) {
  put("a", "1");
  startOwnFollower();
  follow(50);
  timers.advance(seconds(2));
  const int before = log.reads;
  for (int round = 0; round < 10; ++round) {
    put("a", std::to_string(round));
    timers.advance(seconds(1));
  }
  CHECK(log.reads - before <= 55);
  for (const auto& view : views) {
    STRCMP_EQUAL("9", view.at("a").c_str());
  }
}

TEST(TopicGateway, omitsUnchangedRecordsAndNothingElse) {
  put("a", "ready#1");
  startOwnFollower();
  follow(3);
  timers.advance(seconds(1));
  receivedRecords = 0;
  for (int heartbeat = 2; heartbeat < 20; ++heartbeat) {
    put("a", "ready#" + std::to_string(heartbeat));
    timers.advance(milliseconds(400));
  }
  LONGS_EQUAL(0, receivedRecords);
  put("a", "leaving#20");
  put("b", "ready#1");
  timers.advance(seconds(1));
  follow(1);
  timers.advance(milliseconds(300));
  put("a", "");
  timers.advance(seconds(1));
  for (const auto& view : views) {
    STRCMP_EQUAL("", view.at("a").c_str());
    STRCMP_EQUAL("ready#1", view.at("b").c_str());
  }
}

TEST(TopicGateway, isBusyUntilItsOwnNodeHasListed) {
  put("a", "1");
  CHECK(std::get<StoreError>(readFrom(0)).fault == StoreFault::Busy);
  LONGS_EQUAL(0, log.reads);
  std::optional<StoreResult<NewestReply>> listed;
  gateway->listLatest({partition, {}},
                      [&listed](const StoreResult<NewestReply>& result) { listed = result; });
  timers.advance(seconds(1));
  CHECK(std::get<StoreError>(*listed).fault == StoreFault::Busy);
}

TEST(TopicGateway, replyIncludesAllRecordsAppendedBeforeTheRequest) {
  put("a", "1");
  startOwnFollower();
  followers.clear();  // No other requests remain.
  log.latency = milliseconds(50);
  readFrom(1);
  std::optional<std::uint64_t> end;
  gateway->read({partition, 1}, [&end](const StoreResult<ReadReply>& result) {
    end = std::get<ReadReply>(result).end;
  });
  timers.advance(milliseconds(10));
  // A read is in progress; it must not answer a later request.
  put("a", "2");
  std::optional<std::uint64_t> later;
  gateway->read({partition, 1}, [&later](const StoreResult<ReadReply>& result) {
    later = std::get<ReadReply>(result).end;
  });
  timers.advance(seconds(1));
  CHECK_TRUE(end.has_value() && later.has_value());
  LONGS_EQUAL(2, *later);
}

TEST(TopicGateway, refusesOffsetsThatTheCopyDoesNotCover) {
  for (int number = 0; number < 20; ++number) {
    put("k" + std::to_string(number), "v");
  }
  startOwnFollower();
  // For offsets before the listing the copy has only the latest values.
  CHECK(std::get<StoreError>(readFrom(3)).fault == StoreFault::NotKept);
  LONGS_EQUAL(0, std::get<ReadReply>(readFrom(20)).records.size());
  CHECK(std::get<StoreError>(readFrom(21)).fault == StoreFault::NotKept);
}

TEST(TopicGateway, repliesWithEveryOffsetToAnEarlierVersion) {
  startOwnFollower();
  put("a", "ready#1");
  put("a", "ready#2");
  put("b", "ready#1");
  const ReadReply reply = std::get<ReadReply>(readFrom(0));
  CHECK_FALSE(reply.changes.has_value());
  LONGS_EQUAL(3, reply.records.size());
  STRCMP_EQUAL("ready#1", decodeKeyedRecord(reply.records[0]).second.c_str());
  CHECK_TRUE(reply.records[1].empty());
  STRCMP_EQUAL("b", decodeKeyedRecord(reply.records[2]).first.c_str());
}

TEST(TopicGateway, limitsTheRecordsOfAReplyToAnEarlierVersion) {
  knobs.maximumDenseRecords = 5;
  setup();
  startOwnFollower();
  for (int number = 0; number < 20; ++number) {
    put("k" + std::to_string(number), "v");
  }
  const ReadReply reply = std::get<ReadReply>(readFrom(0));
  LONGS_EQUAL(5, reply.records.size());
  LONGS_EQUAL(20, reply.end);
}

TEST(TopicGateway, returnsTheErrorOfTheStore) {
  put("a", "1");
  startOwnFollower();
  log.fault = FakeFault::Busy;
  CHECK(std::get<StoreError>(readFrom(1)).fault == StoreFault::Busy);
  log.fault = FakeFault::None;
  put("a", "2");
  LONGS_EQUAL(1, std::get<ReadReply>(readFrom(1)).records.size());
}

// Guards against wrong offsets when the node's own follower advances the copy while the gateway
// waits for a read.
TEST(TopicGateway, aCopyThatMovesOnDuringAReadMissesNothing) {
  startOwnFollower();
  followers.clear();
  log.latency = milliseconds(50);
  put("a", "1");
  put("b", "1");
  gateway->read({partition, 0}, [](const StoreResult<ReadReply>&) {});
  for (const int reads = log.reads; log.reads == reads;) {
    timers.advance(milliseconds(5));
  }
  ReadReply fromAnother;
  fromAnother.records = {log.logs[partition][0], log.logs[partition][1]};
  copy->applyReply(0, fromAnother);
  timers.advance(seconds(1));  // The reply to the gateway contains both records again.
  put("c", "1");
  const ReadReply all = std::get<ReadReply>(readFrom(0));
  LONGS_EQUAL(3, all.records.size());
}
