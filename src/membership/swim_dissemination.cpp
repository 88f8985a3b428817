// Gossip piggybacked on membership messages: member updates, back-end notices, bundle version.
#include <algorithm>

#include "membership/swim_membership.h"

namespace gorsetrail::membership {
namespace {

/// Table entries added to each message in rotation, so that restarted or long partitioned nodes
/// receive the full state.
constexpr std::size_t kRefreshUpdates = 3;
constexpr std::size_t kRefreshNotices = 1;
/// Extra probes that each node sends after learning of an urgent update.
constexpr std::uint32_t kUrgentFanOut = 3;
/// Maximum number of queued extra probes.
constexpr std::uint32_t kMaximumUrgentProbes = 6;
/// Minimum interval between reports of a newer bundle, since each triggers a fetch.
constexpr Duration kBundleReportInterval = milliseconds(100);
/// A reported bundle version that is still missing is reported again after this.
constexpr Duration kBundleReportRetryInterval = seconds(5);

}  // namespace

/// \return whether the message came from the latest known incarnation of the sender.
bool SwimMembership::readPiggyback(MemberIndex sender, const Piggyback& piggyback, Instant now) {
  const MemberUpdate current = table_.updateAt(sender);
  if (piggyback.senderIncarnation > current.incarnation) {
    applyUpdate(sender, {current.node, piggyback.senderIncarnation, MemberState::Alive, 0}, now);
  }
  const std::size_t updates = std::min(piggyback.updates.size(), kMaximumUpdates);
  for (std::size_t position = 0; position < updates; ++position) {
    const MemberUpdate& update = piggyback.updates[position];
    const std::optional<MemberIndex> index = table_.find(update.node);
    if (index) {
      applyUpdate(*index, update, now);
    }
  }
  const std::size_t notices = std::min(piggyback.notices.size(), kMaximumNotices);
  for (std::size_t position = 0; position < notices; ++position) {
    const std::optional<std::uint32_t> changed = notices_.merge(piggyback.notices[position]);
    if (changed) {
      onNoticeChanged(*changed);
    }
  }
  reportNewerBundle(sender, piggyback.bundleInForce, now);
  return piggyback.senderIncarnation == table_.updateAt(sender).incarnation;
}

void SwimMembership::reportNewerBundle(MemberIndex sender, BundleVersion version, Instant now) {
  if (version <= bundleInForce_ || now < nextBundleReportAt_) {
    return;
  }
  const bool reported = version <= table_.reportedBundle(sender);
  if (reported && now < nextBundleReportAt_ + kBundleReportRetryInterval) {
    return;
  }
  table_.setReportedBundle(sender, version);
  nextBundleReportAt_ = now + kBundleReportInterval;
  commands_.emplace_back(NewerBundleSeen{table_.nodeAt(sender), version});
}

Piggyback SwimMembership::makePiggyback(NodeId to, bool receiverIsOutdated) {
  Piggyback piggyback;
  piggyback.senderIncarnation = incarnation_;
  piggyback.bundleInForce = bundleInForce_;
  const std::optional<MemberIndex> receiver = table_.find(to);
  // The receiver's own state goes first, because only the receiver can refute it.
  if (receiver && (receiverIsOutdated || table_.stateAt(*receiver) != MemberState::Alive)) {
    piggyback.updates.push_back(table_.updateAt(*receiver));
  }
  for (const std::uint32_t index :
       memberQueue_.takeNext(kMaximumUpdates - piggyback.updates.size())) {
    piggyback.updates.push_back(table_.updateAt(index));
  }
  for (const std::uint32_t index : noticeQueue_.takeNext(kMaximumNotices)) {
    piggyback.notices.push_back(notices_.at(index));
  }
  addRefreshEntries(piggyback);
  return piggyback;
}

void SwimMembership::addRefreshEntries(Piggyback& piggyback) {
  const std::size_t updates = std::min(kMaximumUpdates, piggyback.updates.size() + kRefreshUpdates);
  for (std::size_t step = 0; step < table_.size() && piggyback.updates.size() < updates; ++step) {
    const MemberIndex index = nextRefreshMember_;
    nextRefreshMember_ = (nextRefreshMember_ + 1) % static_cast<MemberIndex>(table_.size());
    if (table_.updateAt(index).incarnation != Incarnation(0)) {
      piggyback.updates.push_back(table_.updateAt(index));
    }
  }
  const std::size_t notices = std::min(kMaximumNotices, piggyback.notices.size() + kRefreshNotices);
  const std::size_t available = std::min(notices, piggyback.notices.size() + notices_.size());
  while (piggyback.notices.size() < available) {
    piggyback.notices.push_back(notices_.at(nextRefreshNotice_));
    nextRefreshNotice_ = (nextRefreshNotice_ + 1) % static_cast<std::uint32_t>(notices_.size());
  }
}

void SwimMembership::applyUpdate(MemberIndex index, const MemberUpdate& update, Instant now) {
  if (index == selfIndex_ && update.incarnation == incarnation_ &&
      update.state != MemberState::Terminated) {
    applyUpdateAboutSelf(update);
    return;
  }
  if (index == selfIndex_ && update.incarnation > incarnation_) {
    adoptIncarnationAbove(update.incarnation);
    return;
  }
  const bool firstContact = table_.updateAt(index).incarnation == Incarnation(0);
  const MergeResult result = table_.merge(index, update);
  if (result == MergeResult::Ignored) {
    return;
  }
  const bool isIntroduction = firstContact && update.state == MemberState::Alive;
  memberQueue_.add(index, isIntroduction ? UpdatePriority::FirstContact : UpdatePriority::Change);
  if (update.state == MemberState::Suspected) {
    suspicions_.push_back({index, now + knobs_.suspicionTimeout, std::nullopt});
  }
  if (result == MergeResult::Changed) {
    // First contacts are frequent while a fleet starts and need no urgent probes.
    const std::uint32_t extra = isIntroduction ? 0 : kUrgentFanOut;
    pendingUrgentProbes_ = std::min(kMaximumUrgentProbes, pendingUrgentProbes_ + extra);
    commands_.emplace_back(MemberChanged{update});
  }
}

void SwimMembership::applyUpdateAboutSelf(const MemberUpdate& update) {
  if (update.state == MemberState::Leaving && ownState_ != MemberState::Leaving) {
    ownState_ = MemberState::Leaving;
    refute(update.refutation);
    return;
  }
  const bool isOwnState = update.state == ownState_;
  if (!isOwnState && update.refutation >= ownRefutation_) {
    refute(update.refutation);
  }
}

/// Other nodes know a later incarnation of this node, because incarnations come from the system
/// clock and it was set back before a restart. They would ignore this incarnation permanently.
void SwimMembership::adoptIncarnationAbove(Incarnation knownIncarnation) {
  incarnation_ = knownIncarnation.next();
  ownRefutation_ = 0;
  refute(0);
}

/// Raises this node's refutation counter above `atLeast` and disseminates its state again.
void SwimMembership::refute(std::uint32_t atLeast) {
  ownRefutation_ = std::max(ownRefutation_, atLeast) + 1;
  const MemberUpdate own{self_, incarnation_, ownState_, ownRefutation_};
  const MergeResult result = table_.merge(*selfIndex_, own);
  memberQueue_.add(*selfIndex_, UpdatePriority::Change);
  pendingUrgentProbes_ = std::min(kMaximumUrgentProbes, pendingUrgentProbes_ + kUrgentFanOut);
  if (result == MergeResult::Changed) {
    commands_.emplace_back(MemberChanged{own});
  }
}

void SwimMembership::onNoticeChanged(std::uint32_t noticeIndex) {
  noticeQueue_.add(noticeIndex, UpdatePriority::Change);
  pendingUrgentProbes_ = std::min(kMaximumUrgentProbes, pendingUrgentProbes_ + kUrgentFanOut);
  commands_.emplace_back(BackendChanged{notices_.at(noticeIndex)});
}

void SwimMembership::announceBackend(std::uint32_t backendHash, bool leaving, Instant /*now*/) {
  const std::optional<std::uint32_t> changed = notices_.announce(backendHash, leaving);
  if (changed) {
    onNoticeChanged(*changed);
  }
}

void SwimMembership::beginLeave(Instant /*now*/) {
  if (ownState_ == MemberState::Leaving || !selfIndex_) {
    return;
  }
  ownState_ = MemberState::Leaving;
  refute(ownRefutation_);
}

}  // namespace gorsetrail::membership
