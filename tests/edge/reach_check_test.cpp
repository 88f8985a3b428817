// What connections to a replica and to a witness show of the replica.
#include "edge/reach_check.h"

#include <optional>

#include "dispatch/fake_http_client.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(ReachCheck) {
  node::testing::FakeHttpClient client;
  std::optional<Reach> found;
  int times = 0;

  void check(const std::string& witness = "witness") {
    checkReach(client, "replica", witness, milliseconds(250), [this](Reach reach) {
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

TEST(ReachCheck, aReplicaThatTakesAConnectionIsReachedWhateverTheWitness) {
  check();
  answer("replica", true);
  CHECK(found == Reach::Reached);
  answer("witness", false);
  LONGS_EQUAL(1, times);
}

TEST(ReachCheck, oneThatTakesNoneIsOutOfReachWhereTheWitnessIsReached) {
  check();
  answer("replica", false);
  CHECK_FALSE(found.has_value());
  answer("witness", true);
  CHECK(found == Reach::OutOfReach);
}

TEST(ReachCheck, theOrderOfTheAnswersDoesNotMatter) {
  check();
  answer("witness", true);
  CHECK_FALSE(found.has_value());
  answer("replica", false);
  CHECK(found == Reach::OutOfReach);
}

TEST(ReachCheck, whereNobodyIsReachedNothingIsKnown) {
  check();
  answer("witness", false);
  answer("replica", false);
  CHECK(found == Reach::Unknown);
  LONGS_EQUAL(1, times);
}

TEST(ReachCheck, withoutAWitnessTheReplicaDecides) {
  check("");
  LONGS_EQUAL(2, client.checks.size());
  answer("replica", false);
  CHECK(found == Reach::OutOfReach);
}

// A packet of one of them was lost.
TEST(ReachCheck, oneOfTheReplicasConnectionsIsEnough) {
  check();
  client.checks[0].second(true);   // The witness.
  client.checks[1].second(false);  // The replica.
  CHECK_FALSE(found.has_value());
  client.checks[2].second(true);
  CHECK(found == Reach::Reached);
  LONGS_EQUAL(1, times);
}
