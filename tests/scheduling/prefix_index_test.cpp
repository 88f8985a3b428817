#include "scheduling/prefix_index.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::scheduling;

namespace {

const ReplicaIndex kFirst(0);
const ReplicaIndex kSecond(1);
const std::vector<PrefixMark> kMarks{{PrefixHash(1), 100}, {PrefixHash(2), 300}};

}  // namespace

TEST_GROUP(PrefixIndex){};

TEST(PrefixIndex, TellsTheLongestPrefixOfEachReplica) {
  PrefixIndex index(10);
  index.stored(kFirst, kMarks[0]);
  index.stored(kFirst, kMarks[1]);
  index.stored(kSecond, kMarks[0]);
  const std::vector<CachedTokens> found = index.lookup(kMarks);
  LONGS_EQUAL(2, found.size());
  LONGS_EQUAL(300, found[0].tokens);
  LONGS_EQUAL(100, found[1].tokens);
}

TEST(PrefixIndex, EvictedPrefixFallsBackToTheShorterOne) {
  PrefixIndex index(10);
  index.stored(kFirst, kMarks[0]);
  index.stored(kFirst, kMarks[1]);
  index.evicted(kFirst, PrefixHash(2));
  index.evicted(kFirst, PrefixHash(99));
  LONGS_EQUAL(100, index.lookup(kMarks)[0].tokens);
}

TEST(PrefixIndex, IsBoundedPerReplicaAndDropsTheOldest) {
  PrefixIndex index(3);
  for (std::uint64_t number = 1; number <= 5; ++number) {
    index.stored(kFirst, {PrefixHash(number), 10});
  }
  index.stored(kSecond, {PrefixHash(1), 10});
  LONGS_EQUAL(3, index.marksOf(kFirst));
  LONGS_EQUAL(1, index.marksOf(kSecond));
  const std::vector<CachedTokens> oldest = index.lookup({{PrefixHash(1), 10}});
  LONGS_EQUAL(1, oldest.size());
  CHECK(oldest[0].replica == kSecond);
}

TEST(PrefixIndex, LostEventsMakeBeliefsCountHalfUntilConfirmed) {
  PrefixIndex index(10);
  index.stored(kFirst, kMarks[1]);
  index.eventsLost(kFirst);
  LONGS_EQUAL(150, index.lookup(kMarks)[0].tokens);
  index.stored(kFirst, kMarks[1]);
  LONGS_EQUAL(300, index.lookup(kMarks)[0].tokens);
}

TEST(PrefixIndex, InventoryDropsWhatIsGoneAndConfirmsTheRest) {
  PrefixIndex index(10);
  index.stored(kFirst, kMarks[0]);
  index.stored(kFirst, kMarks[1]);
  index.eventsLost(kFirst);
  index.reconcile(kFirst, {PrefixHash(1)});
  const std::vector<CachedTokens> found = index.lookup(kMarks);
  LONGS_EQUAL(1, found.size());
  LONGS_EQUAL(100, found[0].tokens);
  index.forget(kFirst);
  LONGS_EQUAL(0, index.marksOf(kFirst));
}

TEST(PrefixIndex, SetsEveryViewOfACall) {
  PrefixIndex index(10);
  index.stored(kSecond, kMarks[1]);
  std::vector<ReplicaView> replicas(2);
  replicas[0].cachedProgramTokens = 77;
  index.applyTo(kMarks, replicas);
  LONGS_EQUAL(0, replicas[0].cachedProgramTokens);
  LONGS_EQUAL(300, replicas[1].cachedProgramTokens);
}

TEST(PrefixIndex, ChainsShareTheirCommonPart) {
  const std::string shared(400, 'a');
  const auto first = prefixChainOf(shared + std::string(200, 'b'), 16);
  const auto second = prefixChainOf(shared + std::string(200, 'c'), 16);
  LONGS_EQUAL(600 / 64, first.size());
  CHECK(first[5] == second[5]);
  CHECK(first[6] != second[6]);
  LONGS_EQUAL(16, prefixHashToHex(first[0]).size());
}
