// Probing and suspicion; `swim_dissemination.cpp` implements the piggybacked gossip.
#include "membership/swim_membership.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gorsetrail::membership {
namespace {

/// One dead member is probed once in this many periods, so that the sides of a network partition
/// find each other again at a rate independent of the fleet size.
constexpr std::uint32_t kPeriodsPerDeadProbe = 4;
/// Interval between the extra probes that carry urgent updates.
constexpr Duration kUrgentProbeInterval = milliseconds(50);
/// Interval at which a suspected member is probed again, so that a lost message does not prevent
/// its refutation.
constexpr Duration kSuspectProbeInterval = milliseconds(200);
/// Maximum number of concurrent probes on behalf of other nodes; further requests are dropped,
/// since the origin asks several nodes.
constexpr std::size_t kMaximumRelayedProbes = 16;

bool isProbed(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Leaving ||
         state == MemberState::Suspected;
}

bool isPresumedRunning(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Leaving;
}

bool isDead(MemberState state) { return state == MemberState::Dead; }

}  // namespace

SwimMembership::SwimMembership(NodeId self, Incarnation incarnation, std::vector<Member> members,
                               MembershipKnobs knobs, std::uint64_t seed)
    : self_(self),
      incarnation_(incarnation),
      members_(std::move(members)),
      knobs_(knobs),
      random_(seed ^ (std::uint64_t{self.value()} << 20)),
      table_(members_),
      selfIndex_(table_.find(self)),
      memberQueue_(knobs.transmissionsPerUpdate),
      noticeQueue_(knobs.transmissionsPerUpdate) {
  if (selfIndex_) {
    table_.merge(*selfIndex_, {self_, incarnation_, ownState_, ownRefutation_});
    memberQueue_.add(*selfIndex_, UpdatePriority::Change);
  }
  probeOrder_.resize(members_.size());
  std::iota(probeOrder_.begin(), probeOrder_.end(), std::uint16_t{0});
  shuffleProbeOrder();
}

bool SwimMembership::addMember(Member member) {
  if (const std::optional<MemberIndex> known = table_.find(member.node)) {
    members_[*known] = std::move(member);
    return true;
  }
  if (!freeIndices_.empty()) {
    const MemberIndex index = freeIndices_.back();
    freeIndices_.pop_back();
    table_.replace(index, member.node);
    members_[index] = std::move(member);
    return true;
  }
  if (members_.size() >= kMaximumMembers) {
    return false;
  }
  const MemberIndex index = table_.add(member.node);
  members_.push_back(std::move(member));
  // Inserted at a random position so that nodes with the same member list probe in different
  // orders.
  probeOrder_.push_back(static_cast<std::uint16_t>(index));
  std::swap(probeOrder_.back(), probeOrder_[random_.below(probeOrder_.size())]);
  return true;
}

void SwimMembership::removeMember(NodeId node) {
  const std::optional<MemberIndex> index = table_.find(node);
  if (!index || index == selfIndex_) {
    return;
  }
  if (outstandingProbe_ && outstandingProbe_->target == *index) {
    outstandingProbe_.reset();
  }
  std::erase_if(suspicions_,
                [&](const Suspicion& suspicion) { return suspicion.member == *index; });
  memberQueue_.remove(*index);
  table_.remove(*index);
  freeIndices_.push_back(*index);
}

void SwimMembership::onMembershipMessage(NodeId from, const MembershipMessage& message,
                                         Instant now) {
  if (isIsolated(now)) {
    // Suspected members could not refute while this node received no messages.
    extendSuspicions(knobs_.suspicionTimeout);
  }
  lastReceivedAt_ = now;
  std::visit([&](const auto& content) { handle(from, content, now); }, message);
}

void SwimMembership::handle(NodeId from, const ProbeRequest& request, Instant now) {
  const std::optional<MemberIndex> sender = table_.find(from);
  if (!sender && !knobs_.answersUnknownNodes) {
    return;
  }
  const bool outdated = sender && !readPiggyback(*sender, request.piggyback, now);
  send(from, ProbeReply{request.probe, makePiggyback(from, outdated)});
}

void SwimMembership::handle(NodeId from, const ProbeReply& reply, Instant now) {
  const std::optional<MemberIndex> sender = table_.find(from);
  if (!sender || !readPiggyback(*sender, reply.piggyback, now)) {
    return;  // A reply from an earlier incarnation does not show that the present one is alive.
  }
  if (outstandingProbe_ && outstandingProbe_->probe == reply.probe) {
    outstandingProbe_.reset();
    return;
  }
  const auto relay = std::find_if(
      relayedProbes_.begin(), relayedProbes_.end(),
      [&](const RelayedProbe& candidate) { return candidate.ownProbe == reply.probe; });
  if (relay != relayedProbes_.end()) {
    send(relay->origin, ProbeReply{relay->originProbe, makePiggyback(relay->origin)});
    relayedProbes_.erase(relay);
  }
}

void SwimMembership::handle(NodeId from, const IndirectProbeRequest& request, Instant now) {
  const std::optional<MemberIndex> sender = table_.find(from);
  if (!sender) {
    return;
  }
  readPiggyback(*sender, request.piggyback, now);
  const std::optional<MemberIndex> target = table_.find(request.target);
  if (!target || relayedProbes_.size() >= kMaximumRelayedProbes) {
    return;
  }
  const std::uint32_t probe = nextProbeId_++;
  relayedProbes_.push_back({probe, request.probe, from, now + knobs_.probePeriod});
  sendProbe(*target, probe);
}

void SwimMembership::onMachineList(const std::vector<MachineListEntry>& entries, Instant now) {
  for (const MachineListEntry& entry : entries) {
    const std::optional<MemberIndex> index = table_.find(entry.node);
    if (!index || entry.incarnation < table_.updateAt(*index).incarnation) {
      continue;
    }
    const MemberUpdate current = table_.updateAt(*index);
    const bool isSameIncarnation = current.incarnation == entry.incarnation;
    // The list may be stale: for a known incarnation only `Leaving` and `Terminated` are accepted.
    if (isSameIncarnation && entry.state != MemberState::Terminated &&
        entry.state != MemberState::Leaving) {
      continue;
    }
    applyUpdate(
        *index,
        {entry.node, entry.incarnation, entry.state, isSameIncarnation ? current.refutation : 0},
        now);
  }
}

void SwimMembership::onTick(Instant now) {
  if (!started_) {
    started_ = true;
    lastTick_ = now;
    lastReceivedAt_ = now;
    // A random initial delay prevents nodes that start together from probing in step.
    nextPeriodAt_ = now + Duration(static_cast<Duration::rep>(random_.below(
                              static_cast<std::uint64_t>(knobs_.probePeriod.count()))));
  }
  extendDeadlinesAfterPause(now);
  lastTick_ = now;
  std::erase_if(relayedProbes_, [now](const RelayedProbe& relay) { return relay.deadline <= now; });
  if (!isIsolated(now)) {
    expireSuspicions(now);
  }
  probeSuspects(now);
  if (outstandingProbe_ && !outstandingProbe_->indirectSent &&
      now - outstandingProbe_->sentAt >= knobs_.probeTimeout) {
    sendIndirectProbes();
  }
  if (now >= nextPeriodAt_) {
    expireProbe(now);
    startProbe(now);
    nextPeriodAt_ = std::max(nextPeriodAt_ + knobs_.probePeriod, now + knobs_.probePeriod / 2);
  }
  sendUrgentProbes(now);
}

/// After a suspension of this process, missing replies do not count as failures of other nodes.
void SwimMembership::extendDeadlinesAfterPause(Instant now) {
  const Duration gap = now - lastTick_;
  if (gap < knobs_.probePeriod) {
    return;
  }
  outstandingProbe_.reset();
  extendSuspicions(gap);
}

void SwimMembership::extendSuspicions(Duration span) {
  for (Suspicion& suspicion : suspicions_) {
    suspicion.deadline += span;
  }
}

void SwimMembership::expireProbe(Instant now) {
  if (!outstandingProbe_) {
    return;
  }
  const OutstandingProbe probe = *outstandingProbe_;
  outstandingProbe_.reset();
  const MemberUpdate current = table_.updateAt(probe.target);
  if (!isIsolated(now) && current.incarnation == probe.incarnation &&
      isPresumedRunning(current.state)) {
    applyUpdate(probe.target,
                {current.node, current.incarnation, MemberState::Suspected, current.refutation},
                now);
    suspicions_.back().nextProbeAt = now;
  }
}

/// \return whether no message arrived for so long that this node's own links have probably failed.
bool SwimMembership::isIsolated(Instant now) const {
  return now - lastReceivedAt_ >= knobs_.isolationTimeout;
}

void SwimMembership::probeSuspects(Instant now) {
  for (Suspicion& suspicion : suspicions_) {
    const bool isDue = suspicion.nextProbeAt && *suspicion.nextProbeAt <= now;
    if (isDue && table_.stateAt(suspicion.member) == MemberState::Suspected) {
      suspicion.nextProbeAt = now + kSuspectProbeInterval;
      sendProbe(suspicion.member, nextProbeId_++);
    }
  }
}

void SwimMembership::expireSuspicions(Instant now) {
  for (std::size_t position = 0; position < suspicions_.size();) {
    const Suspicion suspicion = suspicions_[position];
    const MemberUpdate current = table_.updateAt(suspicion.member);
    if (current.state != MemberState::Suspected) {
      suspicions_.erase(suspicions_.begin() + static_cast<std::ptrdiff_t>(position));
      continue;
    }
    if (suspicion.deadline > now) {
      ++position;
      continue;
    }
    suspicions_.erase(suspicions_.begin() + static_cast<std::ptrdiff_t>(position));
    applyUpdate(suspicion.member,
                {current.node, current.incarnation, MemberState::Dead, current.refutation}, now);
  }
}

void SwimMembership::startProbe(Instant now) {
  ++periodCount_;
  if (periodCount_ % kPeriodsPerDeadProbe == 0 && table_.deadCount() > 0) {
    probeDeadMember();
  }
  const std::optional<MemberIndex> target = nextProbeTarget();
  if (!target) {
    return;
  }
  const std::uint32_t probe = nextProbeId_++;
  outstandingProbe_ =
      OutstandingProbe{probe, *target, table_.updateAt(*target).incarnation, now, false};
  sendProbe(*target, probe);
}

void SwimMembership::probeDeadMember() {
  const std::optional<MemberIndex> dead = randomMember(isDead);
  if (dead) {
    sendProbe(*dead, nextProbeId_++);
  }
}

void SwimMembership::sendIndirectProbes() {
  outstandingProbe_->indirectSent = true;
  const NodeId target = table_.nodeAt(outstandingProbe_->target);
  for (std::size_t count = 0; count < knobs_.indirectProbeCount; ++count) {
    const std::optional<MemberIndex> helper = randomMember(isPresumedRunning);
    if (helper && *helper != outstandingProbe_->target) {
      const NodeId to = table_.nodeAt(*helper);
      send(to, IndirectProbeRequest{outstandingProbe_->probe, target, makePiggyback(to)});
    }
  }
}

/// Sends extra probes for urgent updates without waiting for the next period. The probes are spaced
/// so that the rate stays bounded even if many updates arrive at once.
void SwimMembership::sendUrgentProbes(Instant now) {
  if (pendingUrgentProbes_ == 0 || now < nextUrgentProbeAt_) {
    return;
  }
  --pendingUrgentProbes_;
  nextUrgentProbeAt_ = now + kUrgentProbeInterval;
  const std::optional<MemberIndex> target = randomMember(isPresumedRunning);
  if (target) {
    sendProbe(*target, nextProbeId_++);
  }
}

void SwimMembership::sendProbe(MemberIndex target, std::uint32_t probe) {
  const NodeId to = table_.nodeAt(target);
  send(to, ProbeRequest{probe, makePiggyback(to)});
}

std::optional<MemberIndex> SwimMembership::nextProbeTarget() {
  for (std::size_t step = 0; step < probeOrder_.size(); ++step) {
    if (probeCursor_ >= probeOrder_.size()) {
      shuffleProbeOrder();
    }
    const MemberIndex candidate = probeOrder_[probeCursor_++];
    if (candidate != selfIndex_ && isProbed(table_.stateAt(candidate))) {
      return candidate;
    }
  }
  return std::nullopt;
}

void SwimMembership::shuffleProbeOrder() {
  probeCursor_ = 0;
  for (std::size_t left = probeOrder_.size(); left > 1; --left) {
    std::swap(probeOrder_[left - 1], probeOrder_[random_.below(left)]);
  }
}

std::optional<MemberIndex> SwimMembership::randomMember(bool (*predicate)(MemberState)) {
  if (members_.empty()) {
    return std::nullopt;
  }
  const auto start = static_cast<MemberIndex>(random_.below(members_.size()));
  for (std::size_t step = 0; step < members_.size(); ++step) {
    // Iterates in random order so that members after a range of dead ones are not preferred.
    const MemberIndex candidate = probeOrder_[(start + step) % members_.size()];
    if (candidate != selfIndex_ && predicate(table_.stateAt(candidate))) {
      return candidate;
    }
  }
  return std::nullopt;
}

void SwimMembership::setActiveBundleVersion(BundleVersion version) {
  bundleInForce_ = std::max(bundleInForce_, version);
}

MemberState SwimMembership::stateOf(NodeId node) const {
  const std::optional<MemberIndex> index = table_.find(node);
  return index ? table_.stateAt(*index) : MemberState::Dead;
}

Incarnation SwimMembership::incarnationOf(NodeId node) const {
  const std::optional<MemberIndex> index = table_.find(node);
  return index ? table_.updateAt(*index).incarnation : Incarnation(0);
}

std::vector<MembershipCommand> SwimMembership::takeCommands() {
  return std::exchange(commands_, {});
}

void SwimMembership::send(NodeId to, MembershipMessage message) {
  commands_.emplace_back(SendMembershipMessage{to, std::move(message)});
}

MembershipServicePtr makeMembershipService(NodeId self, Incarnation incarnation,
                                           std::vector<Member> members, MembershipKnobs knobs,
                                           std::uint64_t seed) {
  return std::make_unique<SwimMembership>(self, incarnation, std::move(members), knobs, seed);
}

}  // namespace gorsetrail::membership
