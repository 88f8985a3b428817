// The owner side alone: what a candidate makes of answers that disagree.
#include "program/program_owner.h"

#include "program/epochs.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

namespace {

struct AllAlive final : PeerLiveness {
  [[nodiscard]] bool isAlive(NodeId, Incarnation) const override { return true; }
  [[nodiscard]] std::string callerAddressOf(NodeId) const override { return {}; }
};

const ProgramKey kKey{"zone-1", "tenant", "program"};
const ReplicaGroups::Group kGroup{GroupVersion(1), {NodeId(1), NodeId(2), NodeId(3)}};

}  // namespace

TEST_GROUP(ProgramOwner) {
  AllAlive liveness;
  CommandQueue commands;
  ProgramKnobs knobs;
  Instant now{};

  ProgramOwner candidate(std::uint32_t node) {
    return ProgramOwner({NodeId(node), Incarnation(1), programIdOf(kKey), kKey, {}}, kGroup, knobs,
                        liveness, commands, now);
  }
  void grant(ProgramOwner & owner, std::uint32_t replica) {
    owner.onSealReply(NodeId(replica), {programIdOf(kKey), owner.epoch(), SealGranted{}}, now);
  }
  void refuse(ProgramOwner & owner, std::uint32_t replica, std::uint32_t named) {
    const SealRefused refused{firstEpoch(NodeId(named)), NodeId(named), Incarnation(1)};
    owner.onSealReply(NodeId(replica), {programIdOf(kKey), owner.epoch(), refused}, now);
  }
};

TEST(ProgramOwner, ofTwoCandidatesWithOneReplicaEachTheLowerGoesOn) {
  ProgramOwner lower = candidate(4);
  ProgramOwner higher = candidate(5);
  grant(lower, 1);
  refuse(higher, 1, 4);
  grant(higher, 2);
  refuse(lower, 2, 5);
  // Replica 3 is dead.
  now += seconds(1);
  lower.onTick(now);
  higher.onTick(now);
  CHECK(lower.phase() == OwnerPhase::Sealing);
  CHECK(firstEpoch(NodeId(5)) < lower.epoch());
  CHECK(higher.phase() == OwnerPhase::Elsewhere);
  CHECK(higher.liveOwner() == NodeId(4));
}

TEST(ProgramOwner, aCandidateThatAQuorumPromisedGoesOnBeforeALowerOne) {
  ProgramOwner higher = candidate(5);
  grant(higher, 2);
  refuse(higher, 3, 5);  // Promised, but it has no record yet.
  refuse(higher, 1, 4);
  CHECK(higher.phase() == OwnerPhase::Sealing);
  CHECK(firstEpoch(NodeId(5)) < higher.epoch());
}

TEST(ProgramOwner, anOwnerNamedByAQuorumIsNotOvertaken) {
  ProgramOwner lower = candidate(4);
  refuse(lower, 1, 5);
  refuse(lower, 2, 5);
  CHECK(lower.phase() == OwnerPhase::Elsewhere);
  CHECK(lower.liveOwner() == NodeId(5));
}
