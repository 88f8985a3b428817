#include "program/replica_repair.h"

#include <algorithm>

namespace gorsetrail::program {
namespace {

constexpr Duration kSlice = milliseconds(100);
constexpr std::uint32_t kSlicesPerSecond = 10;
constexpr Duration kProbeInterval = seconds(1);
/// Enough to meet every member of a zone of a few dozen nodes.
constexpr std::size_t kProbedCopies = 64;
/// Time for the peer's barrier to be answered before its refill begins.
constexpr Duration kFirstWait = milliseconds(300);
/// The next member of the group steps in when the one before it did not.
constexpr Duration kTurn = seconds(2);
constexpr Duration kFirstPause = seconds(3);
constexpr Duration kLongestPause = seconds(48);

}  // namespace

ReplicaRepair::ReplicaRepair(NodeId self, const ProgramKnobs& knobs, const PeerLiveness& liveness,
                             JournalReplica& replica, CommandQueue& commands)
    : self_(self),
      knobs_(knobs),
      liveness_(liveness),
      replica_(replica),
      commands_(commands),
      probeTurn_(self.value()) {}

std::vector<ProgramId> ReplicaRepair::onTick(Instant now) {
  if (now < nextSlice_) {
    return {};
  }
  nextSlice_ = now + kSlice;
  collect(now);
  if (now >= nextProbe_) {
    nextProbe_ = now + kProbeInterval;
    replica_.probePeer(probeTurn_++, kProbedCopies);
  }
  std::size_t allowance = std::max(1U, knobs_.repairsPerSecond / kSlicesPerSecond);
  std::vector<ProgramId> takeovers = advanceNeeds(allowance, now);
  sendIntroductions(allowance);
  return takeovers;
}

void ReplicaRepair::collect(Instant now) {
  for (const NodeId peer : replica_.takeNewLives()) {
    for (const ProgramId program : replica_.programsSharedWith(peer)) {
      introductions_.push_back({peer, program});
    }
  }
  for (const ProgramId program : replica_.takeRefillRequests()) {
    noteNeed(program, now);
  }
}

Duration ReplicaRepair::turnOf(ProgramId program) const {
  const std::vector<NodeId> members = replica_.membersOf(program);
  const auto place = std::find(members.begin(), members.end(), self_) - members.begin();
  return kFirstWait + place * kTurn;
}

void ReplicaRepair::noteNeed(ProgramId program, Instant now) {
  const auto [position, isNew] = needs_.try_emplace(program);
  position->second.lastAsked = now;
  position->second.writtenWhenAsked = replica_.writtenOf(program);
  if (isNew) {
    position->second.nextStep = now + turnOf(program);
    position->second.pause = kFirstPause;
    wakeOwner(program);
  }
}

bool ReplicaRepair::wakeOwner(ProgramId program) {
  const JournalReplica::NamedOwner owner = replica_.namedOwnerOf(program);
  if (owner.node == NodeId{} || !liveness_.isAlive(owner.node, owner.incarnation)) {
    return false;
  }
  commands_.send(owner.node, AppendReply{program, owner.sealed, AppendVerdict::StaleEpoch,
                                         SequenceNumber{}, replica_.promisedOf(program)});
  return true;
}

bool ReplicaRepair::isMet(ProgramId program, const Need& need, Instant now) const {
  const bool isSilentSinceStep =
      now >= need.nextStep && need.lastStep && need.lastAsked <= *need.lastStep;
  return replica_.writtenOf(program) != need.writtenWhenAsked || isSilentSinceStep;
}

std::vector<ProgramId> ReplicaRepair::advanceNeeds(std::size_t& allowance, Instant now) {
  std::erase_if(needs_, [&](const auto& item) { return isMet(item.first, item.second, now); });
  std::vector<ProgramId> takeovers;
  for (auto& [program, need] : needs_) {
    if (allowance == 0) {
      break;
    }
    if (now < need.nextStep) {
      continue;
    }
    --allowance;
    need.lastStep = now;
    need.nextStep = now + need.pause;
    need.pause = std::min(need.pause * 2, kLongestPause);
    if (!wakeOwner(program)) {
      takeovers.push_back(program);
    }
  }
  return takeovers;
}

void ReplicaRepair::sendIntroductions(std::size_t& allowance) {
  for (; allowance > 0 && !introductions_.empty(); --allowance) {
    replica_.introduceTo(introductions_.front().peer, introductions_.front().program);
    introductions_.pop_front();
  }
}

}  // namespace gorsetrail::program
