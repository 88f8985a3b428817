#include <string>
#include <vector>

#include "scheduling/scheduling_policy.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::scheduling;

namespace {

std::vector<ReplicaView> views(std::size_t count) {
  std::vector<ReplicaView> result(count);
  for (std::size_t index = 0; index < count; ++index) {
    result[index].name = "lm-" + std::to_string(index);
  }
  return result;
}

CallDescription callOver(std::uint32_t replicas, const std::string& program = "p") {
  CallDescription call;
  call.program = programIdOf({"z", "t", program});
  call.promptTokens = 8000;
  for (std::uint32_t index = 0; index < replicas; ++index) {
    call.candidates.emplace_back(index);
  }
  return call;
}

std::uint32_t chosen(std::string_view policy, const CallDescription& call,
                     const std::vector<ReplicaView>& replicas) {
  RandomSource random(1);
  return makePolicy(policy)->choose(call, replicas, random)->replica.value();
}

}  // namespace

TEST_GROUP(Policies){};

TEST(Policies, EveryNameMakesAPolicyOfThatNameAndOthersNone) {
  LONGS_EQUAL(5, policyNames().size());
  for (const std::string_view name : policyNames()) {
    CHECK(makePolicy(name)->name() == name);
  }
  CHECK(makePolicy("fastest") == nullptr);
}

TEST(Policies, NoCandidateGivesNoChoice) {
  RandomSource random(1);
  for (const std::string_view name : policyNames()) {
    CHECK_FALSE(makePolicy(name)->choose(callOver(0), views(3), random).has_value());
  }
}

TEST(Policies, OnlyCandidatesAreChosen) {
  CallDescription call = callOver(0);
  call.candidates = {ReplicaIndex(2)};
  call.previous = ReplicaIndex(0);
  std::vector<ReplicaView> replicas = views(3);
  replicas[2].reportedQueued = 1000;
  replicas[0].cachedProgramTokens = 8000;
  for (const std::string_view name : policyNames()) {
    LONGS_EQUAL(2, chosen(name, call, replicas));
  }
}

TEST(Policies, RoundRobinTakesEachInTurn) {
  const auto policy = makePolicy("round-robin");
  RandomSource random(1);
  for (std::uint32_t turn = 0; turn < 6; ++turn) {
    LONGS_EQUAL(turn % 3, policy->choose(callOver(3), views(3), random)->replica.value());
  }
}

TEST(Policies, LeastOutstandingCountsOwnCallsWhenTheReportIsOld) {
  std::vector<ReplicaView> replicas = views(3);
  replicas[0].reportedRunning = 2;
  replicas[1].ownOutstanding = 5;
  replicas[2].reportedQueued = 1;
  LONGS_EQUAL(2, chosen("least-outstanding", callOver(3), replicas));
}

TEST(Policies, SessionStickyMovesOnlyProgramsOfALostReplica) {
  for (int number = 0; number < 50; ++number) {
    const CallDescription all = callOver(5, "p" + std::to_string(number));
    const std::uint32_t before = chosen("session-sticky", all, views(5));
    CallDescription fewer = all;
    fewer.candidates.erase(fewer.candidates.begin());
    const std::uint32_t after = chosen("session-sticky", fewer, views(5));
    CHECK(before == 0 ? after != 0 : after == before);
  }
}

TEST(Policies, StickyLruStaysWithThePreviousReplica) {
  CallDescription call = callOver(3);
  call.previous = ReplicaIndex(1);
  std::vector<ReplicaView> replicas = views(3);
  replicas[1].reportedQueued = 50;
  LONGS_EQUAL(1, chosen("sticky-lru", call, replicas));
}

TEST(Policies, PrefixAffinityGoesToThePrefix) {
  std::vector<ReplicaView> replicas = views(11);
  replicas[7].cachedProgramTokens = 7900;
  replicas[7].reportedRunning = 3;
  LONGS_EQUAL(7, chosen("prefix-affinity", callOver(11), replicas));
}

TEST(Policies, PrefixAffinityOverflowsWhenTheReplicaIsFarBusier) {
  std::vector<ReplicaView> replicas = views(11);
  replicas[7].cachedProgramTokens = 800;
  replicas[7].reportedQueued = 60;
  CHECK(chosen("prefix-affinity", callOver(11), replicas) != 7);
}

TEST(Policies, PrefixAffinityFindsThePrefixAmongHundreds) {
  std::vector<ReplicaView> replicas = views(790);
  replicas[613].cachedProgramTokens = 7900;
  LONGS_EQUAL(613, chosen("prefix-affinity", callOver(790), replicas));
}

TEST(Policies, CacheWeightMakesThePrefixWorthMoreWaiting) {
  std::vector<ReplicaView> replicas = views(2);
  replicas[0].cachedProgramTokens = 7900;
  replicas[0].reportedQueued = 18;
  CallDescription call = callOver(2);
  call.previous = ReplicaIndex(0);
  call.latencyWeight = 1.0;
  LONGS_EQUAL(1, chosen("prefix-affinity", call, replicas));
  call.latencyWeight = 0.0;
  LONGS_EQUAL(0, chosen("prefix-affinity", call, replicas));
}
