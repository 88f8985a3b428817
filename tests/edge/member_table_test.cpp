// Which nodes clients are sent to: alive, not leaving, of their zone when there are enough.
#include "edge/member_table.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(MemberTable) {
  std::set<std::string> silent;  ///< Keys of nodes that do not answer probes.
  MemberTable table{{}, [this](const std::string& key) { return silent.contains(key); }};
  Instant now{seconds(100)};
  MemberTable::IsSuspect nobody = [](const std::string&) { return false; };

  void hear(const std::string& key, const std::string& zone, bool leaving = false,
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

TEST(MemberTable, namesTheNodesOfTheZoneWhenTheyAreEnough) {
  hear("a1", "a");
  hear("a2", "a");
  hear("b1", "b");
  LONGS_EQUAL(2, table.clientAddresses("a", nobody).size());
  LONGS_EQUAL(3, table.clientAddresses("b", nobody).size());
  LONGS_EQUAL(3, table.clientAddresses("elsewhere", nobody).size());
}

TEST(MemberTable, namesTheRegionsNodesBeforeThoseOfOtherRegions) {
  const routing::ZoneTable zones({{"wa", "west"}, {"wb", "west"}, {"ea", "east"}});
  const ClientLocation client{"wa", "west", &zones};
  hear("wa1", "wa");
  hear("wb1", "wb");
  hear("ea1", "ea");
  CHECK(table.clientAddresses(client, nobody) == (std::vector<std::string>{"wa1:1", "wb1:1"}));
  hear("wb1", "wb", true);
  LONGS_EQUAL(2, table.clientAddresses(client, nobody).size());  // One is not enough.
  silent = {"wa1"};
  CHECK(table.clientAddresses(client, nobody) == std::vector<std::string>{"ea1:1"});
}

TEST(MemberTable, namesNobodyOutsideTheClientsRegionAndTheAllowedOnes) {
  const routing::ZoneTable zones({{"wa", "west"}, {"ea", "east"}, {"na", "north"}});
  const routing::RegionSet allowed = {"east"};
  hear("ea1", "ea");
  hear("na1", "na");
  const ClientLocation west{"wa", "west", &zones, &allowed};
  CHECK(table.clientAddresses(west, nobody) == std::vector<std::string>{"ea1:1"});
  hear("wa1", "wa");
  hear("wa2", "wa");
  CHECK(table.clientAddresses(west, nobody) == (std::vector<std::string>{"wa1:1", "wa2:1"}));
  silent = {"ea1", "wa1", "wa2"};
  LONGS_EQUAL(0, table.clientAddresses(west, nobody).size());
  const ClientLocation elsewhere{"unknown", "north", &zones, &allowed};
  CHECK(table.clientAddresses(elsewhere, nobody) == std::vector<std::string>{"na1:1"});
}

TEST(MemberTable, namesSuspectsOnlyWhenNobodyElseIsLeft) {
  hear("a1", "a");
  hear("a2", "a");
  hear("a3", "a");
  const auto isFrozen = [](const std::string& relay) { return relay == "a2:2"; };
  CHECK(table.clientAddresses("a", isFrozen) == (std::vector<std::string>{"a1:1", "a3:1"}));
  const auto isAny = [](const std::string&) { return true; };
  LONGS_EQUAL(3, table.clientAddresses("a", isAny).size());
}

TEST(MemberTable, namesTheMostCapableNodesOfALargeZone) {
  for (int node = 0; node < 30; ++node) {
    hear("weak" + std::to_string(node), "a", false, 0.01);
  }
  for (int node = 0; node < 9; ++node) {
    hear("strong" + std::to_string(node), "a", false, 0.3);
  }
  const auto addresses = table.clientAddresses("a", nobody);
  LONGS_EQUAL(8, addresses.size());
  CHECK(std::all_of(addresses.begin(), addresses.end(),
                    [](const std::string& address) { return address.find("strong") == 0; }));
  LONGS_EQUAL(8, table.namedNodesIn("a").size());
  silent = {"strong0", "strong1"};
  const auto left = table.clientAddresses("a", nobody);
  LONGS_EQUAL(8, left.size());
  LONGS_EQUAL(1, std::count_if(left.begin(), left.end(), [](const std::string& address) {
                return address.find("weak") == 0;
              }));
}

TEST(MemberTable, namesEnoughOfALargeZoneOfEqualNodes) {
  for (int node = 0; node < 100; ++node) {
    hear("n" + std::to_string(node), "a");
  }
  LONGS_EQUAL(40, table.clientAddresses("a", nobody).size());
}

TEST(MemberTable, doesNotNameLeavingNodes) {
  hear("a1", "a");
  hear("a2", "a");
  hear("a2", "a", true);
  LONGS_EQUAL(1, table.clientAddresses("a", nobody).size());
  LONGS_EQUAL(1, table.countServingIn("a"));
  LONGS_EQUAL(2, table.liveMembers().size());
}

TEST(MemberTable, forgetsNodesThatAreSilentWhileOthersAreHeard) {
  hear("a1", "a");
  hear("a2", "a");
  now += milliseconds(3301);
  hear("a1", "a");
  LONGS_EQUAL(1, table.clientAddresses("a", nobody).size());
}

TEST(MemberTable, aNodeThatDoesNotAnswerProbesIsLeftOutBeforeItsRecordsEnd) {
  hear("a1", "a");
  hear("a2", "a");
  hear("a3", "a");
  silent = {"a2"};
  CHECK(table.clientAddresses("a", nobody) == (std::vector<std::string>{"a1:1", "a3:1"}));
  LONGS_EQUAL(2, table.liveMembers().size());
  silent.clear();
  LONGS_EQUAL(3, table.clientAddresses("a", nobody).size());
}

TEST(MemberTable, dropsNodesThatAreLongGone) {
  hear("a1", "a");
  hear("a2", "a");
  now += seconds(599);
  hear("a1", "a");
  LONGS_EQUAL(0, table.removeExpired().size());
  now += seconds(1);
  hear("a1", "a");
  CHECK(table.removeExpired() == std::vector<std::string>{"a2"});
  CHECK(table.heartbeat() == seconds(1));
}

TEST(MemberTable, forgetsNobodyWhileNothingCanBeRead) {
  hear("a1", "a");
  hear("a2", "a");
  now += seconds(60);
  LONGS_EQUAL(2, table.clientAddresses("a", nobody).size());
}

TEST(MemberTable, heartbeatsBecomeRarerInALargeFleet) {
  hear("a1", "a");
  CHECK(table.heartbeat() == seconds(1));
  for (int node = 0; node < 299; ++node) {
    hear("b" + std::to_string(node), "b");
  }
  CHECK(table.heartbeat() == seconds(5));
  now += seconds(16);
  hear("a1", "a");
  LONGS_EQUAL(299, table.countServingIn("b"));
  now += seconds(1);
  hear("a1", "a");
  LONGS_EQUAL(0, table.countServingIn("b"));
}

TEST(MemberTable, recordsKeepTheirFieldsAndBrokenOnesAreFound) {
  const std::string bytes = encodeMemberRecord({"n", "z", "1.2.3.4:5", "1.2.3.4:6", true, 9});
  const auto record = decodeMemberRecord(bytes);
  STRCMP_EQUAL("1.2.3.4:6", valueOf(record).relayAddress.c_str());
  CHECK_TRUE(valueOf(record).leaving);
  LONGS_EQUAL(9, valueOf(record).beat);
  CHECK_FALSE(succeeded(decodeMemberRecord(bytes.substr(0, 10))));
}

TEST(MemberTable, recordsWithValuesThatNoNodeWritesAreRefusedAndTheFieldNamed) {
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

// Owners of cold replicas are drawn by these weights, so all nodes must find the same ones.
TEST(MemberTable, membersWeighByTheClientsThatAreSentToThemWhetherTheyLiveOrNot) {
  for (int number = 0; number < 20; ++number) {
    hear("a" + std::to_string(number), "a", false, number < 4 ? 0.3 : 0.0036);
  }
  hear("b1", "b", false, 0.0036);
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
  silent = {"a0", "a1"};
  hear("a2", "a", true, 0.3);
  CHECK(before == table.ringMembers());
}
