// Sealing: what a candidate makes of grants and refusals.
#include <algorithm>
#include <utility>

#include "program/epochs.h"
#include "program/program_owner.h"

namespace gorsetrail::program {
namespace {

/// Resend intervals for which a candidate waits for the last replica's view of who owns.
constexpr int kRefusalPatience = 2;

}  // namespace

void ProgramOwner::onSealReply(NodeId from, const SealReply& reply, Instant now) {
  Progress* replica = replicaOf(from);
  if (replica == nullptr || reply.epoch != epoch_) {
    return;  // An answer to an earlier epoch of this node says nothing of this one.
  }
  if (const auto* refused = std::get_if<SealRefused>(&reply.verdict)) {
    onRefused(*refused, *replica, now);
    return;
  }
  const auto* granted = std::get_if<SealGranted>(&reply.verdict);
  if (granted == nullptr || replica->granted) {
    return;
  }
  replica->granted = true;
  replica->forgetful = !granted->record && granted->lastWritten == Epoch(kForgetfulBit);
  replica->pause = knobs_.resendInterval;
  if (phase_ != OwnerPhase::Sealing && phase_ != OwnerPhase::Renewing) {
    replica->lastSent.reset();  // Late, but it can be installed now.
    sendTo(*replica, now);
    return;
  }
  const auto rank = std::pair(granted->lastWritten,
                              granted->record ? granted->record->entries.size() : std::size_t{0});
  const auto bestRank = std::pair(bestWritten_, best_ ? best_->entries.size() : std::size_t{0});
  if (granted->record && (!best_ || bestRank < rank)) {
    bestWritten_ = granted->lastWritten;
    best_ = granted->record;
  }
  const auto grants = std::count_if(replicas_.begin(), replicas_.end(),
                                    [](const Progress& each) { return each.granted; });
  if (static_cast<std::size_t>(grants) >= quorum()) {
    sealed();
  }
}

bool ProgramOwner::wasWrittenByOthers(Epoch written) const {
  return written > ownedSince_ && !isEpochOf(written, identity_.self);
}

void ProgramOwner::sealed() {
  if (phase_ == OwnerPhase::Renewing) {
    if (wasWrittenByOthers(bestWritten_)) {
      phase_ = OwnerPhase::Lost;
      return;
    }
    // Nobody wrote since this node became the owner, and the quorum that showed it has fenced
    // all lower epochs: the own record holds everything chosen, and the entries under way too.
  } else {
    foundEmpty_ = !best_ || best_->entries.empty();
    record_ = best_ ? *best_ : ProgramRecord{identity_.key, identity_.limits, {}, false};
    const bool isForgetful =
        std::any_of(replicas_.begin(), replicas_.end(),
                    [](const Progress& replica) { return replica.granted && replica.forgetful; });
    mayBeForgotten_ = foundEmpty_ && isForgetful;
    ownedSince_ = epoch_;
  }
  best_.reset();
  phase_ = OwnerPhase::Serving;
  isUrgent_ = true;
  for (Progress& replica : replicas_) {
    replica.lastSent.reset();
    replica.pause = knobs_.resendInterval;
  }
  // The install goes out with the next flush, so that a first intent travels in the same message.
}

void ProgramOwner::onRefused(const SealRefused& refused, Progress& replica, Instant now) {
  if (phase_ == OwnerPhase::Elsewhere || phase_ == OwnerPhase::Lost) {
    return;
  }
  if (phase_ != OwnerPhase::Sealing && refused.promised == epoch_) {
    return;  // It promised this very epoch, but has no record yet: the base that follows fills it.
  }
  replica.refused = refused;
  if (phase_ == OwnerPhase::Sealing) {
    decideRefusals(now);
    return;
  }
  if (namedIn(refused) == NamedOwner::OtherLive || namedIn(refused) == NamedOwner::OtherDead) {
    if (!isBarrier(refused.promised)) {
      phase_ = OwnerPhase::Lost;
      return;
    }
  }
  phase_ = OwnerPhase::Renewing;
  sealAboveRefusals(now);
}

ProgramOwner::NamedOwner ProgramOwner::namedIn(const SealRefused& refused) const {
  if (refused.owner == NodeId{}) {
    return NamedOwner::None;
  }
  if (refused.owner == identity_.self && refused.ownerIncarnation == identity_.incarnation) {
    return NamedOwner::ThisLife;
  }
  return liveness_.isAlive(refused.owner, refused.ownerIncarnation) ? NamedOwner::OtherLive
                                                                    : NamedOwner::OtherDead;
}

ProgramOwner::Tally ProgramOwner::tally() const {
  Tally tally;
  for (const Progress& replica : replicas_) {
    const NamedOwner named =
        replica.refused && !replica.granted ? namedIn(*replica.refused) : NamedOwner::None;
    const bool isLive = named == NamedOwner::OtherLive;
    tally.replies += replica.granted || replica.refused ? 1 : 0;
    tally.forThisLife += replica.granted || named == NamedOwner::ThisLife ? 1 : 0;
    tally.refusals += replica.refused && !replica.granted ? 1 : 0;
    tally.live += isLive ? 1 : 0;
    if (isLive && (tally.lowestLive == NodeId{} || replica.refused->owner < tally.lowestLive)) {
      tally.lowestLive = replica.refused->owner;
    }
  }
  return tally;
}

bool ProgramOwner::isNamedByQuorum(NodeId owner) const {
  const auto naming =
      std::count_if(replicas_.begin(), replicas_.end(), [&](const Progress& replica) {
        return replica.refused && !replica.granted && replica.refused->owner == owner &&
               namedIn(*replica.refused) == NamedOwner::OtherLive;
      });
  return static_cast<std::size_t>(naming) >= quorum();
}

void ProgramOwner::decideRefusals(Instant now) {
  for (const Progress& replica : replicas_) {
    if (replica.refused && isNamedByQuorum(replica.refused->owner)) {
      liveOwner_ = replica.refused->owner;
      phase_ = OwnerPhase::Elsewhere;
      return;
    }
  }
  const Tally tally = this->tally();
  const bool isComplete =
      tally.replies == replicas_.size() ||
      (tally.replies >= quorum() && now - sealedAt_ >= kRefusalPatience * knobs_.resendInterval);
  // Without a quorum behind any of them, candidates met at the same time: exactly one must go on,
  // else all give way to each other for ever. It is the one that a quorum promised, or the lowest.
  const bool givesWay =
      tally.live > 0 && tally.forThisLife < quorum() && tally.lowestLive < identity_.self;
  if (isComplete && givesWay) {
    liveOwner_ = tally.lowestLive;
    phase_ = OwnerPhase::Elsewhere;
  } else if (tally.refusals - tally.live >= quorum() || (isComplete && tally.refusals > 0)) {
    // The owner is dead or gave the program up, or candidates refused each other: seal above them
    // all. A wrong suspicion costs the old owner its program, never a promise: its next write is
    // refused.
    sealAboveRefusals(now);
  }
}

void ProgramOwner::sealAboveRefusals(Instant now) {
  Epoch highest = epoch_;
  for (const Progress& replica : replicas_) {
    if (replica.refused) {
      highest = std::max(highest, replica.refused->promised);
    }
  }
  seal(epochAbove(highest, identity_.self), now);
}

}  // namespace gorsetrail::program
