// Guards against naming dead, leaving or distant nodes to clients.
#include "edge/member_table.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(MemberTable) {
  std::set<std::string> suspected;  ///< Keys of nodes that the failure detector suspects.
  MemberTable table{{}, [this](const std::string& key) { return suspected.contains(key); }};
  Instant now{seconds(100)};
  MemberTable::IsSuspect noSuspects = [](const std::string&) { return false; };

  void receiveRecord(const std::string& key, const std::string& zone, bool leaving = false,
                     double capacity = 1.0) {
    MemberRecord record;
    record.nodeName = key;
    record.zone = zone;
    record.clientAddress = key + ":1";
    record.relayAddress = key + ":2";
    record.leaving = leaving;
    record.capacity = capacity;
    table.onRecord(key, record, now);
    table.onRecordsRead(now);
  }
};

TEST(MemberTable, namesOnlyNodesOfTheZoneIfThereAreEnough) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  receiveRecord("b1", "b");
  LONGS_EQUAL(2, table.clientAddresses("a", noSuspects).size());
  LONGS_EQUAL(3, table.clientAddresses("b", noSuspects).size());
  LONGS_EQUAL(3, table.clientAddresses("elsewhere", noSuspects).size());
}

TEST(MemberTable, prefersNodesOfTheRegionOverOtherRegions) {
  const routing::ZoneTable zones({{"wa", "west"}, {"wb", "west"}, {"ea", "east"}});
  const ClientLocation client{"wa", "west", &zones};
  receiveRecord("wa1", "wa");
  receiveRecord("wb1", "wb");
  receiveRecord("ea1", "ea");
  CHECK(table.clientAddresses(client, noSuspects) == (std::vector<std::string>{"wa1:1", "wb1:1"}));
  receiveRecord("wb1", "wb", true);
  LONGS_EQUAL(2, table.clientAddresses(client, noSuspects).size());  // A single node is not enough.
  suspected = {"wa1"};
  CHECK(table.clientAddresses(client, noSuspects) == std::vector<std::string>{"ea1:1"});
}

TEST(MemberTable, namesOnlyNodesOfTheClientsRegionAndAllowedOnes) {
  const routing::ZoneTable zones({{"wa", "west"}, {"ea", "east"}, {"na", "north"}});
  const routing::RegionSet allowed = {"east"};
  receiveRecord("ea1", "ea");
  receiveRecord("na1", "na");
  const ClientLocation west{"wa", "west", &zones, &allowed};
  CHECK(table.clientAddresses(west, noSuspects) == std::vector<std::string>{"ea1:1"});
  receiveRecord("wa1", "wa");
  receiveRecord("wa2", "wa");
  CHECK(table.clientAddresses(west, noSuspects) == (std::vector<std::string>{"wa1:1", "wa2:1"}));
  suspected = {"ea1", "wa1", "wa2"};
  LONGS_EQUAL(0, table.clientAddresses(west, noSuspects).size());
  const ClientLocation elsewhere{"unknown", "north", &zones, &allowed};
  CHECK(table.clientAddresses(elsewhere, noSuspects) == std::vector<std::string>{"na1:1"});
}

TEST(MemberTable, namesSuspectsOnlyIfThereIsNoOtherNode) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  receiveRecord("a3", "a");
  const auto isFrozen = [](const std::string& relay) { return relay == "a2:2"; };
  CHECK(table.clientAddresses("a", isFrozen) == (std::vector<std::string>{"a1:1", "a3:1"}));
  const auto isAny = [](const std::string&) { return true; };
  LONGS_EQUAL(3, table.clientAddresses("a", isAny).size());
}

TEST(MemberTable, namesTheMostCapableNodesOfALargeZone) {
  for (int node = 0; node < 30; ++node) {
    receiveRecord("weak" + std::to_string(node), "a", false, 0.01);
  }
  for (int node = 0; node < 9; ++node) {
    receiveRecord("strong" + std::to_string(node), "a", false, 0.3);
  }
  const auto addresses = table.clientAddresses("a", noSuspects);
  LONGS_EQUAL(8, addresses.size());
  CHECK(std::all_of(addresses.begin(), addresses.end(),
                    [](const std::string& address) { return address.find("strong") == 0; }));
  LONGS_EQUAL(8, table.namedNodesIn("a").size());
  suspected = {"strong0", "strong1"};
  const auto left = table.clientAddresses("a", noSuspects);
  LONGS_EQUAL(8, left.size());
  LONGS_EQUAL(1, std::count_if(left.begin(), left.end(), [](const std::string& address) {
                return address.find("weak") == 0;
              }));
}

TEST(MemberTable, namesAShareOfALargeZoneOfEqualNodes) {
  for (int node = 0; node < 100; ++node) {
    receiveRecord("n" + std::to_string(node), "a");
  }
  LONGS_EQUAL(40, table.clientAddresses("a", noSuspects).size());
}

TEST(MemberTable, doesNotNameLeavingNodes) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  receiveRecord("a2", "a", true);
  LONGS_EQUAL(1, table.clientAddresses("a", noSuspects).size());
  LONGS_EQUAL(1, table.countServingIn("a"));
  LONGS_EQUAL(2, table.liveMembers().size());
}

TEST(MemberTable, expiresNodesWithoutRecordsWhileOthersWriteThem) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  now += milliseconds(3301);
  receiveRecord("a1", "a");
  LONGS_EQUAL(1, table.clientAddresses("a", noSuspects).size());
}

TEST(MemberTable, excludesSuspectedNodesBeforeTheirRecordsExpire) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  receiveRecord("a3", "a");
  suspected = {"a2"};
  CHECK(table.clientAddresses("a", noSuspects) == (std::vector<std::string>{"a1:1", "a3:1"}));
  LONGS_EQUAL(2, table.liveMembers().size());
  suspected.clear();
  LONGS_EQUAL(3, table.clientAddresses("a", noSuspects).size());
}

TEST(MemberTable, removesNodesLongWithoutRecords) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  now += seconds(599);
  receiveRecord("a1", "a");
  LONGS_EQUAL(0, table.removeExpired().size());
  now += seconds(1);
  receiveRecord("a1", "a");
  CHECK(table.removeExpired() == std::vector<std::string>{"a2"});
  CHECK(table.heartbeat() == seconds(1));
}

TEST(MemberTable, expiresNoNodeWhileTheStoreCannotBeRead) {
  receiveRecord("a1", "a");
  receiveRecord("a2", "a");
  now += seconds(60);
  LONGS_EQUAL(2, table.clientAddresses("a", noSuspects).size());
}

TEST(MemberTable, heartbeatIntervalGrowsWithTheFleet) {
  receiveRecord("a1", "a");
  CHECK(table.heartbeat() == seconds(1));
  for (int node = 0; node < 299; ++node) {
    receiveRecord("b" + std::to_string(node), "b");
  }
  CHECK(table.heartbeat() == seconds(5));
  now += seconds(16);
  receiveRecord("a1", "a");
  LONGS_EQUAL(299, table.countServingIn("b"));
  now += seconds(1);
  receiveRecord("a1", "a");
  LONGS_EQUAL(0, table.countServingIn("b"));
}

TEST(MemberTable, recordsRoundTripAndTruncatedOnesAreRejected) {
  const std::string bytes = encodeMemberRecord({"n", "z", "1.2.3.4:5", "1.2.3.4:6", true, 9});
  const auto record = decodeMemberRecord(bytes);
  STRCMP_EQUAL("1.2.3.4:6", valueOf(record).relayAddress.c_str());
  CHECK_TRUE(valueOf(record).leaving);
  LONGS_EQUAL(9, valueOf(record).beat);
  CHECK_FALSE(succeeded(decodeMemberRecord(bytes.substr(0, 10))));
}

TEST(MemberTable, recordsWithInvalidValuesAreRejectedWithTheField) {
  const MemberRecord whole{"n", "z", "1.2.3.4:5", "1.2.3.4:6", false, 9, 1.5};
  CHECK_TRUE(succeeded(decodeMemberRecord(encodeMemberRecord(whole))));
  struct Damage {
    const char* field;
    void (*apply)(MemberRecord& record);
  };
  const Damage damages[] = {
      {"node_name", [](MemberRecord& record) { record.nodeName = ""; }},
      {"node_name", [](MemberRecord& record) { record.nodeName = "a\nb"; }},
      {"zone", [](MemberRecord& record) { record.zone = "\xff"; }},
      {"zone", [](MemberRecord& record) { record.zone = std::string(256, 'z'); }},
      {"client_address", [](MemberRecord& record) { record.clientAddress = ""; }},
      {"client_address", [](MemberRecord& record) { record.clientAddress = "1.2.3.4"; }},
      {"client_address", [](MemberRecord& record) { record.clientAddress = "1.2.3.4:\xff"; }},
      {"relay_address", [](MemberRecord& record) { record.relayAddress = "1.2.3.4:0"; }},
      {"capacity", [](MemberRecord& record) { record.capacity = -1; }},
      {"capacity", [](MemberRecord& record) { record.capacity = 1e30; }},
      {"capacity", [](MemberRecord& record) { record.capacity = std::nan(""); }}};
  for (const Damage& damage : damages) {
    MemberRecord record = whole;
    damage.apply(record);
    const auto read = decodeMemberRecord(encodeMemberRecord(record));
    CHECK_FALSE_TEXT(succeeded(read), damage.field);
    STRCMP_CONTAINS(damage.field, errorOf(read).field.c_str());
  }
}

// Guards against different cold replica owners on different nodes: the weights must not depend on
// liveness.
TEST(MemberTable, ringWeightsFollowClientsAndIgnoreLiveness) {
  for (int number = 0; number < 20; ++number) {
    receiveRecord("a" + std::to_string(number), "a", false, number < 4 ? 0.3 : 0.0036);
  }
  receiveRecord("b1", "b", false, 0.0036);
  const auto before = table.ringMembers();
  LONGS_EQUAL(21, before.size());
  const auto weightOf = [&before](const std::string& address) {
    return std::find_if(
               before.begin(), before.end(),
               [&address](const routing::RingMember& member) { return member.name == address; })
        ->weight;
  };
  DOUBLES_EQUAL(1.0, weightOf("a0:1"), 1e-9);
  DOUBLES_EQUAL(1.0, weightOf("b1:1"), 1e-9);
  LONGS_EQUAL(9, std::count_if(before.begin(), before.end(), [](const routing::RingMember& member) {
                return member.weight > 0.5;
              }));
  suspected = {"a0", "a1"};
  receiveRecord("a2", "a", true, 0.3);
  CHECK(before == table.ringMembers());
}
