#include <algorithm>

#include "membership/member_table.h"
#include "membership_network.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::membership;

TEST_GROUP(MemberIncarnation){};

TEST(MemberIncarnation, RestartedNodeSupersedesItsEarlierIncarnation) {
  MembershipNetwork network(20);
  network.run(seconds(5));
  network.at(3).running = false;
  network.run(seconds(10));
  network.start(3, 2);
  const auto elapsed = network.runUntil(
      [&] {
        return network.allSee(3, MemberState::Alive) &&
               network.service(9).incarnationOf(NodeId(3)) == Incarnation(2);
      },
      seconds(10));
  CHECK(elapsed.has_value());
}

TEST(MemberIncarnation, MessageOfAnEarlierIncarnationChangesNothing) {
  MembershipNetwork network(4);
  network.run(seconds(3));
  network.start(2, 5);
  network.run(seconds(5));
  const MemberUpdate old{NodeId(2), Incarnation(1), MemberState::Alive, 9};
  const Piggyback piggyback{Incarnation(1), BundleVersion(0), {old}, {}};
  network.service(1).onMembershipMessage(NodeId(2), ProbeRequest{1, piggyback}, network.now());
  CHECK_EQUAL(5U, network.service(1).incarnationOf(NodeId(2)).value());
  CHECK(network.service(1).stateOf(NodeId(2)) == MemberState::Alive);
}

TEST(MemberIncarnation, TerminatedIsFinalForItsIncarnationAndOnlyForIt) {
  MembershipNetwork network(10);
  network.run(seconds(5));
  network.at(4).running = false;
  const std::vector<MachineListEntry> list{{NodeId(4), Incarnation(1), MemberState::Terminated}};
  network.service(1).onMachineList(list, network.now());
  network.run(seconds(5));
  CHECK(network.allSee(4, MemberState::Terminated));
  // The list was wrong or the process is still running; the node stays terminated.
  network.at(4).running = true;
  network.run(seconds(10));
  CHECK(network.allSee(4, MemberState::Terminated));
  network.start(4, 2);
  const auto elapsed =
      network.runUntil([&] { return network.allSee(4, MemberState::Alive); }, seconds(10));
  CHECK(elapsed.has_value());
}

TEST(MemberIncarnation, MissingOrStaleListEntriesChangeNothing) {
  MembershipNetwork network(3);
  network.run(seconds(3));
  network.start(2, 7);
  network.run(seconds(5));
  network.service(1).onMachineList({}, network.now());
  CHECK(network.service(1).stateOf(NodeId(2)) == MemberState::Alive);
  network.service(1).onMachineList({{NodeId(2), Incarnation(1), MemberState::Terminated}},
                                   network.now());
  CHECK(network.service(1).stateOf(NodeId(2)) == MemberState::Alive);
  CHECK_EQUAL(7U, network.service(1).incarnationOf(NodeId(2)).value());
}

TEST(MemberIncarnation, ListLineDoesNotReviveADeadMember) {
  MembershipNetwork network(5);
  network.run(seconds(3));
  network.at(2).running = false;
  network.run(seconds(10));
  network.service(1).onMachineList({{NodeId(2), Incarnation(1), MemberState::Alive}},
                                   network.now());
  CHECK(network.service(1).stateOf(NodeId(2)) == MemberState::Dead);
}

TEST(MemberIncarnation, LeavingSpreadsAndSurvivesASuspicion) {
  MembershipNetwork network(30);
  network.run(seconds(5));
  network.service(6).beginLeave(network.now());
  const auto elapsed =
      network.runUntil([&] { return network.allSee(6, MemberState::Leaving); }, seconds(3));
  CHECK(elapsed.has_value());
  const MemberUpdate falseUpdate{NodeId(6), Incarnation(1), MemberState::Suspected, 1};
  const Piggyback piggyback{Incarnation(1), BundleVersion(0), {falseUpdate}, {}};
  network.service(2).onMembershipMessage(NodeId(3), ProbeRequest{9, piggyback}, network.now());
  network.run(seconds(5));
  CHECK(network.allSee(6, MemberState::Leaving));
  network.at(6).running = false;
  network.run(seconds(8));
  CHECK(network.allSee(6, MemberState::Dead));
}

TEST(MemberIncarnation, LeavingFromTheListReachesTheNodeItself) {
  MembershipNetwork network(8);
  network.run(seconds(5));
  network.service(1).onMachineList({{NodeId(5), Incarnation(1), MemberState::Leaving}},
                                   network.now());
  network.run(seconds(3));
  CHECK(network.allSee(5, MemberState::Leaving));
  CHECK(network.service(5).stateOf(NodeId(5)) == MemberState::Leaving);
}

TEST(MemberIncarnation, UnknownSenderAndUnknownMemberAreIgnored) {
  MembershipNetwork network(3);
  const MemberUpdate unknown{NodeId(77), Incarnation(1), MemberState::Alive, 0};
  const Piggyback piggyback{Incarnation(1), BundleVersion(9), {unknown}, {}};
  network.service(1).onMembershipMessage(NodeId(88), ProbeRequest{1, piggyback}, network.now());
  CHECK(network.service(1).takeCommands().empty());
  CHECK(network.service(1).stateOf(NodeId(77)) == MemberState::Dead);
}

TEST(MemberIncarnation, UpdatesAreTotallyOrdered) {
  std::vector<MemberUpdate> updates;
  for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
    for (std::uint32_t refutation = 0; refutation <= 2; ++refutation) {
      for (const MemberState state : {MemberState::Alive, MemberState::Suspected, MemberState::Dead,
                                      MemberState::Leaving, MemberState::Terminated}) {
        updates.push_back({NodeId(1), Incarnation(incarnation), state, refutation});
      }
    }
  }
  for (const MemberUpdate& left : updates) {
    CHECK_FALSE(supersedes(left, left));
    for (const MemberUpdate& right : updates) {
      CHECK_FALSE(supersedes(left, right) && supersedes(right, left));
      for (const MemberUpdate& third : updates) {
        if (supersedes(left, right) && supersedes(right, third)) {
          CHECK(supersedes(left, third));
        }
      }
    }
  }
}
