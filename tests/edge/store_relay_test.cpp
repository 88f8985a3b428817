// Guards against relaying store calls through nodes that do not reach the store.
#include "edge/store_relay.h"

#include "fake_peers.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(RelayedStore) {
  FakePeers peers;
  std::vector<std::string> relays = {"a", "b", "c", "d"};
  RelayedStore store{peers, [this](const logstore::PartitionAddress&) { return relays; }, 5};

  bool append() {
    bool done = false;
    store.append({{"t", 0}, {"record"}, milliseconds(100)},
                 [&done](const logstore::StoreResult<logstore::AppendReply>& result) {
                   done = std::holds_alternative<logstore::AppendReply>(result);
                 });
    return done;
  }
  int failedCalls(int calls) {
    int failures = 0;
    for (int call = 0; call < calls; ++call) {
      failures += append() ? 0 : 1;
    }
    return failures;
  }
};

TEST(RelayedStore, keepsUsingARelayThatReachesTheStore) {
  peers.cutOff = {"a"};
  peers.unreachable = {"b"};
  failedCalls(20);
  LONGS_EQUAL(0, failedCalls(100));
}

TEST(RelayedStore, replacesARelayThatIsCutOffOrNoLongerListed) {
  LONGS_EQUAL(0, failedCalls(5));
  peers.cutOff = {"a", "b", "c"};
  failedCalls(40);
  LONGS_EQUAL(0, failedCalls(20));
  relays = {"a", "b", "c"};
  peers.calls.clear();
  failedCalls(5);
  LONGS_EQUAL(0, peers.calls["d"]);
}

TEST(RelayedStore, failsWithoutAnyRelay) {
  relays.clear();
  peers.unreachable = {""};
  CHECK_FALSE(append());
}
