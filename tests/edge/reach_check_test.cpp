// Guards against a replica reported as unreachable because of this node's own network fault.
#include "edge/reach_check.h"

#include <optional>

#include "dispatch/fake_http_client.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(ReachabilityCheck) {
  node::testing::FakeHttpClient client;
  std::optional<Reachability> found;
  int times = 0;

  void check(const std::string& witness = "witness") {
    checkReachability(client, "replica", witness, milliseconds(250), [this](Reachability reach) {
      found = reach;
      ++times;
    });
  }
  void answer(const std::string& address, bool reached) {
    for (const auto& [asked, callback] : client.checks) {
      if (asked == address) {
        callback(reached);
      }
    }
  }
};

TEST(ReachabilityCheck, aReplicaThatAcceptsAConnectionIsReachableWhateverTheWitness) {
  check();
  answer("replica", true);
  CHECK(found == Reachability::Reachable);
  answer("witness", false);
  LONGS_EQUAL(1, times);
}

TEST(ReachabilityCheck, aReplicaIsUnreachableIfOnlyTheWitnessAcceptsAConnection) {
  check();
  answer("replica", false);
  CHECK_FALSE(found.has_value());
  answer("witness", true);
  CHECK(found == Reachability::Unreachable);
}

TEST(ReachabilityCheck, theOrderOfTheResultsDoesNotMatter) {
  check();
  answer("witness", true);
  CHECK_FALSE(found.has_value());
  answer("replica", false);
  CHECK(found == Reachability::Unreachable);
}

TEST(ReachabilityCheck, theResultIsUnknownIfTheWitnessIsUnreachableToo) {
  check();
  answer("witness", false);
  answer("replica", false);
  CHECK(found == Reachability::Unknown);
  LONGS_EQUAL(1, times);
}

TEST(ReachabilityCheck, withoutAWitnessOnlyTheReplicaCounts) {
  check("");
  LONGS_EQUAL(2, client.checks.size());
  answer("replica", false);
  CHECK(found == Reachability::Unreachable);
}

// Guards against a false result when one connection loses a packet.
TEST(ReachabilityCheck, oneSuccessfulConnectionToTheReplicaIsEnough) {
  check();
  client.checks[0].second(true);   // The witness.
  client.checks[1].second(false);  // The replica.
  CHECK_FALSE(found.has_value());
  client.checks[2].second(true);
  CHECK(found == Reachability::Reachable);
  LONGS_EQUAL(1, times);
}
