#include "program/journal_replica.h"

#include <algorithm>

#include "program/epochs.h"

namespace gorsetrail::program {
namespace {

constexpr Duration kSweepInterval = seconds(1);
/// After a restart hundreds of copies may recover at once: they are looked at in steps.
constexpr Duration kRecoveryInterval = milliseconds(50);
/// An unclosed program that no owner touched for so many idle leases is dropped.
constexpr int kAbandonedIdleLeases = 4;

bool contains(const std::vector<NodeId>& nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

JournalReplica::JournalReplica(NodeId self, Incarnation incarnation, const ProgramKnobs& knobs,
                               const ReplicaGroups& groups, CommandQueue& commands)
    : self_(self), incarnation_(incarnation), knobs_(knobs), groups_(groups), commands_(commands) {
  if (isNumberedRestart(incarnation)) {
    lives_.noteEarlierLife();
  }
}

void JournalReplica::noteStart(Instant now) {
  if (!startedAt_) {
    startedAt_ = now;
  }
}

void JournalReplica::learnZone(const std::string& zone, ProgramId program) {
  if (zone_.empty() && contains(groups_.groupOf(zone, program).members, self_)) {
    zone_ = zone;
  }
}

std::vector<NodeId> JournalReplica::membersOf(ProgramId program) const {
  if (zone_.empty()) {
    return {};
  }
  return groups_.groupOf(zone_, program).members;
}

bool JournalReplica::trustsIgnorance(ProgramId program, Instant now) const {
  // Whoever has run longer than any program stays without a write has been filled since for
  // every program in use: owners close idle programs and refill a replica that lacks entries.
  if (now - *startedAt_ >= knobs_.replicaSeasoning) {
    return true;
  }
  if (lives_.hasEarlierLife()) {
    return false;
  }
  const std::vector<NodeId> members = membersOf(program);
  return !members.empty() && lives_.isFirstLifeFor(members, self_);
}

bool JournalReplica::remembers(Instant now) const {
  // A replica that restarted is told of what it forgot by members that remember. If its whole
  // group restarted there is none, and it may not take its ignorance for "never existed".
  return !lives_.hasEarlierLife() || now - *startedAt_ >= knobs_.replicaSeasoning ||
         (heardRememberingAt_ && now - *heardRememberingAt_ >= knobs_.catchUpTime);
}

bool JournalReplica::refusesGroup(ProgramId program, GroupVersion version) const {
  return !zone_.empty() && groups_.groupOf(zone_, program).version != version;
}

JournalReplica::Copy& JournalReplica::copyOf(ProgramId program, Instant now) {
  const auto [position, isNew] = copies_.try_emplace(program);
  Copy& copy = position->second;
  copy.lastTouched = now;
  if (isNew) {
    copy.trust = trustsIgnorance(program, now) ? ReplicaTrust::Filled : ReplicaTrust::Recovering;
    copy.isKnownNew = copy.trust == ReplicaTrust::Filled;
    copy.askInterval = knobs_.resendInterval;
    if (copy.trust == ReplicaTrust::Recovering) {
      recovering_.push_back(program);
      askBarrier(program, copy, now);
    }
  }
  return copy;
}

void JournalReplica::onSealRequest(NodeId from, const SealRequest& request, Instant now) {
  noteStart(now);
  if (isBarrierRequest(request.epoch)) {
    answerBarrier(from, request, now);
    return;
  }
  if (refusesGroup(request.program, request.group)) {
    const auto group = groups_.groupOf(zone_, request.program);
    commands_.send(from, SealReply{request.program, request.epoch,
                                   GroupChanged{group.version, group.members}});
    return;
  }
  Copy& copy = copyOf(request.program, now);
  if (copy.trust != ReplicaTrust::Recovering) {
    decideSeal(request, copy, now);
    return;
  }
  if (!copy.heldSeal || copy.heldSeal->epoch < request.epoch) {
    copy.heldSeal = request;
  }
  if (zone_.empty()) {
    // The group's other members are not known yet: ask the candidate for the program's key.
    commands_.send(from, AppendReply{request.program, request.epoch, AppendVerdict::MissingPrefix,
                                     SequenceNumber{}, Epoch{}});
  }
}

void JournalReplica::decideSeal(const SealRequest& request, Copy& copy, Instant now) {
  const bool isAgain = request.epoch == copy.promised && request.candidate == copy.owner &&
                       request.candidateIncarnation == copy.ownerIncarnation;
  // Within one round the higher node number decides nothing: the first to be promised is named,
  // so that the other candidate looks at that owner's life before it goes a round up.
  const bool isOvertaking = copy.owner != NodeId{} && copy.owner != request.candidate &&
                            isSameRound(request.epoch, copy.promised);
  if ((request.epoch <= copy.promised || isOvertaking) && !isAgain) {
    commands_.send(request.candidate,
                   SealReply{request.program, request.epoch,
                             SealRefused{copy.promised, copy.owner, copy.ownerIncarnation}});
    return;
  }
  copy.promised = request.epoch;
  copy.sealed = request.epoch;
  copy.owner = request.candidate;
  copy.ownerIncarnation = request.candidateIncarnation;
  if (copy.trust == ReplicaTrust::Unfilled) {
    // It keeps the promise but cannot vouch for the record: that is no grant. Naming the candidate
    // itself tells it that this replica prefers nobody else.
    commands_.send(request.candidate,
                   SealReply{request.program, request.epoch,
                             SealRefused{copy.promised, copy.owner, copy.ownerIncarnation}});
    return;
  }
  SealGranted granted{copy.written, std::nullopt};
  if (copy.written != Epoch{}) {
    granted.record = copy.record;
  } else if (!copy.isKnownNew && !remembers(now)) {
    granted.lastWritten = Epoch(kForgetfulBit);
  }
  commands_.send(request.candidate, SealReply{request.program, request.epoch, std::move(granted)});
}

void JournalReplica::onAppendRequest(NodeId from, const AppendRequest& request, Instant now) {
  noteStart(now);
  if (request.base) {
    learnZone(request.base->key.homeZone, request.program);
  }
  if (request.epoch == Epoch{}) {
    onIntroduction(request.program, now);
    return;
  }
  Copy& copy = copyOf(request.program, now);
  if (refusesGroup(request.program, request.group)) {
    reply(from, request, copy, AppendVerdict::WrongGroup);
    return;
  }
  if (copy.trust == ReplicaTrust::Recovering) {
    if (zone_.empty()) {
      reply(from, request, copy, AppendVerdict::MissingPrefix);
    }
    return;
  }
  if (request.epoch < copy.promised) {
    reply(from, request, copy, AppendVerdict::StaleEpoch);
    return;
  }
  if (request.epoch > copy.promised) {
    // Not promised here (a lost seal): the owner seals again, so that its life is known too.
    reply(from, request, copy, AppendVerdict::MissingPrefix);
    return;
  }
  reply(from, request, copy, store(request, copy));
}

AppendVerdict JournalReplica::store(const AppendRequest& request, Copy& copy) {
  std::vector<JournalEntry>& entries = copy.record.entries;
  const bool isFirstOfEpoch = copy.written != request.epoch;
  if (isFirstOfEpoch && !request.base) {
    return AppendVerdict::MissingPrefix;
  }
  // The owner's record replaces whatever lower epochs left here: it was read from a quorum, so
  // what it lacks was never chosen. Within one epoch the single writer's record only grows, so a
  // shorter (older) base changes nothing.
  if (request.base && (isFirstOfEpoch || entries.size() < request.base->entries.size())) {
    copy.record = *request.base;
  }
  copy.written = request.epoch;
  copy.trust = ReplicaTrust::Filled;
  for (const JournalEntry& entry : request.entries) {
    if (entry.sequence.value() > entries.size() + 1) {
      return AppendVerdict::MissingPrefix;
    }
    if (entry.sequence.value() == entries.size() + 1) {
      entries.push_back(entry);
      copy.record.closed |= std::holds_alternative<CloseEntry>(entry.body);
    }
  }
  return AppendVerdict::Stored;
}

void JournalReplica::reply(NodeId to, const AppendRequest& request, const Copy& copy,
                           AppendVerdict verdict) {
  const bool isCurrent = copy.written == request.epoch && copy.trust == ReplicaTrust::Filled;
  const SequenceNumber stored(isCurrent ? copy.record.entries.size() : 0);
  commands_.send(to, AppendReply{request.program, request.epoch, verdict, stored, copy.promised});
}

void JournalReplica::onRelease(const ReleaseNotice& notice) {
  const auto position = copies_.find(notice.program);
  if (position == copies_.end() || position->second.sealed != notice.epoch) {
    return;
  }
  position->second.owner = NodeId{};
  position->second.ownerIncarnation = Incarnation{};
}

bool JournalReplica::isExpired(const Copy& copy, Instant now) const {
  const Duration untouched = now - copy.lastTouched;
  return untouched >=
         (copy.record.closed ? knobs_.closedRetention : kAbandonedIdleLeases * knobs_.idleLease);
}

void JournalReplica::onTick(Instant now) {
  noteStart(now);
  if (now >= nextRecoveryStep_) {
    nextRecoveryStep_ = now + kRecoveryInterval;
    std::erase_if(recovering_, [&](ProgramId program) { return !keepRecovering(program, now); });
  }
  if (now >= nextSweep_) {
    nextSweep_ = now + kSweepInterval;
    std::erase_if(copies_, [&](const auto& item) { return isExpired(item.second, now); });
  }
}

const ProgramRecord* JournalReplica::recordOf(ProgramId program) const {
  const auto position = copies_.find(program);
  if (position == copies_.end() || position->second.written == Epoch{}) {
    return nullptr;
  }
  return &position->second.record;
}

ReplicaTrust JournalReplica::trustOf(ProgramId program) const {
  const auto position = copies_.find(program);
  return position == copies_.end() ? ReplicaTrust::Unfilled : position->second.trust;
}

Epoch JournalReplica::promisedOf(ProgramId program) const {
  const auto position = copies_.find(program);
  return position == copies_.end() ? Epoch{} : position->second.promised;
}

Epoch JournalReplica::writtenOf(ProgramId program) const {
  const auto position = copies_.find(program);
  return position == copies_.end() ? Epoch{} : position->second.written;
}

}  // namespace gorsetrail::program
