// Incarnations of one id: no state survives a restart in the table, in digests or in the rule for
// cold replicas, and a late entry of an earlier incarnation is ignored.
#include "routing/replica_incarnation.h"

#include <memory>
#include <string>
#include <vector>

#include "routing/cold_replica_rule.h"
#include "routing/evacuation.h"
#include "routing/fleet_load.h"
#include "routing/registration_view.h"
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

TEST(ReplicaLife, startsAreOrderedOnlyIfBothAreKnown) {
  const ReplicaStart first(kFirstStart);
  const ReplicaStart second(kSecondStart);
  CHECK(compareIncarnations(first, second) == IncarnationOrder::Later);
  CHECK(compareIncarnations(second, first) == IncarnationOrder::Earlier);
  CHECK(compareIncarnations(first, first) == IncarnationOrder::Same);
  CHECK(compareIncarnations({}, first) == IncarnationOrder::Same);
  CHECK(compareIncarnations(first, {}) == IncarnationOrder::Same);
}

TEST(ReplicaLife, convertsAStartToThisNodesClock) {
  const ReplicaStart start(kFirstStart);
  CHECK(incarnationStartedAt(start, kFirstStart + 5000, now) == now - seconds(5) - kMaxClockSkew);
  // The replica's clock is ahead: the result is not later than now.
  CHECK(incarnationStartedAt(start, kFirstStart - 5000, now) == now - kMaxClockSkew);
}

TEST(ReplicaLife, rejectsAStartFarAheadOfThisNodesClock) {
  const std::uint64_t lead = 60'000;
  CHECK_TRUE(isPlausible(ReplicaStart(kFirstStart), kFirstStart));
  CHECK_TRUE(isPlausible(ReplicaStart(kFirstStart + lead), kFirstStart));
  CHECK_FALSE(isPlausible(ReplicaStart(kFirstStart + lead + 1), kFirstStart));
  CHECK_FALSE(isPlausible(ReplicaStart(UINT64_MAX), kFirstStart));
  CHECK_TRUE(isPlausible(ReplicaStart(0), kFirstStart));
}

TEST(ReplicaLife, aRestartedReplicaHasNoEarlierState) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  earlier->inFlight = 3;
  earlier->othersInFlight = 2;
  earlier->lastDataAt = now;
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
  CHECK(later->lastDataAt == Instant{});
  CHECK(later->suspectUntil == Instant{});
  CHECK(later->fullUntil == Instant{});
  CHECK(later->coldUntil == Instant{});
  CHECK_FALSE(later->isResponsive);
  DOUBLES_EQUAL(0, later->answerMilliseconds, 1e-9);
  --earlier->inFlight;  // A request at the earlier incarnation ends.
  LONGS_EQUAL(0, later->inFlight);
}

TEST(ReplicaLife, theSameStartIsTheSameIncarnation) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr replica = only();
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::None);
  CHECK(table.upsert(entryOf(kFirstStart, "10.0.0.2:80")) == ReplicaChange::Moved);
  CHECK(only() == replica);
}

TEST(ReplicaLife, aRestartElsewhereReplacesAddressAndZone) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  CHECK(table.upsert(entryOf(kSecondStart, "10.0.0.2:80", "y")) == ReplicaChange::Restarted);
  STRCMP_EQUAL("10.0.0.2:80", only()->entry.address.c_str());
  STRCMP_EQUAL("y", only()->entry.zone.c_str());
  STRCMP_EQUAL("10.0.0.1:80", earlier->entry.address.c_str());
}

TEST(ReplicaLife, ignoresAnEntryOfAnEarlierIncarnation) {
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  const ReplicaPtr replica = only();
  table.markLapsed("a", now);
  ReplicaEntry late = entryOf(kFirstStart);
  late.draining = true;
  CHECK(table.upsert(late) == ReplicaChange::Outdated);
  CHECK(only() == replica);
  STRCMP_EQUAL("10.0.0.2:80", replica->entry.address.c_str());
  CHECK_TRUE(replica->acceptsRequests());
  CHECK_TRUE(replica->graceUntil.has_value());
  LONGS_EQUAL(1, table.outdatedEntries());
}

TEST(ReplicaLife, theReadingOrderDoesNotChangeTheFinalIncarnation) {
  ReplicaTable other;
  table.upsert(entryOf(kFirstStart, "10.0.0.1:80"));
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  other.upsert(entryOf(kSecondStart, "10.0.0.2:80"));
  other.upsert(entryOf(kFirstStart, "10.0.0.1:80"));
  STRCMP_EQUAL("10.0.0.2:80", only()->entry.address.c_str());
  STRCMP_EQUAL("10.0.0.2:80", other.find("a")->entry.address.c_str());
}

TEST(ReplicaLife, aDrainingReplicaIsReadyAfterARestart) {
  ReplicaEntry leaving = entryOf(kFirstStart);
  leaving.draining = true;
  table.upsert(leaving);
  table.upsert(entryOf(kSecondStart));
  CHECK_TRUE(only()->acceptsRequests());
  leaving.startedAt = ReplicaStart(kThirdStart);
  CHECK(table.upsert(leaving) == ReplicaChange::Restarted);
  CHECK_FALSE(only()->acceptsRequests());
}

TEST(ReplicaLife, aRestartEndsTheGracePeriod) {
  table.upsert(entryOf(kFirstStart));
  table.markLapsed("a", now);
  table.upsert(entryOf(kSecondStart));
  CHECK(table.removeLapsed(now + seconds(9)).empty());
  CHECK_FALSE(only()->graceUntil.has_value());
}

TEST(ReplicaLife, anIdWithoutAStartHasOneIncarnation) {
  table.upsert(entryOf({}));
  const ReplicaPtr replica = only();
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::None);
  CHECK(only() == replica);
  CHECK(table.upsert(entryOf(kSecondStart)) == ReplicaChange::Restarted);
}

TEST(ReplicaLife, anIdKeepsItsLastKnownStart) {
  table.upsert(entryOf(kSecondStart));
  CHECK_FALSE(only()->startUntold);
  CHECK(table.upsert(entryOf({})) == ReplicaChange::None);
  CHECK_TRUE(only()->startUntold);
  CHECK(table.upsert(entryOf(kFirstStart)) == ReplicaChange::Outdated);
  CHECK(table.upsert(entryOf(kThirdStart)) == ReplicaChange::Restarted);
  CHECK_FALSE(only()->startUntold);
}

TEST(ReplicaLife, aRemovedIdDoesNotReturnToAnEarlierIncarnation) {
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

TEST(ReplicaLife, aRemovedReplicaEndsWhenItsProcessRestarts) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr earlier = only();
  table.remove("a");
  table.upsert(entryOf(kSecondStart));
  CHECK_TRUE(earlier->hasEnded());
}

TEST(ReplicaLife, attributesRequestsToTheIncarnationThatReceivedThem) {
  table.upsert(entryOf(kFirstStart));
  const ReplicaPtr first = only();
  table.upsert(entryOf(kSecondStart), now);
  const ReplicaPtr second = only();
  table.upsert(entryOf(kThirdStart), now + seconds(2));
  const ReplicaPtr third = only();
  CHECK(incarnationAt(first, now - seconds(1)) == first);
  CHECK(incarnationAt(first, now + seconds(1)) == second);
  CHECK(incarnationAt(first, now + seconds(2)) == third);
  CHECK_TRUE(second->hasEnded());
}

TEST(ReplicaLife, dropsTheOldestDepartedIds) {
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

TEST(ReplicaLife, ignoresDigestsAboutAnEarlierIncarnation) {
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

TEST(ReplicaLife, anEvacuationAppliesToTheIncarnationInTheZone) {
  EvacuationTable evacuations;
  EvacuationRule rule(evacuations, {});
  evacuations.onEvacuated("z", now);
  evacuations.onListed({"z"});
  table.upsert(entryOf(kFirstStart, "10.0.0.1:80", "z"));
  CHECK_TRUE(rule.exclusionOf(*only(), {}, now).has_value());
  table.upsert(entryOf(kSecondStart, "10.0.0.2:80", "y"));
  CHECK_FALSE(rule.exclusionOf(*only(), {}, now).has_value());
  table.upsert(entryOf(kThirdStart, "10.0.0.1:80", "z"));
  CHECK_TRUE(rule.exclusionOf(*only(), {}, now).has_value());
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
  std::size_t changes() { return rule->updateColdStates(table.all(), now).size(); }
};

TEST(ColdReplicaLife, aWarmReplicaIsColdAfterARestart) {
  registers(kFirstStart, Duration::zero());
  CHECK_FALSE(rule->isCold(*table.find("a"), now));
  // Its registration does not report its state, so the service's cold time applies.
  registers(kSecondStart, std::nullopt);
  CHECK_TRUE(rule->isCold(*table.find("a"), now));
}

TEST(ColdReplicaLife, aRestartedReplicaGetsNewTokenBuckets) {
  registers(kFirstStart, seconds(3));
  LONGS_EQUAL(1, changes());
  now += milliseconds(900);
  CHECK_FALSE(
      rule->exclusionOf(*table.find("a"), {}, now).has_value());  // The bucket has gained a token.
  registers(kSecondStart, seconds(3));
  CHECK_TRUE(rule->exclusionOf(*table.find("a"), {}, now).has_value());
  LONGS_EQUAL(1, changes());  // Reported again for the new incarnation.
  CHECK_TRUE(rule->exclusionOf(*table.find("a"), {}, now).has_value());
  now += milliseconds(900);
  CHECK_FALSE(rule->exclusionOf(*table.find("a"), {}, now).has_value());
}

TEST(ColdReplicaLife, aRestartedReplicaIsNotResponsiveInUnknownState) {
  const ReplicaPtr earlier = registers(kFirstStart, Duration::zero());
  earlier->lastDataAt = now;
  changes();
  CHECK_TRUE(earlier->isResponsive);
  const ReplicaPtr later = registers(kSecondStart, Duration::zero());
  changes();
  CHECK_FALSE(later->isResponsive);
}
