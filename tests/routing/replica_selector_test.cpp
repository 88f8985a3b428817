// Selection by load of all nodes, cached prompts, distance, slowness and failures.
#include "routing/replica_selector.h"

#include <set>

#include "base/random.h"
#include "routing/speed_contrast.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(ReplicaSelector) {
  ReplicaTable table;
  ReplicaSelector selector{"zone-a", {}};
  Instant now{seconds(100)};

  static bool acceptsRequests(const Replica& replica) { return replica.acceptsRequests(); }
  ReplicaPtr add(const std::string& id, const std::string& zone) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = zone;
    entry.slots = 12;
    table.upsert(entry);
    return table.ofService("s").back();
  }
  ReplicaPtr choose(std::string_view key, std::uint64_t promptTokens = 0,
                    const std::vector<ReplicaPtr>* tried = nullptr) {
    ReplicaQuery query;
    query.service = "s";
    query.affinityKey = key;
    query.promptTokens = promptTokens;
    query.tried = tried;
    return selector.choose(table, query, acceptsRequests, now);
  }
};

TEST(ReplicaSelector, choosesNoneIfNoReplicaAcceptsRequests) {
  CHECK(choose("p") == nullptr);
  add("a", "zone-a")->entry.draining = true;
  add("b", "zone-a")->gone = true;
  CHECK(choose("p") == nullptr);
}

TEST(ReplicaSelector, doesNotChooseATriedReplica) {
  const std::vector<ReplicaPtr> tried = {add("a", "zone-a")};
  CHECK(choose("p", 0, &tried) == nullptr);
}

TEST(ReplicaSelector, avoidsAReplicaWithPartialFailuresUntilTheyHaveDecayed) {
  const ReplicaPtr failing = add("grey", "zone-a");
  const ReplicaPtr far = add("far", "zone-b");
  failing->outcomes.note(true, now);
  CHECK(choose("p") == failing);  // A single failure is not significant.
  for (int request = 0; request < 6; ++request) {
    failing->outcomes.note(request % 3 == 0, now);
  }
  CHECK(choose("p") == far);
  now += seconds(20);
  CHECK(choose("p") == failing);
}

TEST(ReplicaSelector, countsFailuresReportedByOtherNodes) {
  const ReplicaPtr failing = add("grey", "zone-a");
  const ReplicaPtr far = add("far", "zone-b");
  failing->othersFailed = 3;
  failing->othersEnded = 9;
  CHECK(choose("p") == far);
}

TEST(ReplicaSelector, prefersItsZone) {
  add("far", "zone-b");
  const ReplicaPtr near = add("near", "zone-a");
  for (const char* key : {"p1", "p2", "p3", "p4"}) {
    CHECK(choose(key) == near);
  }
}

TEST(ReplicaSelector, countsTheLoadOfOtherNodes) {
  const ReplicaPtr busy = add("busy", "zone-a");
  const ReplicaPtr free = add("free", "zone-a");
  busy->othersInFlight = 9;
  for (const char* key : {"p1", "p2", "p3", "p4"}) {
    CHECK(choose(key) == free);
  }
}

TEST(ReplicaSelector, keepsAProgramAtItsCachedPromptUntilTheReplicaIsFull) {
  const ReplicaPtr first = add("a", "zone-a");
  const ReplicaPtr second = add("b", "zone-a");
  const ReplicaPtr home = choose("program");
  const ReplicaPtr other = home == first ? second : first;
  home->inFlight = 8;
  CHECK(choose("program", 2500) == home);
  CHECK(choose("program", 0) == other);
  home->inFlight = 40;
  CHECK(choose("program", 2500) == other);
}

TEST(ReplicaSelector, spreadsProgramsOverReplicas) {
  add("a", "zone-a");
  add("b", "zone-a");
  add("c", "zone-a");
  std::set<std::string> chosen;
  for (int program = 0; program < 60; ++program) {
    chosen.insert(choose("program-" + std::to_string(program), 1000)->entry.id);
  }
  LONGS_EQUAL(3, chosen.size());
}

TEST(ReplicaSelector, avoidsSuspectAndFullReplicasIfThereAreOthers) {
  const ReplicaPtr suspect = add("suspect", "zone-a");
  const ReplicaPtr full = add("full", "zone-a");
  const ReplicaPtr healthy = add("sound", "zone-b");
  suspect->suspectUntil = now + seconds(1);
  full->fullUntil = now + seconds(1);
  CHECK(choose("p", 2500) == healthy);
  healthy->gone = true;
  CHECK(choose("p", 2500) == full);
  full->gone = true;
  CHECK(choose("p", 2500) == suspect);
}

TEST(ReplicaSelector, prefersAReplicaWithAnIdleConnectionUnlessItIsBusier) {
  const ReplicaPtr near = add("near", "zone-a");
  const ReplicaPtr connected = add("connected", "zone-a");
  ReplicaQuery query;
  query.service = "s";
  query.isConnected = [&](const Replica& replica) { return &replica == connected.get(); };
  CHECK(selector.choose(table, query, acceptsRequests, now) == connected);
  connected->othersInFlight = 1;
  CHECK(selector.choose(table, query, acceptsRequests, now) == connected);
  connected->othersInFlight = 2;
  CHECK(selector.choose(table, query, acceptsRequests, now) == near);
}

TEST(ReplicaSelector, usesALapsedReplicaOnlyIfThereIsNoOther) {
  const ReplicaPtr lapsed = add("doubted", "zone-a");
  const ReplicaPtr busy = add("busy", "zone-b");
  lapsed->graceUntil = now + seconds(1);
  busy->othersInFlight = 100;
  CHECK(choose("p", 2500) == busy);
  busy->gone = true;
  CHECK(choose("p", 2500) == lapsed);
}

TEST(ReplicaSelector, avoidsAReplicaMuchSlowerThanTheMedian) {
  const ReplicaPtr slow = add("slow", "zone-a");
  add("b", "zone-a")->answerMilliseconds = 50;
  add("c", "zone-a")->answerMilliseconds = 50;
  slow->answerMilliseconds = 250;
  for (int program = 0; program < 30; ++program) {
    CHECK(choose("program-" + std::to_string(program), 1000) != slow);
  }
  slow->answerMilliseconds = 70;
  bool chosen = false;
  for (int program = 0; program < 30; ++program) {
    chosen = chosen || choose("program-" + std::to_string(program), 1000) == slow;
  }
  CHECK_TRUE(chosen);
}

TEST(ReplicaSelector, anotherRegionCostsMoreThanAnotherZone) {
  const ZoneTable zones({{"zone-a", "west"}, {"zone-b", "west"}, {"zone-c", "east"}});
  ReplicaSelectorKnobs knobs;
  knobs.otherRegionCost = 4.0;
  const ReplicaSelector far("zone-a", knobs, &zones);
  ReplicaQuery query;
  query.service = "s";
  add("c", "zone-c");
  const ReplicaPtr near = add("b", "zone-b");
  near->inFlight = 3;
  CHECK(far.choose(table, query, acceptsRequests, now) == near);
  near->inFlight = 5;
  CHECK(far.choose(table, query, acceptsRequests, now) != near);
}

TEST(ReplicaSelector, cachesPromptsInTheNearestRegionWithReplicas) {
  const ZoneTable zones({{"zone-a", "west"}, {"zone-b", "west"}, {"zone-c", "east"}});
  const ReplicaSelector near("zone-a", {}, &zones);
  ReplicaQuery query;
  query.service = "s";
  query.affinityKey = "p";
  query.promptTokens = 1000;
  for (int replica = 0; replica < 4; ++replica) {
    add("c" + std::to_string(replica), "zone-c");
  }
  const ReplicaPtr inEast = near.choose(table, query, acceptsRequests, now);
  inEast->inFlight = 3;
  CHECK(near.choose(table, query, acceptsRequests, now) == inEast);
  for (int replica = 0; replica < 4; ++replica) {
    add("b" + std::to_string(replica), "zone-b");
  }
  const ReplicaPtr inWest = near.choose(table, query, acceptsRequests, now);
  STRCMP_EQUAL("zone-b", inWest->entry.zone.c_str());
  inWest->inFlight = 3;
  CHECK(near.choose(table, query, acceptsRequests, now) == inWest);
}

// Deployments whose replicas do not differ consistently must be served as before, also while single
// replicas are measured as slow.
TEST(ReplicaSelector, choosesAsWithoutSpeedsUntilReplicasDifferConsistently) {
  SpeedContrast contrast({});
  const ReplicaSelector withSpeeds("zone-a", {}, nullptr, &contrast);
  std::vector<ReplicaPtr> replicas;
  for (int index = 0; index < 12; ++index) {
    replicas.push_back(add("r" + std::to_string(index), index % 3 == 0 ? "zone-b" : "zone-a"));
  }
  RandomSource random(3);
  int differing = 0;
  const auto compare = [&](int requests) {
    for (int request = 0; request < requests; ++request, now += milliseconds(10)) {
      for (const ReplicaPtr& replica : replicas) {
        replica->inFlight = static_cast<std::uint32_t>(random.below(16));
        replica->answerMilliseconds = static_cast<double>(50 + random.below(100));
      }
      contrast.update(table, now);
      ReplicaQuery query;
      query.service = "s";
      const std::string key = "program-" + std::to_string(request);
      query.affinityKey = key;
      query.promptTokens = random.below(3000);
      const auto before = selector.choose(table, query, acceptsRequests, now);
      differing += withSpeeds.choose(table, query, acceptsRequests, now) == before ? 0 : 1;
    }
  };
  for (int phase = 0; phase < 5; ++phase) {
    for (int index = 0; index < 4; ++index) {  // Noise, and two slow replicas: too few.
      replicas[static_cast<std::size_t>(index)]->timeFactor = index < 2 || phase % 2 == 0 ? 2.5 : 1;
    }
    compare(100);
  }
  LONGS_EQUAL(0, differing);
  for (int index = 0; index < 4; ++index) {
    replicas[static_cast<std::size_t>(index)]->timeFactor = 2.5;
    replicas[static_cast<std::size_t>(index)]->othersTimeSamples = 100;
  }
  compare(400);
  CHECK_TRUE(differing > 0);
}
