// Guards against nodes that read the store directly while their zone has a reader.
#include "edge/shared_topic_store.h"

#include "fake_peers.h"
#include "logstore/fake_log_store.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using logstore::ReadReply;
using logstore::StoreError;

TEST_GROUP(SharedTopicStore) {
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  const logstore::PartitionAddress partition{"keyed.x", 0};
  logstore::CompactedTopic copy{[](const std::string&, const std::string&) { return false; }};
  logstore::TopicGateway gateway{log, timers, [this] { return timers.now; }, partition, copy, {}};
  FakePeers peers;
  std::vector<ledger::NodeCandidate> nodes = {{"r1", "z", 1.0}, {"r2", "z", 1.0}};
  std::string claimed;
  std::vector<std::string> unreachableReaders;
  std::vector<std::string> readersThatAnswered;
  std::vector<std::string> readersWithoutAnswer;
  int electionsRequested = 0;
  std::size_t members = 0;
  RelayedStore relay{peers,
                     [](const logstore::PartitionAddress&) {
                       return std::vector<std::string>{"r1", "r2"};
                     },
                     1};
  SharedTopicStore store{log, relay, "own", "z", sources(), [this] { return timers.now; }, {}};

  TopicReaderSources sources() {
    TopicReaderSources made;
    made.candidates = [this] { return nodes; };
    made.claimedReader = [this] { return claimed; };
    made.isClaimedReader = [this] { return claimed == "own"; };
    made.onUnreachable = [this](const std::string& address) {
      unreachableReaders.push_back(address);
    };
    made.onAnswered = [this](const std::string& address) {
      readersThatAnswered.push_back(address);
    };
    made.onNoAnswer = [this](const std::string& address) {
      readersWithoutAnswer.push_back(address);
    };
    made.onNoReader = [this] { ++electionsRequested; };
    made.members = [this] { return members; };
    return made;
  }
  void setup() override {
    store.routeThroughReader(partition, gateway);
    log.logs[partition] = {logstore::encodeKeyedRecord("a", "stored")};
  }
  void listOwn() {
    copy.beginListing(0);
    copy.endListing();
  }
  std::optional<logstore::StoreResult<ReadReply>> read() {
    std::optional<logstore::StoreResult<ReadReply>> got;
    store.read({partition, 0}, [&got](logstore::StoreResult<ReadReply> result) { got = result; });
    timers.advance(seconds(2));
    return got;
  }
  std::optional<logstore::StoreResult<logstore::NewestReply>> list() {
    std::optional<logstore::StoreResult<logstore::NewestReply>> got;
    store.listLatest({partition, {}},
                     [&got](logstore::StoreResult<logstore::NewestReply> result) { got = result; });
    timers.advance(seconds(2));
    return got;
  }
};

TEST(SharedTopicStore, readsThroughTheZonesReader) {
  peers.readsHere = {"r1", "r2"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(0, log.reads);
  LONGS_EQUAL(1, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, listsThroughTheZonesReader) {
  peers.listsHere = {"r1", "r2"};
  const auto listed = std::get<logstore::NewestReply>(*list());
  STRCMP_EQUAL("key", listed.items.front().key.c_str());
  LONGS_EQUAL(1, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, keepsUsingTheReaderThatAnswers) {
  nodes = {{"r1", "z", 1.0}};
  peers.readsHere = {"r1", "r2"};
  read();
  nodes = {
      {"r2", "z",
       1.0}};  // A reader that answered is kept, because another one may have to catch up first.
  read();
  LONGS_EQUAL(2, peers.calls["r1"]);
  peers.unreachable = {"r1"};
  read();
  LONGS_EQUAL(1, peers.calls["r2"]);
}

TEST(SharedTopicStore, doesNotBypassReadersThatCannotReachTheStore) {
  peers.cutOff = {"r1", "r2"};
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::NoAnswer);
  LONGS_EQUAL(0, log.reads);
  LONGS_EQUAL(2, peers.calls["r1"] + peers.calls["r2"]);
  LONGS_EQUAL(0, electionsRequested);
}

TEST(SharedTopicStore, triesTheSecondReaderIfTheFirstIsUnreachable) {
  peers.unreachable = {"r1"};
  peers.readsHere = {"r2"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(0, log.reads);
}

TEST(SharedTopicStore, usesTheClaimedReaderWhileNoMemberIsKnown) {
  nodes.clear();
  claimed = "r3";
  peers.readsHere = {"r3"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
}

TEST(SharedTopicStore, requestsAnElectionInsteadOfReadingDirectlyIfNoReaderIsReachable) {
  peers.unreachable = {"r1", "r2"};
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::NoAnswer);
  LONGS_EQUAL(0, log.reads);
  LONGS_EQUAL(2, unreachableReaders.size());
  LONGS_EQUAL(1, electionsRequested);
}

TEST(SharedTopicStore, readsTheStoreDirectlyInASmallFleet) {
  peers.unreachable = {"r1", "r2"};
  members = 100;
  listOwn();
  CHECK(!std::get<ReadReply>(*read()).records.empty());
  LONGS_EQUAL(1, electionsRequested);
  copy.beginListing(1);
  for (int key = 0; key < 600; ++key) {
    copy.addListed({"k" + std::to_string(key), "v", 0});
  }
  copy.endListing();
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::NoAnswer);
  LONGS_EQUAL(1, log.reads);
}

TEST(SharedTopicStore, listsTheStoreAndReadsThroughItsGatewayAsClaimedReader) {
  claimed = "own";
  STRCMP_EQUAL("stored", std::get<logstore::NewestReply>(*list()).items.front().value.c_str());
  listOwn();
  LONGS_EQUAL(1, std::get<ReadReply>(*read()).records.size());
  LONGS_EQUAL(1, log.reads);
  LONGS_EQUAL(0, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, readsThroughItsGatewayAsHashedReader) {
  nodes = {{"own", "z", 1.0}};
  listOwn();
  LONGS_EQUAL(1, std::get<ReadReply>(*read()).records.size());
  LONGS_EQUAL(0, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, reportsAReaderThatHasNotListedTheTopic) {
  nodes.clear();
  claimed = "r3";
  peers.unlisted = {"r3"};
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::Busy);
  LONGS_EQUAL(1, readersWithoutAnswer.size());
  STRCMP_EQUAL("r3", readersWithoutAnswer.front().c_str());
  LONGS_EQUAL(0, electionsRequested);
  peers.unlisted.clear();
  peers.readsHere = {"r3"};
  read();
  LONGS_EQUAL(1, readersThatAnswered.size());
}

// Guards against a zone without a reader after the claimed one died before others had a copy.
TEST(SharedTopicStore, requestsAnElectionIfNoReachableReaderHasListed) {
  peers.unlisted = {"r1", "r2"};
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::Busy);
  LONGS_EQUAL(1, electionsRequested);
  claimed = "r3";
  peers.readsHere = {"r3"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(1, electionsRequested);
}
