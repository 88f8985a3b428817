// Exclusion of replicas outside the allowed regions, and the reason reported for a refusal.
#include "routing/region_rule.h"

#include "routing/evacuation.h"
#include "routing/replica_placement.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(RegionRule) {
  ZoneTable zones{{{"wa", "west"}, {"wb", "west"}, {"ea", "east"}}};
  RegionSet west = {"west"};
  RegionSet none;
  RegionRule rule{zones, {}};
  EvacuationTable evacuations;
  EvacuationRule evacuationRule{evacuations, {}};
  ReplicaTable table;
  ReplicaSelector selector{"ea", {}};
  AdmissionPolicy admission{{}};
  ReplicaPlacement placement{table, selector, admission, {&rule, &evacuationRule}};
  Instant now{seconds(100)};

  void setup() override { evacuations.onListed({}); }
  std::optional<ExclusionReason> exclusionOf(const std::string& zone, const RegionSet* regions) {
    Replica replica;
    replica.entry.zone = zone;
    return rule.exclusionOf(replica, {regions}, now);
  }
  ReplicaPtr add(const std::string& id, const std::string& zone) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = zone;
    entry.slots = 4;
    table.upsert(entry);
    return table.ofService("s").back();
  }
  Placement place(const RegionSet* regions) {
    PlacementQuery query;
    query.replica.service = "s";
    query.subject.allowedRegions = regions;
    return placement.place(query, now);
  }
};

TEST(RegionRule, allowsOnlyReplicasInAllowedRegions) {
  CHECK_FALSE(exclusionOf("wa", &west).has_value());
  CHECK(ExclusionReason::RegionNotAllowed == exclusionOf("ea", &west).value());
  CHECK(ExclusionReason::RegionNotAllowed == exclusionOf("unknown", &west).value());
  CHECK(ExclusionReason::RegionNotAllowed == exclusionOf("wa", &none).value());
  CHECK_FALSE(exclusionOf("unknown", nullptr).has_value());
}

TEST(RegionRule, usesARemoteReplicaIfOnlyItsRegionIsAllowed) {
  add("near", "ea");
  const ReplicaPtr far = add("far", "wa");
  POINTERS_EQUAL(far.get(), std::get<Placed>(place(&west)).replica.get());
}

TEST(RegionRule, isReportedIfTheAllowedRegionsHaveNoReplica) {
  add("near", "ea");
  const auto refused = std::get<NoReplica>(place(&west));
  CHECK(ExclusionReason::RegionNotAllowed == refused.reason.value());
  CHECK(refused.retryAfter > Duration::zero());
}

TEST(RegionRule, isNotReportedIfAnotherRuleExcludesTheAllowedReplicas) {
  for (int replica = 0; replica < 5; ++replica) {
    add("near" + std::to_string(replica), "ea");
  }
  add("far", "wa");
  evacuations.onEvacuated("wa", now);
  evacuations.onEvacuated("ea", now);
  CHECK(ExclusionReason::ZoneEvacuated == std::get<NoReplica>(place(&west)).reason.value());
}
