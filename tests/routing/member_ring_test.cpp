// Ownership of keys as computed by each member.
#include "routing/member_ring.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using gorsetrail::routing::MemberRing;
using gorsetrail::routing::RingMember;

namespace {

std::vector<RingMember> membersUpTo(int count) {
  std::vector<RingMember> members;
  for (int number = 0; number < count; ++number) {
    members.push_back({"10.0.0." + std::to_string(number) + ":8149"});
  }
  return members;
}

std::string keyOf(int number) { return "i-" + std::to_string(number); }

/// The ring of each member, built from the same list.
std::map<std::string, MemberRing> ringsOver(const std::vector<RingMember>& members) {
  std::map<std::string, MemberRing> rings;
  for (const RingMember& member : members) {
    rings[member.name].update(members, member.name);
  }
  return rings;
}

/// \return the members that consider themselves owners of the key.
std::set<std::string> ownersOf(const std::string& key,
                               const std::map<std::string, MemberRing>& rings, std::size_t count) {
  std::set<std::string> owners;
  for (const auto& [member, ring] : rings) {
    if (ring.isOwnerOf(key, count)) {
      owners.insert(member);
    }
  }
  return owners;
}

}  // namespace

TEST_GROUP(MemberRing){};

TEST(MemberRing, aKeyHasAtLeastOneOwnerAndAtMostTheRequestedCount) {
  const auto rings = ringsOver(membersUpTo(40));
  std::size_t ownersOfNinePoints = 0;
  for (int number = 0; number < 100; ++number) {
    LONGS_EQUAL(1, ownersOf(keyOf(number), rings, 1).size());
    LONGS_EQUAL(0, ownersOf(keyOf(number), rings, 0).size());
    const std::size_t owners = ownersOf(keyOf(number), rings, 9).size();
    CHECK(owners >= 1 && owners <= 9);
    ownersOfNinePoints += owners;
  }
  CHECK_COMPARE(ownersOfNinePoints, >, 7U * 100);  // Some points of a key have the same owner.
}

TEST(MemberRing, distributesKeysEvenly) {
  const auto rings = ringsOver(membersUpTo(20));
  for (const auto& [member, ring] : rings) {
    int owned = 0;
    for (int number = 0; number < 1000; ++number) {
      owned += ring.isOwnerOf(keyOf(number), 2) ? 1 : 0;
    }
    CHECK_COMPARE(owned, >, 45);  // The mean is 100.
    CHECK_COMPARE(owned, <, 185);
  }
}

// Lists read at different times differ in members that joined or left.
TEST(MemberRing, twoListsAtMostDoubleTheOwners) {
  const std::vector<RingMember> members = membersUpTo(40);
  const auto rings = ringsOver(members);
  const auto ofHalf = ringsOver({members.begin(), members.begin() + 20});
  for (int number = 0; number < 100; ++number) {
    std::set<std::string> owners = ownersOf(keyOf(number), rings, 2);
    owners.merge(ownersOf(keyOf(number), ofHalf, 2));
    CHECK(owners.size() <= 4);
  }
}

TEST(MemberRing, aNodeThatIsNotListedOwnsNothing) {
  MemberRing ring;
  CHECK_FALSE(ring.isOwnerOf("i-1", 9));
  ring.update(membersUpTo(3), "10.9.9.9:8149");
  CHECK_FALSE(ring.isOwnerOf("i-1", 9));
}

TEST(MemberRing, aSingleMemberOwnsEverything) {
  MemberRing ring;
  ring.update({{"a"}}, "a");
  for (int number = 0; number < 100; ++number) {
    CHECK_TRUE(ring.isOwnerOf(keyOf(number), 1));
  }
}

TEST(MemberRing, aDuplicateMemberCountsOnce) {
  const std::vector<RingMember> members = membersUpTo(4);
  std::vector<RingMember> twice = members;
  twice.insert(twice.end(), members.begin(), members.end());
  const auto rings = ringsOver(twice);
  for (int number = 0; number < 100; ++number) {
    LONGS_EQUAL(1, ownersOf(keyOf(number), rings, 1).size());
  }
}

// Weights follow client traffic.
TEST(MemberRing, ownsKeysInProportionToWeight) {
  std::vector<RingMember> members = membersUpTo(20);
  for (std::size_t number = 0; number < members.size(); ++number) {
    members[number].weight = number < 4 ? 0.3 : 0.0036;
  }
  const auto rings = ringsOver(members);
  int ofCapable = 0;
  int ofOthers = 0;
  for (int key = 0; key < 500; ++key) {
    for (std::size_t number = 0; number < members.size(); ++number) {
      const bool isOwner = rings.at(members[number].name).isOwnerOf(keyOf(key), 1);
      (number < 4 ? ofCapable : ofOthers) += isOwner ? 1 : 0;
    }
  }
  LONGS_EQUAL(500, ofCapable + ofOthers);
  CHECK_COMPARE(ofCapable, >, 425);
  CHECK_COMPARE(ofOthers, >, 0);
}

TEST(MemberRing, membersWithZeroWeightShareEqually) {
  std::vector<RingMember> members = membersUpTo(3);
  for (RingMember& member : members) {
    member.weight = 0;
  }
  const auto rings = ringsOver(members);
  for (const auto& [member, ring] : rings) {
    int owned = 0;
    for (int key = 0; key < 300; ++key) {
      owned += ring.isOwnerOf(keyOf(key), 1) ? 1 : 0;
    }
    CHECK(owned > 60 && owned < 150);
  }
}
