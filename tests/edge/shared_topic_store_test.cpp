// Who reads a followed topic: the zone's readers, and the store only when no reader is reached.
#include "edge/shared_topic_store.h"

#include "fake_peers.h"
#include "logstore/fake_log_store.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using logstore::ReadReply;
using logstore::StoreError;

TEST_GROUP(SharedTopicStore) {
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  const logstore::PartitionAddress partition{"keyed.x", 0};
  logstore::TopicGateway gateway{log,
                                 timers,
                                 [this] { return timers.now; },
                                 partition,
                                 [](const std::string&, const std::string&) { return false; },
                                 {}};
  FakePeers peers;
  std::vector<ledger::HomeCandidate> nodes = {{"r1", "z", 1.0}, {"r2", "z", 1.0}};
  RelayedStore relay{peers,
                     [](const logstore::PartitionAddress&) {
                       return std::vector<std::string>{"r1", "r2"};
                     },
                     1};
  SharedTopicStore store{
      log, relay, "own", "z", [this] { return nodes; }, [this] { return timers.now; }, {}};

  void setup() override {
    store.share(partition, gateway);
    log.logs[partition] = {"stored"};
  }
  std::optional<logstore::StoreResult<ReadReply>> read() {
    std::optional<logstore::StoreResult<ReadReply>> got;
    store.read({partition, 0}, [&got](logstore::StoreResult<ReadReply> result) { got = result; });
    timers.advance(seconds(2));
    return got;
  }
};

TEST(SharedTopicStore, asksTheZonesReader) {
  peers.readsHere = {"r1", "r2"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(0, log.reads);
  LONGS_EQUAL(1, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, doesNotReadAroundReadersThatLiveAndGetNoAnswer) {
  peers.cutOff = {"r1", "r2"};
  CHECK(std::get<StoreError>(*read()).fault == logstore::StoreFault::NoAnswer);
  LONGS_EQUAL(0, log.reads);
  LONGS_EQUAL(2, peers.calls["r1"] + peers.calls["r2"]);
}

TEST(SharedTopicStore, asksTheSecondReaderWhenTheFirstIsNotReached) {
  peers.unreachable = {"r1"};
  peers.readsHere = {"r2"};
  STRCMP_EQUAL("record", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(0, log.reads);
}

TEST(SharedTopicStore, readsTheStoreWhenNoReaderIsReached) {
  peers.unreachable = {"r1", "r2"};
  STRCMP_EQUAL("stored", std::get<ReadReply>(*read()).records.front().c_str());
}

TEST(SharedTopicStore, readsByItsOwnGatewayWhereItIsTheReader) {
  nodes = {{"own", "z", 1.0}};
  STRCMP_EQUAL("stored", std::get<ReadReply>(*read()).records.front().c_str());
  LONGS_EQUAL(0, peers.calls["r1"] + peers.calls["r2"]);
}
