// Which node a store call goes through when this one does not reach the store.
#include "edge/store_relay.h"

#include "fake_peers.h"
// CppUTest redefines `new`: it comes after the standard headers.
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
  int lost(int calls) {
    int failures = 0;
    for (int call = 0; call < calls; ++call) {
      failures += append() ? 0 : 1;
    }
    return failures;
  }
};

TEST(RelayedStore, staysWithANodeThatReachesTheStore) {
  peers.cutOff = {"a"};
  peers.unreachable = {"b"};
  lost(20);
  LONGS_EQUAL(0, lost(100));
}

TEST(RelayedStore, leavesANodeThatIsCutOffAndOneThatIsNoLongerListed) {
  LONGS_EQUAL(0, lost(5));
  peers.cutOff = {"a", "b", "c"};
  lost(40);
  LONGS_EQUAL(0, lost(20));
  relays = {"a", "b", "c"};
  peers.calls.clear();
  lost(5);
  LONGS_EQUAL(0, peers.calls["d"]);
}

TEST(RelayedStore, withoutAnotherNodeTheCallFails) {
  relays.clear();
  peers.unreachable = {""};
  CHECK_FALSE(append());
}
