// A zone's reader takes changes from the fleet's reader, and the store's own word where that fails.
#include "edge/fleet_reader_store.h"

#include <optional>

#include "fake_peers.h"
#include "logstore/fake_log_store.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using logstore::ReadReply;

TEST_GROUP(FleetReaderStore) {
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  const logstore::PartitionAddress partition{"keyed.x", 0};
  FakePeers peers;
  std::string reader = "fleet";
  int unreachable = 0;
  int missed = 0;
  RelayedStore relay{
      peers, [](const logstore::PartitionAddress&) { return std::vector<std::string>(); }, 1};
  FleetReaderStore store{log,
                         relay,
                         "own",
                         {[this] { return reader; },
                          [this](const std::string&) {
                            ++unreachable;
                            reader.clear();
                          },
                          [this] { ++missed; }},
                         {}};

  void setup() override { log.logs[partition] = {"stored"}; }
  std::string read() {
    std::optional<logstore::StoreResult<ReadReply>> got;
    store.read({partition, 0}, [&got](logstore::StoreResult<ReadReply> result) { got = result; });
    timers.advance(seconds(2));
    return std::get<ReadReply>(*got).records.front();
  }
};

TEST(FleetReaderStore, takesTheFleetReadersAnswer) {
  peers.readsHere = {"fleet"};
  STRCMP_EQUAL("record", read().c_str());
  LONGS_EQUAL(0, log.reads);
}

TEST(FleetReaderStore, asksTheStoreWhenTheFleetsReaderIsNotReached) {
  peers.unreachable = {"fleet"};
  STRCMP_EQUAL("stored", read().c_str());
  LONGS_EQUAL(1, unreachable);
  STRCMP_EQUAL("stored", read().c_str());
  LONGS_EQUAL(1, missed);  // Another one is looked for.
  LONGS_EQUAL(1, peers.calls["fleet"]);
}

TEST(FleetReaderStore, asksTheStoreWhenTheFleetsReaderHasNoAnswer) {
  peers.cutOff = {"fleet"};
  STRCMP_EQUAL("stored", read().c_str());
  LONGS_EQUAL(0, unreachable);
}

TEST(FleetReaderStore, readsTheStoreWhereItIsTheFleetsReaderItself) {
  reader = "own";
  STRCMP_EQUAL("stored", read().c_str());
  LONGS_EQUAL(0, peers.calls["own"]);
}
