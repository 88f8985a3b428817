// Lives of one id: a later start ends what is known of the earlier one, in the table, in digests
// and in the rule for cold replicas; an earlier start that comes late changes nothing.
#include "routing/replica_life.h"

#include <memory>
#include <string>
#include <vector>

#include "routing/cold_replica_rule.h"
#include "routing/evacuation.h"
#include "routing/fleet_load.h"
#include "routing/replica_table.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

constexpr std::uint64_t kFirstStart = 1'800'000'000'000;
constexpr std::uint64_t kSecondStart = kFirstStart + 20'000;
constexpr std::uint64_t kThirdStart = kSecondStart + 300;

ReplicaEntry entryOf(std::optional<std::uint64_t> startedAt,
                     const std::string& address = "10.0.0.1:80", const std::string& zone = "z") {
  ReplicaEntry entry;
  entry.id = "a";
  entry.service = "s";
  entry.address = address;
  entry.zone = zone;
  entry.slots = 4;
  if (startedAt) {
    entry.startedAt = ReplicaStart(*startedAt);
  }
  return entry;
}

}  // namespace

TEST_GROUP(ReplicaLife) {
  ReplicaTable table;
  Instant now{seconds(100)};

  ReplicaPtr only() const {
    LONGS_EQUAL(1, table.size());
    LONGS_EQUAL(1, table.ofService("s").size());
    POINTERS_EQUAL(table.find("a").get(), table.ofService("s").front().get());
    return table.find("a");
  }
};

TEST(ReplicaLife, startsAreOrderedOnlyWhereBothAreTold) {
  const ReplicaStart first(kFirstStart);
  const ReplicaStart second(kSecondStart);
  CHECK(compareIncarnations(first, second) == IncarnationOrder::Later);
  CHECK(compareIncarnations(second, first) == IncarnationOrder::Earlier);
  CHECK(compareIncarnations(first, first) == IncarnationOrder::Same);
  CHECK(compareIncarnations({}, first) == IncarnationOrder::Same);
  CHECK(compareIncarnations(first, {}) == IncarnationOrder::Same);
}

TEST(ReplicaLife, aStartIsPlacedOnThisNodesClock) {
  const ReplicaStart start(kFirstStart);
  CHECK(lifeBeganAt(start, kFirstStart + 5000, now) == now - seconds(5) - kMaxClockSkew);
  // A clock that runs ahead: not later than now.
  CHECK(lifeBeganAt(start, kFirstStart - 5000, now) == now - kMaxClockSkew);
}

TEST(ReplicaLife, aStartFarAheadOfThisNodesClockIsNone) {
  const std::uint64_t lead = 60'000;
  CHECK_TRUE(isPlausible(ReplicaStart(kFirstStart), kFirstStart));
  CHECK_TRUE(isPlausible(ReplicaStart(kFirstStart + lead), kFirstStart));
  CHECK_FALSE(isPlausible(ReplicaStart(kFirstStart + lead + 1), kFirstStart));
  CHECK_FALSE(isPlausible(ReplicaStart(UINT64_MAX), kFirstStart));
  CHECK_TRUE(isPlausible(ReplicaStart(0), kFirstStart));
}

TEST(ReplicaLife, aLaterStartBeginsWithNothingOfTheEarlierOne) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  earlier->inFlight = 3;
  earlier->othersInFlight = 2;
  earlier->heardAt = now;
  earlier->failures = 4;
  earlier->outcomes.note(true, now);
  earlier->outcomes.note(true, now);
  earlier->othersFailed = 5;
  earlier->othersEnded = 5;
  earlier->suspectUntil = now + seconds(1);
  earlier->fullUntil = now + seconds(1);
  earlier->coldUntil = now + seconds(1);
  earlier->isResponsive = true;
  earlier->answerMilliseconds = 70;
  CHECK(table.upsert(entryOf(kSecondStart)) == ReplicaChange::Restarted);
  const ReplicaPtr later = only();
  CHECK(later != earlier);
  CHECK_FALSE(earlier->acceptsRequests());
  CHECK_TRUE(earlier->hasEnded());
  CHECK_TRUE(later->acceptsRequests());
  CHECK_FALSE(later->hasEnded());
  DOUBLES_EQUAL(0, later->load(), 1e-9);
  DOUBLES_EQUAL(0, later->failureShare(now), 1e-9);
  LONGS_EQUAL(0, later->failures);
  CHECK(later->heardAt == Instant{});
  CHECK(later->suspectUntil == Instant{});
  CHECK(later->fullUntil == Instant{});
  CHECK(later->coldUntil == Instant{});
  CHECK_FALSE(later->isResponsive);
  DOUBLES_EQUAL(0, later->answerMilliseconds, 1e-9);
  --earlier->inFlight;  // A request of the earlier life ends.
  LONGS_EQUAL(0, later->inFlight);
}

TEST(ReplicaLife, theSameStartIsTheSameLife) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr replica = only();
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::None);
  CHECK(table.upsert(entryOf(kFirstStart, "10.0.0.2:80")) == ReplicaChange::Moved);
  CHECK(only() == replica);
}

TEST(ReplicaLife, aRestartElsewhereHasTheNewAddressAndZoneAlone) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  CHECK(table.upsert(entryOf(kSecondStart, "10.0.0.2:80", "y")) == ReplicaChange::Restarted);
  STRCMP_EQUAL("10.0.0.2:80", only()->entry.address.c_str());
  STRCMP_EQUAL("y", only()->entry.zone.c_str());
  STRCMP_EQUAL("10.0.0.1:80", earlier->entry.address.c_str());
}

TEST(ReplicaLife, anEntryOfAnEarlierLifeTakesNothingBack) {
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  const ReplicaPtr replica = only();
  table.doubt("a", now);
  ReplicaEntry late = entryOf(kFirstStart);
  late.draining = true;
  CHECK(table.upsert(late) == ReplicaChange::Outdated);
  CHECK(only() == replica);
  STRCMP_EQUAL("10.0.0.2:80", replica->entry.address.c_str());
  CHECK_TRUE(replica->acceptsRequests());
  CHECK_TRUE(replica->graceUntil.has_value());
  LONGS_EQUAL(1, table.outdatedEntries());
}

TEST(ReplicaLife, twoNodesEndWithTheSameLifeInWhicheverOrderTheyRead) {
  ReplicaTable other;
  table.upsert(entryOf(kFirstStart, "10.0.0.1:80"));
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  other.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  other.upsert(entryOf(kFirstStart, "10.0.0.1:80"));
  STRCMP_EQUAL("10.0.0.2:80", only()->entry.address.c_str());
  STRCMP_EQUAL("10.0.0.2:80", other.find("a")->entry.address.c_str());
}

TEST(ReplicaLife, drainingBeforeAndReadyAfter) {
  ReplicaEntry leaving = entryOf(kFirstStart);
  leaving.draining = true;
  table.upsert(leaving);
  table.upsert(entryOf(kSecondStart));
  CHECK_TRUE(only()->acceptsRequests());
  leaving.startedAt = ReplicaStart(kThirdStart);
  CHECK(table.upsert(leaving) == ReplicaChange::Restarted);
  CHECK_FALSE(only()->acceptsRequests());
}

TEST(ReplicaLife, aDoubtedReplicaThatStartsAgainIsSound) {
  table.upsert(entryOf(kFirstStart));
  table.doubt("a", now);
  table.upsert(entryOf(kSecondStart));
  CHECK(table.dropDoubtful(now + seconds(9)).empty());
  CHECK_FALSE(only()->graceUntil.has_value());
}

TEST(ReplicaLife, anIdWithoutAStartHasOneLife) {
  table.upsert(entryOf({}));
  const ReplicaPtr replica = only();
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::None);
  CHECK(only() == replica);
  CHECK(table.upsert(entryOf(kSecondStart)) == ReplicaChange::Restarted);
}

TEST(ReplicaLife, anIdThatStopsTellingItsStartKeepsTheOneThatItTold) {
  table.upsert(entryOf(kSecondStart));
  CHECK_FALSE(only()->startUntold);
  CHECK(table.upsert(entryOf({})) == ReplicaChange::None);
  CHECK_TRUE(only()->startUntold);
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::Outdated);
  CHECK(table.upsert(entryOf(kThirdStart)) == ReplicaChange::Restarted);
  CHECK_FALSE(only()->startUntold);
}

TEST(ReplicaLife, anEarlierLifeDoesNotComeBackAfterTheIdWasRemoved) {
  table.upsert(entryOf(kSecondStart));
  const ReplicaPtr earlier = only();
  table.remove("a");
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::Outdated);
  LONGS_EQUAL(0, table.size());
  CHECK(table.upsert(entryOf(kSecondStart)) == ReplicaChange::Added);
  CHECK_FALSE(earlier->hasEnded());
  table.remove("a");
  CHECK(table.upsert(entryOf(kThirdStart)) == ReplicaChange::Restarted);
}

TEST(ReplicaLife, requestsOfARemovedReplicaLearnThatItsProcessStartedAgain) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  table.remove("a");
  table.upsert(entryOf(kSecondStart));
  CHECK_TRUE(earlier->hasEnded());
}

TEST(ReplicaLife, requestsAreAtTheLifeThatTheyWereSentTo) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr first = only();
  table.upsert(entryOf(kSecondStart), now);
  const ReplicaPtr second = only();
  table.upsert(entryOf(kThirdStart), now + seconds(2));
  const ReplicaPtr third = only();
  CHECK(lifeAt(first, now - seconds(1)) == first);
  CHECK(lifeAt(first, now + seconds(1)) == second);
  CHECK(lifeAt(first, now + seconds(2)) == third);
  CHECK_TRUE(second->hasEnded());
}

TEST(ReplicaLife, theOldestDepartedIdsAreForgotten) {
  DepartedReplicas departed;
  for (std::size_t number = 0; number < DepartedReplicas::kMaxDeparted + 10; ++number) {
    departed.insert(std::to_string(number), {ReplicaStart(number), {}});
    departed.insert(std::to_string(number), {ReplicaStart(number), {}});
  }
  LONGS_EQUAL(DepartedReplicas::kMaxDeparted, departed.size());
  CHECK(departed.find("9") == nullptr);
  CHECK(departed.find("10") != nullptr);
  departed.remove("10");
  CHECK(departed.find("10") == nullptr);
}

TEST(ReplicaLife, whatOtherNodesToldOfAnEarlierLifeDoesNotCountForTheLaterOne) {
  FleetLoad load{{}};
  table.upsert(entryOf(kFirstStart));
  const ReplicaHash earlier = replicaHashOf("a", ReplicaStart(kFirstStart));
  const ReplicaHash later = replicaHashOf("a", ReplicaStart(kSecondStart));
  load.onDigest({1, 1, {{earlier, 9}}, {{earlier, 4.0, 4.0}}, 0}, now);
  load.onDigest({2, 1, {{later, 2}}, {}, 0}, now);
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(9, only()->othersInFlight, 1e-9);
  table.upsert(entryOf(kSecondStart));
  load.apply(table, {2, 0}, now);
  DOUBLES_EQUAL(2, only()->othersInFlight, 1e-9);
  DOUBLES_EQUAL(0, only()->failureShare(now), 1e-9);
}

TEST(ReplicaLife, anEvacuatedZoneHoldsForTheLifeThatIsThere) {
  EvacuationTable evacuations;
  EvacuationRule rule(evacuations, {});
  evacuations.onEvacuated("z", now);
  evacuations.onListed({"z"});
  table.upsert(entryOf(kFirstStart, "10.0.0.1:80", "z"));
  CHECK_TRUE(rule.barOf(*only(), {}, now).has_value());
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80", "y"));
  CHECK_FALSE(rule.barOf(*only(), {}, now).has_value());
  table.upsert(entryOf(kThirdStart, "10.0.0.1:80", "z"));
  CHECK_TRUE(rule.barOf(*only(), {}, now).has_value());
}

TEST_GROUP(ColdReplicaLife) {
  ReplicaTable table;
  Instant now{seconds(1000)};
  Service service;
  std::vector<std::string> nodes{"node"};
  std::unique_ptr<ColdReplicaRule> rule;

  void setup() override {
    service.name = "s";
    service.coldTime = seconds(3);
    service.coldRequestsPerSecond = 25;
    ColdReplicaSources sources;
    sources.serviceOf = [this](std::string_view) { return &service; };
    sources.nodes = [this]() -> const std::vector<std::string>& { return nodes; };
    rule = std::make_unique<ColdReplicaRule>(ColdReplicaKnobs{}, sources, "node", 77);
    rule->onEvacuationsListed(now);
    now += seconds(2);
    rule->onEvacuationsFresh(now);
    rule->onFresh(now);
  }
  ReplicaPtr registers(std::uint64_t startedAt, std::optional<Duration> coldFor) {
    ReplicaEntry entry = entryOf(startedAt);
    entry.coldFor = coldFor;
    const ReplicaPtr before = table.find("a");
    if (table.upsert(entry) == ReplicaChange::Restarted) {
      rule->onLifeEnded("a");
    }
    const ReplicaPtr replica = table.find("a");
    rule->onRegistration(*replica, replica != before, now);
    return replica;
  }
  std::size_t changes() { return rule->tend(table.all(), now).size(); }
};

TEST(ColdReplicaLife, aWarmReplicaThatStartsAgainIsCold) {
  registers(kFirstStart, Duration::zero());
  CHECK_FALSE(rule->isCold(*table.find("a"), now));
  // Its registration says nothing of it: taken for cold for as long as its service's replicas are.
  registers(kSecondStart, std::nullopt);
  CHECK_TRUE(rule->isCold(*table.find("a"), now));
}

TEST(ColdReplicaLife, theRateOfTheEarlierLifeIsNotTheLaterOnes) {
  registers(kFirstStart, seconds(3));
  LONGS_EQUAL(1, changes());
  now += milliseconds(900);
  CHECK_FALSE(rule->barOf(*table.find("a"), {}, now).has_value());  // A token has gathered.
  registers(kSecondStart, seconds(3));
  CHECK_TRUE(rule->barOf(*table.find("a"), {}, now).has_value());
  LONGS_EQUAL(1, changes());  // Told again: another life is cold.
  CHECK_TRUE(rule->barOf(*table.find("a"), {}, now).has_value());
  now += milliseconds(900);
  CHECK_FALSE(rule->barOf(*table.find("a"), {}, now).has_value());
}

TEST(ColdReplicaLife, aNodeThatDoesNotKnowTrustsNoLaterLife) {
  const ReplicaPtr earlier = registers(kFirstStart, Duration::zero());
  earlier->heardAt = now;
  changes();
  CHECK_TRUE(earlier->isResponsive);
  const ReplicaPtr later = registers(kSecondStart, Duration::zero());
  changes();
  CHECK_FALSE(later->isResponsive);
}
