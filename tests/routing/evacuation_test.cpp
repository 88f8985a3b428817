// Evacuated zones, and their end by a removed record or by absence from a complete listing.
#include "routing/evacuation.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(Evacuation) {
  EvacuationTable table;
  EvacuationRule rule{table, {}};
  Instant now{seconds(100)};

  std::optional<ExclusionReason> exclusionOf(const std::string& zone) {
    Replica replica;
    replica.entry.zone = zone;
    return rule.exclusionOf(replica, {}, now);
  }
};

TEST(Evacuation, excludesEveryReplicaBeforeTheFirstCompleteListing) {
  CHECK(ExclusionReason::EvacuationUnknown == exclusionOf("a").value());
  CHECK_TRUE(table.onEvacuated("a", now));  // One page is not a complete listing.
  CHECK(ExclusionReason::EvacuationUnknown == exclusionOf("b").value());
  CHECK_TRUE(table.onListed({"a"}).empty());
  CHECK(ExclusionReason::ZoneEvacuated == exclusionOf("a").value());
  CHECK_FALSE(exclusionOf("b").has_value());
}

TEST(Evacuation, excludesSeveralZonesAndEndsEachByItsOwnRecord) {
  table.onListed({});
  table.onEvacuated("a", now);
  table.onEvacuated("b", now);
  CHECK_FALSE(table.onEvacuated("a", now + seconds(1)));  // A repeated record.
  CHECK_TRUE(table.onTakenBack("a"));
  CHECK_FALSE(table.onTakenBack("a"));
  CHECK_FALSE(exclusionOf("a").has_value());
  CHECK(ExclusionReason::ZoneEvacuated == exclusionOf("b").value());
}

TEST(Evacuation, endsTheEvacuationOfAZoneThatACompleteListingOmits) {
  table.onListed({});
  table.onEvacuated("a", now);
  table.onEvacuated("b", now);
  const std::vector<std::string> ended = table.onListed({"b", "c"});
  LONGS_EQUAL(1, ended.size());
  STRCMP_EQUAL("a", ended.front().c_str());
  CHECK_FALSE(exclusionOf("a").has_value());
  CHECK(ExclusionReason::ZoneEvacuated == exclusionOf("b").value());
}

TEST(Evacuation, keepsTheTimeOfTheFirstRecord) {
  table.onEvacuated("a", now);
  table.onEvacuated("a", now + seconds(3));
  CHECK(now == table.zones().at("a"));
}
