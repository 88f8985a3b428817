// Barrier and refill: how a replica that lost its memory comes to count again.
#include <algorithm>
#include <iterator>
#include <map>

#include "program/epochs.h"
#include "program/journal_replica.h"

namespace gorsetrail::program {
namespace {

constexpr Duration kLongestAskInterval = seconds(2);
/// An unfilled replica whose group cannot fill it (two copies lost) asks that seldom at last.
constexpr Duration kLongestUnfilledAskInterval = seconds(30);

/// \return the floor in an answer to a barrier request, with the bits of the answerer.
std::uint64_t barrierReplyValue(const SealReply& reply) {
  if (const auto* none = std::get_if<SealGranted>(&reply.verdict)) {
    return none->lastWritten.value();
  }
  return std::get<SealRefused>(reply.verdict).promised.value();
}

bool contains(const std::vector<NodeId>& nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

void JournalReplica::answerBarrier(NodeId from, const SealRequest& request, Instant now) {
  if (lives_.isOutdated(from, request.candidateIncarnation)) {
    return;
  }
  if (lives_.isNews(from, request.candidateIncarnation)) {
    newLives_.push_back(from);
  }
  const bool hadEarlierLife = lives_.meet(from, request.candidateIncarnation);
  const auto known = copies_.find(request.program);
  const Instant lastTouched = known == copies_.end() ? now : known->second.lastTouched;
  Copy& copy = copyOf(request.program, now);
  copy.lastTouched = lastTouched;  // Asking for a program that nobody uses keeps it no longer.
  const Epoch floor = setBarrier(from, request.candidateIncarnation, copy);
  const bool hasContent = copy.written != Epoch{} || copy.trust == ReplicaTrust::Unfilled;
  const std::uint64_t bits = (hadEarlierLife ? kEarlierLifeBit : 0) |
                             (lives_.hasEarlierLife() ? kCannotVouchBit : 0) |
                             (remembers(now) ? 0 : kForgetfulBit);
  const Epoch marked(floor.value() | bits);
  SealReply answer{request.program, request.epoch, SealGranted{marked, std::nullopt}};
  if (hasContent) {
    answer.verdict = SealRefused{marked, copy.owner, copy.ownerIncarnation};
  }
  commands_.send(from, std::move(answer));
  noteRefillRequest(request.program, copy);
}

void JournalReplica::noteRefillRequest(ProgramId program, const Copy& copy) {
  if (copy.written != Epoch{} && copy.trust == ReplicaTrust::Filled) {
    refillRequests_.push_back(program);
  }
}

Epoch JournalReplica::setBarrier(NodeId peer, Incarnation incarnation, Copy& copy) {
  const auto known = std::find_if(copy.barriers.begin(), copy.barriers.end(),
                                  [&](const SetBarrier& barrier) { return barrier.peer == peer; });
  if (known != copy.barriers.end() && known->incarnation == incarnation) {
    return known->floor;  // A repeated request must not fence the owner once more.
  }
  copy.promised = barrierAbove(copy.promised);
  if (known == copy.barriers.end()) {
    copy.barriers.push_back({peer, incarnation, copy.promised});
  } else {
    *known = {peer, incarnation, copy.promised};
  }
  return copy.promised;
}

void JournalReplica::askBarrier(ProgramId program, Copy& copy, Instant now) {
  copy.lastAsked = now;
  const std::vector<NodeId> members = membersOf(program);
  for (const NodeId member : members) {
    if (member != self_ && !contains(copy.answered, member)) {
      commands_.send(member, SealRequest{program, groups_.groupOf(zone_, program).version,
                                         barrierRequestEpoch(incarnation_), self_, incarnation_});
    }
  }
  if (members.size() == 1) {
    finishRecovery(program, copy, now);
  }
}

void JournalReplica::onBarrierReply(NodeId from, const SealReply& reply, Instant now) {
  noteStart(now);
  if (reply.epoch != barrierRequestEpoch(incarnation_) ||
      std::holds_alternative<GroupChanged>(reply.verdict)) {
    return;  // Meant for an earlier life of this node, or no answer to a barrier request at all.
  }
  const std::uint64_t bits = barrierReplyValue(reply) & kBarrierReplyBits;
  lives_.onPeerAnswered(from, (bits & kEarlierLifeBit) != 0, (bits & kCannotVouchBit) == 0);
  if ((bits & kForgetfulBit) == 0 && !heardRememberingAt_) {
    heardRememberingAt_ = now;
  }
  const auto position = copies_.find(reply.program);
  if (position == copies_.end() || position->second.trust != ReplicaTrust::Recovering) {
    return;
  }
  Copy& copy = position->second;
  takeBarrierVerdict(from, reply, copy);
  // Every other member must have answered: each quorum of the earlier life contains one of them,
  // and only all of them together rule out that such a quorum still completes.
  const std::vector<NodeId> members = membersOf(reply.program);
  const bool isComplete = std::all_of(members.begin(), members.end(), [&](NodeId member) {
    return member == self_ || contains(copy.answered, member);
  });
  if (isComplete) {
    finishRecovery(reply.program, copy, now);
  }
}

void JournalReplica::takeBarrierVerdict(NodeId from, const SealReply& reply, Copy& copy) {
  const std::uint64_t value = barrierReplyValue(reply);
  // Whom the others name as owner is theirs to say: here it would outlive the owner's release.
  copy.contentElsewhere |= std::holds_alternative<SealRefused>(reply.verdict);
  copy.promised = std::max(copy.promised, Epoch(value & ~kBarrierReplyBits));
  if (!contains(copy.answered, from)) {
    copy.answered.push_back(from);
    copy.vouchers += (value & kForgetfulBit) == 0 ? 1 : 0;
  }
}

void JournalReplica::finishRecovery(ProgramId program, Copy& copy, Instant now) {
  // Any quorum that stored the program would contain one of so many members.
  const std::size_t members = membersOf(program).size();
  copy.isKnownNew = remembers(now) || copy.vouchers >= members - members / 2;
  copy.trust = copy.contentElsewhere ? ReplicaTrust::Unfilled : ReplicaTrust::Filled;
  copy.answered = {};
  if (const auto held = std::exchange(copy.heldSeal, std::nullopt)) {
    if (refusesGroup(program, held->group)) {
      return;
    }
    decideSeal(*held, copy, now);
  }
}

void JournalReplica::onIntroduction(ProgramId program, Instant now) {
  if (!contains(membersOf(program), self_)) {
    return;
  }
  const auto position = copies_.find(program);
  if (position == copies_.end()) {
    copyOf(program, now);  // Forgotten, if ever held: recovers by itself.
    return;
  }
  Copy& copy = position->second;
  const bool isDue = copy.answered.empty() || now - copy.lastAsked >= knobs_.resendInterval;
  if (copy.trust == ReplicaTrust::Recovering && isDue) {
    askBarrier(program, copy, now);
  }
}

bool JournalReplica::keepRecovering(ProgramId program, Instant now) {
  const auto position = copies_.find(program);
  if (position == copies_.end() || position->second.trust == ReplicaTrust::Filled) {
    return false;
  }
  Copy& copy = position->second;
  const bool isRecovering = copy.trust == ReplicaTrust::Recovering;
  if (isRecovering && !copy.contentElsewhere && trustsIgnorance(program, now)) {
    finishRecovery(program, copy, now);
    return false;
  }
  if (now - copy.lastAsked >= copy.askInterval) {
    // An unfilled replica repeats the question too (it fences nothing again): that is how members
    // with content learn that a refill is still wanted.
    const Duration longest = isRecovering ? kLongestAskInterval : kLongestUnfilledAskInterval;
    copy.askInterval = std::min(copy.askInterval * 2, longest);
    askBarrier(program, copy, now);
  }
  return copy.trust != ReplicaTrust::Filled;
}

std::vector<ProgramId> JournalReplica::programsSharedWith(NodeId peer) const {
  std::vector<ProgramId> shared;
  for (const auto& [program, copy] : copies_) {
    if (copy.written != Epoch{} && contains(membersOf(program), peer)) {
      shared.push_back(program);
    }
  }
  return shared;
}

JournalReplica::NamedOwner JournalReplica::namedOwnerOf(ProgramId program) const {
  const auto position = copies_.find(program);
  if (position == copies_.end()) {
    return {};
  }
  const Copy& copy = position->second;
  return {copy.owner, copy.ownerIncarnation, copy.sealed};
}

void JournalReplica::introduceTo(NodeId member, ProgramId program) const {
  const ProgramRecord* record = recordOf(program);
  if (record == nullptr) {
    return;
  }
  AppendRequest introduction{
      program, groups_.groupOf(zone_, program).version, Epoch{}, self_, std::nullopt, {}};
  introduction.base = ProgramRecord{record->key, record->limits, {}, false};
  commands_.send(member, std::move(introduction));
}

void JournalReplica::probePeer(std::size_t turn, std::size_t limit) const {
  std::map<NodeId, ProgramId> shared;
  for (const auto& [program, copy] : copies_) {
    if (limit-- == 0) {
      break;
    }
    if (copy.written != Epoch{}) {
      for (const NodeId member : membersOf(program)) {
        shared.emplace(member, program);
      }
    }
  }
  shared.erase(self_);
  if (!shared.empty()) {
    const auto peer = std::next(shared.begin(), static_cast<std::ptrdiff_t>(turn % shared.size()));
    introduceTo(peer->first, peer->second);
  }
}

}  // namespace gorsetrail::program
