// When a replica counts as cold, which nodes may send to it, and the limits in unknown state.
#include "routing/cold_replica_rule.h"

#include <memory>

#include "routing/replica_placement.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(ColdReplicaRule) {
  Instant now{seconds(1000)};
  Service service;
  std::vector<std::string> nodes{"a"};
  std::vector<RingMember> members{{"a"}};
  std::unique_ptr<ColdReplicaRule> rule;
  ReplicaPtr replica = std::make_shared<Replica>();

  void setup() override {
    service.name = "m";
    service.coldTime = seconds(3);
    service.coldRequestsPerSecond = 25;
    replica->entry.id = "i-1";
    replica->entry.service = "m";
    replica->entry.zone = "z";
    startRule({});
    runUntilStateIsKnown();
  }
  void startRule(ColdReplicaKnobs knobs, std::uint64_t incarnation = 77) {
    ColdReplicaSources sources;
    sources.serviceOf = [this](std::string_view name) { return name == "m" ? &service : nullptr; };
    sources.nodes = [this]() -> const std::vector<std::string>& { return nodes; };
    sources.members = [this]() -> const std::vector<RingMember>& { return members; };
    rule = std::make_unique<ColdReplicaRule>(knobs, sources, "a", incarnation);
  }
  /// Advances time until the state of all replicas is known.
  void runUntilStateIsKnown() {
    rule->onEvacuationsListed(now);
    now += seconds(2);
    readStore();
  }
  void readStore() {
    rule->onEvacuationsFresh(now);
    rule->onFresh(now);
    rule->updateColdStates({replica}, now);
  }
  void registers(std::optional<Duration> coldFor, bool isNew = false) {
    replica->entry.coldFor = coldFor;
    rule->onRegistration(*replica, isNew, now);
    rule->updateColdStates({replica}, now);
  }
  bool isEligible() { return !rule->exclusionOf(*replica, {}, now); }
  /// Advances time by up to three seconds.
  void waitUntilEligible() {
    rule->updateColdStates({replica}, now);
    for (const Instant end = now + seconds(3); !isEligible() && now < end;) {
      now += milliseconds(10);
    }
    CHECK_TRUE(isEligible());
  }
  /// Sends all requests that the rule allows. \return their number.
  int sendFor(Duration span) {
    int sent = 0;
    for (const Instant end = now + span; now < end; now += milliseconds(10)) {
      if (isEligible()) {
        rule->onSent(*replica, now);
        ++sent;
      }
    }
    return sent;
  }
};

TEST(ColdReplicaRule, doesNotLimitWarmReplicas) {
  registers(Duration::zero());
  LONGS_EQUAL(100, sendFor(seconds(1)));
  LONGS_EQUAL(0, rule->coldReplicas());
}

TEST(ColdReplicaRule, doesNotLimitAServiceWithoutAColdRate) {
  service.coldRequestsPerSecond = 0;
  registers(seconds(2));
  CHECK_TRUE(isEligible());
  startRule({});  // Nothing has been read from the store.
  rule->updateColdStates({replica}, now);
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aRegistrationSetsTheRemainingColdTime) {
  registers(seconds(2));
  CHECK(ExclusionReason::ColdRateExhausted == rule->exclusionOf(*replica, {}, now).value());
  CHECK(rule->retryAfter(ExclusionReason::ColdRateExhausted) <= milliseconds(200));
  now += milliseconds(1990);
  readStore();
  CHECK_TRUE(rule->isCold(*replica, now));
  now += milliseconds(10);
  CHECK_FALSE(rule->isCold(*replica, now));
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aReplicaThatReportsItIsWarmIsUsedAtOnce) {
  registers(seconds(3));
  CHECK_FALSE(isEligible());
  registers(Duration::zero());
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aWarmReplicaMayTurnColdAgain) {
  registers(Duration::zero());
  CHECK_TRUE(isEligible());
  registers(milliseconds(2500));
  CHECK_FALSE(isEligible());
}

TEST(ColdReplicaRule, aNewReplicaThatReportsNoStateIsColdForItsServicesColdTime) {
  registers(std::nullopt, true);
  CHECK_FALSE(isEligible());
  now += seconds(2);
  readStore();
  CHECK_TRUE(rule->isCold(*replica, now));
  now += milliseconds(1400);
  readStore();
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aKnownReplicaThatReportsNoStateKeepsIts) {
  registers(std::nullopt, false);
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aReturnedZoneIsColdUntilNewerRegistrationsHaveBeenRead) {
  registers(Duration::zero());
  rule->onZoneReturned("z", now);
  rule->updateColdStates({replica}, now);
  CHECK_FALSE(isEligible());
  registers(Duration::zero());  // May have been written before the replica became cold.
  CHECK_FALSE(isEligible());
  now += milliseconds(1400);
  readStore();
  CHECK_TRUE(rule->isCold(*replica, now));
  now += milliseconds(200);
  CHECK_TRUE(rule->isCold(*replica, now));  // No newer registrations have been read yet.
  readStore();
  CHECK_FALSE(rule->isCold(*replica, now));
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aReturnedZoneDoesNotAffectOtherZones) {
  rule->onZoneReturned("elsewhere", now);
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, aSenderStartsWithoutTokensAndKeepsItsRate) {
  registers(seconds(60));
  CHECK_FALSE(isEligible());
  // 0.56 x 42.5 / (2 views x 4 senders) - 1 token of burst = 1.975 per second.
  LONGS_EQUAL(0, sendFor(milliseconds(500)));
  LONGS_EQUAL(1, sendFor(milliseconds(20)));
  readStore();
  LONGS_EQUAL(3, sendFor(seconds(2)));
  readStore();
  now += seconds(2);
  readStore();
  const int afterRest = sendFor(seconds(1));
  CHECK_COMPARE(afterRest, <=, 2);  // The bucket holds one token.
}

TEST(ColdReplicaRule, allNodesAgreeOnAFewSendersOfAReplica) {
  nodes.clear();
  for (int index = 0; index < 50; ++index) {
    nodes.push_back("n" + std::to_string(index));
  }
  ColdReplicaSources sources;
  sources.serviceOf = [this](std::string_view) { return &service; };
  sources.nodes = [this]() -> const std::vector<std::string>& { return nodes; };
  sources.members = [this]() -> const std::vector<RingMember>& { return members; };
  int designatedSenders = 0;
  for (const std::string& node : nodes) {
    ColdReplicaRule other({}, sources, node, 1);
    replica->entry.coldFor = seconds(3);
    other.onRegistration(*replica, false, now);
    const auto changes = other.updateColdStates({replica}, now);
    LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes.front().isCold);
    CHECK(changes.front().remaining == seconds(3));
    designatedSenders += changes.front().isDesignatedSender ? 1 : 0;
  }
  LONGS_EQUAL(4, designatedSenders);
}

TEST(ColdReplicaRule, aNodeThatIsNotASenderExcludesTheReplica) {
  nodes = {"b", "c"};
  registers(seconds(5));
  LONGS_EQUAL(0, sendFor(seconds(2)));
}

TEST(ColdReplicaRule, countsAnExcludedReplicaOncePerPlacement) {
  nodes = {"b", "c"};
  ReplicaTable table;
  table.upsert(replica->entry);
  replica = table.find("i-1");
  registers(seconds(5));
  replica->coldRequestsPerSecond = service.coldRequestsPerSecond;
  const ReplicaSelector selector("z", {});
  const AdmissionPolicy admission{{}};
  const ReplicaPlacement placement(table, selector, admission, {rule.get()});
  PlacementQuery query;
  query.replica.service = "m";
  query.replica.affinityKey = "p1";
  const auto none = std::get<NoReplica>(placement.place(query, now));
  CHECK(ExclusionReason::ColdRateExhausted == none.reason.value());
  LONGS_EQUAL(1, rule->exclusionCount());
  CHECK(std::holds_alternative<NoReplica>(placement.place(query, now)));
  LONGS_EQUAL(2, rule->exclusionCount());
}

TEST(ColdReplicaRule, aNodeThatBecomesASenderAgainStartsWithoutTokens) {
  registers(seconds(60));
  now += seconds(1);
  readStore();
  CHECK_TRUE(isEligible());
  nodes = {"b"};
  readStore();
  CHECK_FALSE(isEligible());
  nodes = {"a"};
  readStore();
  CHECK_FALSE(isEligible());
}

TEST(ColdReplicaRule, aLowLimitHasFewerSenders) {
  service.coldRequestsPerSecond = 1;  // Limit 6.5: one sender with 0.82 per second.
  registers(seconds(60));
  LONGS_EQUAL(0, sendFor(milliseconds(1200)));
  readStore();
  LONGS_EQUAL(1, sendFor(milliseconds(100)));
}

TEST(ColdReplicaRule, aNewProcessSendsLittleInUnknownState) {
  startRule({});
  rule->updateColdStates({replica}, now);
  rule->onEvacuationsListed(now);
  readStore();
  nodes.assign(50, "a");
  const int sent = sendFor(milliseconds(1400));
  CHECK_COMPARE(sent, <=, 3);
  readStore();
  CHECK_FALSE(rule->isStateKnown(now));
  now += milliseconds(200);
  readStore();
  CHECK_TRUE(rule->isStateKnown(now));
  CHECK_TRUE(isEligible());
}

TEST(ColdReplicaRule, withoutTheStoreOnlyResponsiveReplicasStayInUse) {
  registers(Duration::zero());
  auto used = std::make_shared<Replica>(*replica);
  used->entry.id = "i-2";
  nodes.assign(1000, "b");
  members = {{"b"}};
  const Instant heardAt = now;
  for (; now < heardAt + seconds(4); now += milliseconds(100)) {
    used->lastDataAt = now;
    rule->updateColdStates({replica, used}, now);
  }
  CHECK_FALSE(rule->isStateKnown(now));
  CHECK(rule->exclusionOf(*replica, {}, now).has_value());
  CHECK_FALSE(rule->exclusionOf(*used, {}, now).has_value());
  rule->onSent(*used, now);
  CHECK(rule->exclusionOf(*used, {}, now).has_value());  // The allowance is one per slot of 500 ms.
  now += milliseconds(500);
  CHECK_FALSE(rule->exclusionOf(*used, {}, now).has_value());
  // A replica that failed may return cold, so responses alone do not restore its use.
  used->failures = 1;
  rule->updateColdStates({replica, used}, now);
  used->failures = 0;
  used->lastDataAt = now;
  rule->updateColdStates({replica, used}, now);
  CHECK(rule->exclusionOf(*used, {}, now).has_value());
  rule->onEvacuationsFresh(now);
  rule->onFresh(now);
  CHECK_FALSE(rule->exclusionOf(*used, {}, now).has_value());
}

TEST(ColdReplicaRule, registrationsAloneDoNotMakeTheStateKnown) {
  now += seconds(4);
  rule->onFresh(now);
  CHECK_FALSE(rule->isStateKnown(now));
  rule->onEvacuationsFresh(now);
  CHECK_TRUE(rule->isStateKnown(now));
}

TEST(ColdReplicaRule, staticSharesGiveEveryNodeASmallShare) {
  ColdReplicaKnobs knobs;
  knobs.sharing = ColdSharing::StaticShares;
  nodes.clear();
  for (int index = 0; index < 10; ++index) {
    nodes.push_back(std::string(1, static_cast<char>('a' + index)));
  }
  int all = 0;
  for (std::uint64_t incarnation = 1; incarnation <= 50; ++incarnation) {
    startRule(knobs, incarnation * 7919);
    runUntilStateIsKnown();
    registers(seconds(60));
    all += sendFor(seconds(2));
  }
  // Expected: 0.12 x 42.5 / 10 nodes, in each of 4 slots, for 50 nodes: 102.
  CHECK_COMPARE(all, >, 70);
  CHECK_COMPARE(all, <, 135);
}

TEST(ColdReplicaRule, reportsEachChangeOnce) {
  replica->entry.coldFor = seconds(2);
  rule->onRegistration(*replica, false, now);
  LONGS_EQUAL(1, rule->updateColdStates({replica}, now).size());
  LONGS_EQUAL(0, rule->updateColdStates({replica}, now).size());
  LONGS_EQUAL(1, rule->coldReplicas());
  now += seconds(3);
  const auto changes = rule->updateColdStates({replica}, now);
  LONGS_EQUAL(1, changes.size());
  CHECK_FALSE(changes.front().isCold);
  LONGS_EQUAL(0, rule->coldReplicas());
}

TEST(ColdReplicaRule, dropsRemovedReplicas) {
  registers(seconds(60));
  LONGS_EQUAL(1, rule->coldReplicas());
  rule->updateColdStates({}, now);
  LONGS_EQUAL(0, rule->coldReplicas());
}

// After a restart of all nodes, clients may connect to any of them.
TEST(ColdReplicaRule, processesThatStartTogetherKeepTheLimit) {
  constexpr int kNodes = 40;
  service.coldRequestsPerSecond = 4;  // The limit is 11 per second.
  nodes.assign(16, "a");
  members.clear();
  for (int node = 0; node < kNodes; ++node) {
    members.push_back({"n" + std::to_string(node)});
  }
  int sent = 0;
  for (int node = 0; node < kNodes; ++node) {
    ColdReplicaSources sources;
    sources.serviceOf = [this](std::string_view) { return &service; };
    sources.nodes = [this]() -> const std::vector<std::string>& { return nodes; };
    sources.members = [this]() -> const std::vector<RingMember>& { return members; };
    const Instant start = now;
    rule = std::make_unique<ColdReplicaRule>(ColdReplicaKnobs{}, sources,
                                             members[static_cast<std::size_t>(node)].name,
                                             1000003ULL * static_cast<std::uint64_t>(node + 1));
    rule->updateColdStates({replica}, now);
    sent += sendFor(seconds(3));
    now = start;
  }
  // Four of 40 nodes, in three slots each.
  CHECK(sent > 0 && sent <= 12);
}

// Guards against bursts from successive processes of one node, which share no state.
TEST(ColdReplicaRule, requestsOfSuccessiveProcessesInUnknownStateAreASecondApart) {
  for (int trial = 0; trial < 200; ++trial) {
    replica->entry.id = "i-" + std::to_string(trial);
    std::optional<Instant> sentAt;
    for (int process = 0; process < 5; ++process) {
      startRule({}, static_cast<std::uint64_t>(trial * 5 + process));
      rule->updateColdStates({replica}, now);
      const Instant end = now + milliseconds(250 + 190 * ((trial + process) % 8));
      for (; now < end; now += milliseconds(10)) {
        if (isEligible()) {
          CHECK(!sentAt || now - *sentAt >= seconds(1));
          sentAt = now;
          rule->onSent(*replica, now);
        }
      }
    }
    CHECK_TRUE(sentAt.has_value());
  }
}

// Late responses of the store make the state known only for a moment.
TEST(ColdReplicaRule, spacesRequestsInUnknownStateAcrossShortPeriodsOfKnownState) {
  startRule({});
  rule->onEvacuationsListed(now - seconds(60));
  waitUntilEligible();
  rule->onSent(*replica, now);
  rule->onFresh(now - milliseconds(2990));
  rule->onEvacuationsFresh(now - milliseconds(2990));
  CHECK_TRUE(rule->isStateKnown(now));
  rule->updateColdStates({replica}, now);
  now += milliseconds(20);
  rule->updateColdStates({replica}, now);
  CHECK_FALSE(rule->isStateKnown(now));
  LONGS_EQUAL(0, sendFor(milliseconds(970)));
}

TEST(ColdReplicaRule, aProcessWithoutAMemberListSendsAlmostNothing) {
  nodes.clear();
  members.clear();
  startRule({});
  rule->updateColdStates({replica}, now);
  CHECK(sendFor(seconds(1)) <= 1);
}

TEST(ColdReplicaRule, namesTheLimitThatAdmitsARequest) {
  registers(Duration::zero());
  STRCMP_EQUAL("", std::string(rule->grantNameOf(*replica, now)).c_str());
  registers(seconds(60));
  STRCMP_EQUAL("",
               std::string(rule->grantNameOf(*replica, now)).c_str());  // No request is admitted.
  now += seconds(1);
  readStore();
  STRCMP_EQUAL("cold_feeder", std::string(rule->grantNameOf(*replica, now)).c_str());
  startRule({});
  waitUntilEligible();
  STRCMP_EQUAL("cold_unsure", std::string(rule->grantNameOf(*replica, now)).c_str());
  LONGS_EQUAL(1, rule->limitedReplicas());
}

TEST(ColdReplicaRule, reportsWhenThisNodeBecomesOrStopsBeingASender) {
  nodes = {"b"};
  replica->entry.coldFor = seconds(60);
  rule->onRegistration(*replica, false, now);
  auto changes = rule->updateColdStates({replica}, now);
  LONGS_EQUAL(1, changes.size());
  CHECK_FALSE(changes.front().isDesignatedSender);
  nodes = {"a"};
  changes = rule->updateColdStates({replica}, now);
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes.front().isCold && changes.front().isDesignatedSender);
  nodes = {"b"};
  changes = rule->updateColdStates({replica}, now);
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes.front().isCold && !changes.front().isDesignatedSender);
  LONGS_EQUAL(0, rule->updateColdStates({replica}, now).size());
}
