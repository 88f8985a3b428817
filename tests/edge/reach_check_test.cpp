// What connections to a replica and to a witness show of the replica.
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

TEST(ReachabilityCheck, aReplicaThatTakesAConnectionIsReachedWhateverTheWitness) {
  check();
  answer("replica", true);
  CHECK(found == Reachability::Reachable);
  answer("witness", false);
  LONGS_EQUAL(1, times);
}

TEST(ReachabilityCheck, oneThatTakesNoneIsOutOfReachWhereTheWitnessIsReached) {
  check();
  answer("replica", false);
  CHECK_FALSE(found.has_value());
  answer("witness", true);
  CHECK(found == Reachability::Unreachable);
}

TEST(ReachabilityCheck, theOrderOfTheAnswersDoesNotMatter) {
  check();
  answer("witness", true);
  CHECK_FALSE(found.has_value());
  answer("replica", false);
  CHECK(found == Reachability::Unreachable);
}

TEST(ReachabilityCheck, whereNobodyIsReachedNothingIsKnown) {
  check();
  answer("witness", false);
  answer("replica", false);
  CHECK(found == Reachability::Unknown);
  LONGS_EQUAL(1, times);
}

TEST(ReachabilityCheck, withoutAWitnessTheReplicaDecides) {
  check("");
  LONGS_EQUAL(2, client.checks.size());
  answer("replica", false);
  CHECK(found == Reachability::Unreachable);
}

// A packet of one of them was lost.
TEST(ReachabilityCheck, oneOfTheReplicasConnectionsIsEnough) {
  check();
  client.checks[0].second(true);   // The witness.
  client.checks[1].second(false);  // The replica.
  CHECK_FALSE(found.has_value());
  client.checks[2].second(true);
  CHECK(found == Reachability::Reachable);
  LONGS_EQUAL(1, times);
}
