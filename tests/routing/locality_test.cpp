// Distances between zones with one region, with several regions, and for unknown zones.
#include "routing/locality.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::routing;

TEST_GROUP(Locality) {
  ZoneTable several{{{"wa", "west"}, {"wb", "west"}, {"ea", "east"}, {"na", "north"}}};
  ZoneTable one{{{"a", "r"}, {"b", "r"}}};
};

TEST(Locality, ordersZonesOfTheOwnRegionBeforeOthers) {
  CHECK(Distance::SameZone == several.between("wa", "wa"));
  CHECK(Distance::SameRegion == several.between("wa", "wb"));
  CHECK(Distance::OtherRegion == several.between("wa", "ea"));
  CHECK(Distance::SameRegion < Distance::OtherRegion);
}

TEST(Locality, noZoneIsInAnotherRegionIfThereIsOne) {
  CHECK(Distance::SameRegion == one.between("a", "b"));
  CHECK(Distance::SameRegion == one.between("a", "unknown"));
  CHECK(Distance::SameRegion == ZoneTable().between("a", "b"));
  CHECK_FALSE(one.hasSeveralRegions());
}

TEST(Locality, anUnknownZoneIsInNoRegion) {
  CHECK(Distance::OtherRegion == several.between("wa", "unknown"));
  CHECK(Distance::OtherRegion == several.between("unknown", "unheard-of"));
  CHECK_FALSE(several.isIn("unknown", {"west", "east", "north"}));
  CHECK_TRUE(several.isIn("wb", {"west"}));
  CHECK_FALSE(several.isIn("wb", {"east"}));
}

TEST(Locality, listsZonesOfRegionsNearestFirst) {
  CHECK(several.zonesOf({"east", "west"}, "wb") == (std::vector<std::string>{"wb", "wa", "ea"}));
  CHECK(several.zonesOf({"east"}, "wb") == std::vector<std::string>{"ea"});
  CHECK(several.zonesOf({}, "wb").empty());
}
