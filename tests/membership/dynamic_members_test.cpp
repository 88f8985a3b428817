// Guards membership changes at run time, clock errors and isolated nodes.
#include "membership/membership_codec.h"
#include "membership_network.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::membership;

namespace {

/// A failure detector without a network; its messages are inspected or discarded.
struct StandaloneDetector {
  static MembershipKnobs knobs() {
    MembershipKnobs knobs;
    knobs.answersUnknownNodes = true;
    return knobs;
  }
  MembershipServicePtr service = makeMembershipService(NodeId(1), Incarnation(10),
                                                       {Member{NodeId(1), "", "", ""}}, knobs(), 7);
  Instant now{seconds(100)};

  /// Runs for `span`; if `heardFromOther`, a message from node 9 arrives at each tick.
  void run(Duration span, bool heardFromOther) {
    const Instant end = now + span;
    while (now < end) {
      now += milliseconds(10);
      if (heardFromOther) {
        service->onMembershipMessage(NodeId(9), ProbeReply{0, {Incarnation(1), {}, {}, {}}}, now);
      }
      service->onTick(now);
    }
  }
  void add(std::uint32_t node) { CHECK_TRUE(service->addMember({NodeId(node), "", "", ""})); }
};

}  // namespace

TEST_GROUP(DynamicMembers) { StandaloneDetector detector; };

TEST(DynamicMembers, addedNodeIsMonitored) {
  detector.run(seconds(1), true);
  CHECK_FALSE(detector.service->knows(NodeId(2)));
  detector.add(2);
  CHECK(detector.service->stateOf(NodeId(2)) == MemberState::Alive);
  detector.run(seconds(4), true);
  CHECK(detector.service->stateOf(NodeId(2)) == MemberState::Dead);
}

TEST(DynamicMembers, removedNodeIsForgottenAndItsIndexReset) {
  detector.add(2);
  detector.run(seconds(4), true);
  detector.service->removeMember(NodeId(2));
  CHECK_FALSE(detector.service->knows(NodeId(2)));
  detector.add(3);
  CHECK(detector.service->stateOf(NodeId(3)) == MemberState::Alive);
  detector.add(2);
  CHECK(detector.service->stateOf(NodeId(2)) == MemberState::Alive);
  detector.run(seconds(6), true);
  CHECK(detector.service->stateOf(NodeId(2)) == MemberState::Dead);
  CHECK(detector.service->stateOf(NodeId(3)) == MemberState::Dead);
}

TEST(DynamicMembers, isolatedNodeDeclaresNobodyDead) {
  StandaloneDetector isolated;
  isolated.add(2);
  isolated.add(3);
  isolated.run(seconds(30), false);
  CHECK(isolated.service->stateOf(NodeId(2)) != MemberState::Dead);
  CHECK(isolated.service->stateOf(NodeId(3)) != MemberState::Dead);
}

TEST(DynamicMembers, theNumberOfMembersIsBounded) {
  std::uint32_t node = 1;
  while (node < kMaximumMembers) {
    ++node;
    detector.add(node);
  }
  CHECK_FALSE(detector.service->addMember({NodeId(node + 1), "", "", ""}));
  CHECK_TRUE(detector.service->addMember({NodeId(5), "", "other address", ""}));
}

TEST(DynamicMembers, nodeWithClockSetBackIsAcceptedAgain) {
  MembershipNetwork network(12);
  network.run(seconds(5));
  network.start(3, 500);
  network.run(seconds(5));
  network.at(3).running = false;
  network.run(seconds(5));
  CHECK_TRUE(network.allSee(3, MemberState::Dead));
  network.start(3, 400);  // Incarnations come from the system clock, which was set back.
  const auto elapsed =
      network.runUntil([&] { return network.allSee(3, MemberState::Alive); }, seconds(10));
  CHECK_TRUE(elapsed.has_value());
}

TEST(DynamicMembers, answersProbesFromUnknownNodes) {
  static_cast<void>(detector.service->takeCommands());
  detector.service->onMembershipMessage(NodeId(77), ProbeRequest{5, {Incarnation(1), {}, {}, {}}},
                                        detector.now);
  const auto commands = detector.service->takeCommands();
  CHECK_EQUAL(1U, commands.size());
  const auto& sent = std::get<SendMembershipMessage>(commands.front());
  CHECK(sent.to == NodeId(77));
  CHECK_EQUAL(5U, std::get<ProbeReply>(sent.message).probe);
}

TEST_GROUP(MembershipCodec){};

TEST(MembershipCodec, roundTripPreservesFields) {
  const MemberUpdate update{NodeId(0x0A010026), Incarnation(1777141099266), MemberState::Suspected,
                            3};
  const IndirectProbeRequest sent{8, NodeId(4), {Incarnation(12), {}, {update}, {}}};
  const auto read = decodeMembershipMessage(encodeMembershipMessage(sent));
  CHECK_TRUE(succeeded(read));
  const auto& received = std::get<IndirectProbeRequest>(valueOf(read));
  CHECK_EQUAL(8U, received.probe);
  CHECK(received.target == NodeId(4));
  CHECK(received.piggyback.senderIncarnation == Incarnation(12));
  CHECK_EQUAL(1U, received.piggyback.updates.size());
  const MemberUpdate& got = received.piggyback.updates.front();
  CHECK(got.node == update.node && got.incarnation == update.incarnation);
  CHECK(got.state == update.state && got.refutation == update.refutation);
}

TEST(MembershipCodec, rejectsMalformedMessagesAndUnknownStates) {
  CHECK_FALSE(succeeded(decodeMembershipMessage("no message")));
  const auto unknown = static_cast<MemberState>(9);
  const ProbeRequest sent{1, {Incarnation(1), {}, {{NodeId(2), Incarnation(1), unknown, 0}}, {}}};
  const std::string bytes = encodeMembershipMessage(sent);
  CHECK_FALSE(succeeded(decodeMembershipMessage(bytes)));
  CHECK_FALSE(succeeded(decodeMembershipMessage(bytes.substr(0, bytes.size() / 2))));
}
