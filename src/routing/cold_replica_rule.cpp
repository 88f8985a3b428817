#include "routing/cold_replica_rule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsetrail::routing {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Minimum token rate of a designated sender; a low limit is divided among fewer senders.
constexpr double kMinSenderTokensPerSecond = 1.0;
/// Membership views that may be in use at the same time with disjoint sets of senders.
constexpr double kMembershipViews = 2.0;
/// Share of a node that is not listed as accepting clients, relative to a listed one: it receives
/// few requests, and such nodes may outnumber the listed ones.
constexpr double kUnlistedNodeFraction = 0.25;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

/// \return the hash as a number in [0, 1).
double fractionOf(std::uint64_t hash) {
  constexpr double kFractionSteps = 9007199254740992.0;
  constexpr unsigned kDroppedBits = 11;
  return static_cast<double>(hash >> kDroppedBits) / kFractionSteps;
}

}  // namespace

// The log keeps the names `cold_feeder` (designated sender), `cold_unsure` (unknown state) and
// `cold_trusted` (responsive).
std::string_view coldGrantName(ColdGrant grant) {
  switch (grant) {
    case ColdGrant::Unlimited:
      return {};
    case ColdGrant::DesignatedSender:
      return "cold_feeder";
    case ColdGrant::StaticShare:
      return "cold_static_share";
    case ColdGrant::UnknownState:
      return "cold_unsure";
    case ColdGrant::Responsive:
      break;
  }
  return "cold_trusted";
}

ColdReplicaRule::ColdReplicaRule(ColdReplicaKnobs knobs, ColdReplicaSources sources,
                                 std::string ownName, std::uint64_t incarnation)
    : knobs_(knobs),
      sources_(std::move(sources)),
      ownName_(std::move(ownName)),
      incarnation_(incarnation),
      slotPhase_(static_cast<Duration::rep>(
          incarnation %
          static_cast<std::uint64_t>(std::max<Duration::rep>(1, knobs.slot.count())))) {}

void ColdReplicaRule::onRegistration(Replica& replica, bool isNew, Instant now) {
  const Service* const service = sources_.serviceOf(replica.entry.service);
  if (service != nullptr) {
    replica.coldRequestsPerSecond = service->coldRequestsPerSecond;
  }
  const std::optional<Duration>& coldFor = replica.entry.coldFor;
  if (coldFor) {
    // A replica that reports itself warm has no limit from now on.
    replica.coldUntil = *coldFor > Duration::zero() ? now + *coldFor : Instant{};
  } else if (isNew && service != nullptr && service->coldTime > Duration::zero()) {
    replica.coldUntil = now + service->coldTime + knobs_.margin;
  }
}

void ColdReplicaRule::onLifeEnded(const std::string& id) {
  buckets_.erase(id);
  cold_.erase(id);
}

void ColdReplicaRule::onEvacuationsListed(Instant now) {
  if (!isStateKnown(now)) {
    unknownUntilReadAt_ = now + knobs_.heartbeat + knobs_.margin;
  }
}

void ColdReplicaRule::onEvacuationsFresh(Instant askedAt) {
  evacuationsFreshAt_ = std::max(evacuationsFreshAt_, askedAt);
}

void ColdReplicaRule::onFresh(Instant askedAt) {
  freshAt_ = std::max(freshAt_, askedAt);
  dropOutdatedZoneReturns();
}

void ColdReplicaRule::dropOutdatedZoneReturns() {
  std::erase_if(zoneReturnedAt_, [this](const auto& zoneReturn) {
    return freshAt_ >= zoneReturn.second + knobs_.heartbeat + knobs_.margin;
  });
}

void ColdReplicaRule::onZoneReturned(const std::string& zone, Instant now) {
  zoneReturnedAt_[zone] = now;
}

double ColdReplicaRule::limitOf(const Replica& replica) const {
  return replica.coldRequestsPerSecond * knobs_.overshoot + knobs_.slack;
}

std::size_t ColdReplicaRule::senderCountOf(const Replica& replica) const {
  const double burstPerSender = kMembershipViews * (knobs_.senderBurst + kMinSenderTokensPerSecond);
  const double maxSenders = std::floor(knobs_.senderShare * limitOf(replica) / burstPerSender);
  return static_cast<std::size_t>(std::clamp(
      maxSenders, 1.0, static_cast<double>(std::max<std::size_t>(1, knobs_.designatedSenders))));
}

double ColdReplicaRule::senderTokensPerSecond(const Replica& replica) const {
  const double nodes = kMembershipViews * static_cast<double>(senderCountOf(replica));
  return std::max(0.0, knobs_.senderShare * limitOf(replica) / nodes - knobs_.senderBurst);
}

double ColdReplicaRule::maxSenderRequestsPerSecond(const Replica& replica) const {
  const double rate = senderTokensPerSecond(replica);
  return rate > 0 ? std::floor(knobs_.senderBurst + rate) : 0.0;
}

// Divides what the senders of `kMembershipViews` views leave of the limit. Each list has at most
// this many owners; a second list adds at most `maxMemberListDifference` of them.
std::size_t ColdReplicaRule::unknownStateSenderCountOf(const Replica& replica) const {
  const double senderRequests = kMembershipViews * static_cast<double>(senderCountOf(replica)) *
                                maxSenderRequestsPerSecond(replica);
  const double left =
      std::floor((limitOf(replica) - senderRequests) / (1.0 + knobs_.maxMemberListDifference));
  return left <= 0 ? 0 : static_cast<std::size_t>(left);
}

bool ColdReplicaRule::isSenderOf(const Replica& replica) const {
  const std::vector<std::string>& nodes = sources_.nodes();
  if (std::find(nodes.begin(), nodes.end(), ownName_) == nodes.end()) {
    return false;
  }
  const std::uint64_t seed = hashOf(replica.entry.id, 0);
  const std::uint64_t own = hashOf(ownName_, seed);
  const auto higherRanked = std::count_if(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return hashOf(node, seed) > own;
  });
  return static_cast<std::size_t>(higherRanked) < senderCountOf(replica);
}

double ColdReplicaRule::tokensOf(const Bucket& bucket, const Replica& replica, Instant now) const {
  const double passed =
      static_cast<double>((now - bucket.filledAt).count()) / kMicrosecondsPerSecond;
  return std::min(knobs_.senderBurst, bucket.tokens + passed * senderTokensPerSecond(replica));
}

std::int64_t ColdReplicaRule::slotOf(Instant now) const {
  return (now.time_since_epoch() + slotPhase_) / knobs_.slot;
}

std::uint32_t ColdReplicaRule::slotAllowance(const Replica& replica, double share,
                                             std::int64_t slot) const {
  const std::vector<std::string>& nodes = sources_.nodes();
  if (nodes.empty()) {
    return 0;
  }
  const bool isListed = std::find(nodes.begin(), nodes.end(), ownName_) != nodes.end();
  const double own = (isListed ? 1.0 : kUnlistedNodeFraction) * share * limitOf(replica) /
                     static_cast<double>(nodes.size());
  const std::uint64_t seed = incarnation_ ^ static_cast<std::uint64_t>(slot);
  const double sample = fractionOf(hashOf(replica.entry.id, seed));
  return static_cast<std::uint32_t>(own) + (sample < own - std::floor(own) ? 1 : 0);
}

std::uint32_t ColdReplicaRule::sentInSlot(const Replica& replica, std::int64_t slot) const {
  const auto used = slots_.find(replica.entry.id);
  return used == slots_.end() || used->second.slot != slot ? 0 : used->second.sent;
}

bool ColdReplicaRule::hasSlotAllowance(const Replica& replica, double share, Instant now) const {
  const std::int64_t slot = slotOf(now);
  const std::uint32_t allowance = slotAllowance(replica, share, slot);
  return allowance > 0 && sentInSlot(replica, slot) < allowance;
}

bool ColdReplicaRule::isCold(const Replica& replica, Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return false;
  }
  return now < replica.coldUntil || zoneReturnedAt_.contains(replica.entry.zone);
}

bool ColdReplicaRule::isStateKnown(Instant now) const {
  return freshAt_ >= unknownUntilReadAt_ &&
         now - std::min(freshAt_, evacuationsFreshAt_) < knobs_.staleAfter;
}

ColdReplicaRule::UnknownStateSlot ColdReplicaRule::unknownStateSlotOf(const Replica& replica,
                                                                      Instant now) const {
  // The phase is the same in each process of this node and differs between nodes.
  const std::uint64_t hash = hashOf(ownName_, hashOf(replica.entry.id, 0));
  const auto length =
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, knobs_.unknownStateSlot.count()));
  const Duration at = now.time_since_epoch() + Duration(static_cast<Duration::rep>(hash % length));
  const auto slotLength = static_cast<Duration::rep>(length);
  return {at.count() / slotLength, at.count() % slotLength < knobs_.unknownStateWindow.count()};
}

bool ColdReplicaRule::maySendInUnknownState(const Replica& replica, Instant now) const {
  const UnknownStateSlot slot = unknownStateSlotOf(replica, now);
  if (!slot.isOpen || !firstUpdateAt_) {
    return false;
  }
  // An earlier process of this node may have sent in the slot in which this one started.
  const auto sent = unknownStateSentAt_.find(replica.entry.id);
  const Instant usedAt = sent == unknownStateSentAt_.end() ? *firstUpdateAt_ : sent->second;
  return unknownStateSlotOf(replica, usedAt).number != slot.number &&
         members_.isOwnerOf(replica.entry.id, unknownStateSenderCountOf(replica));
}

bool ColdReplicaRule::isResponsive(const Replica& replica, Instant now) const {
  return replica.isResponsive && replica.failures == 0 &&
         now - replica.lastDataAt < knobs_.responsiveWithin;
}

std::optional<ColdGrant> ColdReplicaRule::grantOf(const Replica& replica, Instant now) const {
  const auto grantIf = [](bool isAllowed, ColdGrant grant) {
    return isAllowed ? std::optional(grant) : std::nullopt;
  };
  if (!isStateKnown(now)) {
    if (isResponsive(replica, now) && sentInSlot(replica, slotOf(now)) < knobs_.trustedPerSlot) {
      return ColdGrant::Responsive;
    }
    return grantIf(maySendInUnknownState(replica, now), ColdGrant::UnknownState);
  }
  if (!isCold(replica, now)) {
    return ColdGrant::Unlimited;
  }
  if (knobs_.sharing == ColdSharing::StaticShares) {
    return grantIf(hasSlotAllowance(replica, knobs_.staticShare, now), ColdGrant::StaticShare);
  }
  const auto bucket = buckets_.find(replica.entry.id);
  const bool hasToken = bucket != buckets_.end() && tokensOf(bucket->second, replica, now) >= 1.0;
  return grantIf(hasToken, ColdGrant::DesignatedSender);
}

std::string_view ColdReplicaRule::grantNameOf(const Replica& replica, Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return {};
  }
  const std::optional<ColdGrant> grant = grantOf(replica, now);
  return grant ? coldGrantName(*grant) : std::string_view();
}

std::optional<ExclusionReason> ColdReplicaRule::exclusionOf(const Replica& replica,
                                                            const PlacementSubject& /*subject*/,
                                                            Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return std::nullopt;
  }
  // Fast path: the state is known, and the replica is warm.
  if (isStateKnown(now) && now >= replica.coldUntil && zoneReturnedAt_.empty()) {
    return std::nullopt;
  }
  if (grantOf(replica, now)) {
    return std::nullopt;
  }
  return ExclusionReason::ColdRateExhausted;
}

void ColdReplicaRule::onExcluded(const Replica& /*replica*/) { ++exclusionCount_; }

void ColdReplicaRule::onSent(const Replica& replica, Instant now) {
  const bool isUnlimited = isStateKnown(now) && now >= replica.coldUntil && zoneReturnedAt_.empty();
  if (replica.coldRequestsPerSecond <= 0 || isUnlimited) {
    return;
  }
  if (!isStateKnown(now)) {
    unknownStateSentAt_[replica.entry.id] = now;
  }
  const std::int64_t slot = slotOf(now);
  SlotUse& used = slots_[replica.entry.id];
  used = {slot, used.slot == slot ? used.sent + 1 : 1};
  const auto found = buckets_.find(replica.entry.id);
  if (found != buckets_.end()) {
    Bucket& bucket = found->second;
    bucket = {std::max(0.0, tokensOf(bucket, replica, now) - 1.0), now};
  }
}

Duration ColdReplicaRule::retryAfter(ExclusionReason /*reason*/) const { return knobs_.retryAfter; }

void ColdReplicaRule::updateReplica(Replica& replica, Instant now,
                                    std::vector<ColdReplicaChange>& changes) {
  const std::string& id = replica.entry.id;
  const Service* const service = sources_.serviceOf(replica.entry.service);
  replica.coldRequestsPerSecond = service == nullptr ? 0 : service->coldRequestsPerSecond;
  const bool cold = isCold(replica, now);
  const bool answers = replica.failures == 0 && now - replica.lastDataAt < knobs_.responsiveWithin;
  replica.isResponsive = answers && !cold && (replica.isResponsive || isStateKnown(now));
  const bool isSender =
      cold && knobs_.sharing == ColdSharing::DesignatedSenders && isSenderOf(replica);
  if (isSender) {
    buckets_.try_emplace(id, Bucket{knobs_.initialTokens, now});
  } else {
    buckets_.erase(id);
  }
  const auto known = cold_.find(id);
  const bool wasCold = known != cold_.end();
  const bool wasSender = wasCold && known->second;
  if (cold != wasCold || isSender != wasSender) {
    const Duration remaining =
        cold ? std::max(Duration::zero(), replica.coldUntil - now) : Duration::zero();
    changes.push_back({id, replica.entry.zone, cold, remaining, isSender});
  }
  if (cold) {
    cold_[id] = isSender;
  } else {
    cold_.erase(id);
  }
}

void ColdReplicaRule::dropExpiredSlots(Instant now) {
  const std::int64_t slot = slotOf(now);
  std::erase_if(slots_, [slot](const auto& entry) { return entry.second.slot < slot; });
  std::erase_if(unknownStateSentAt_, [this, now](const auto& entry) {
    return now - entry.second >= knobs_.unknownStateSlot;
  });
}

std::vector<ColdReplicaChange> ColdReplicaRule::updateColdStates(
    const std::vector<ReplicaPtr>& replicas, Instant now) {
  std::vector<ColdReplicaChange> changes;
  if (!firstUpdateAt_) {
    firstUpdateAt_ = now;
  }
  if (!isStateKnown(now)) {
    members_.update(sources_.members(), ownName_);
  }
  limitedReplicas_ = 0;
  for (const ReplicaPtr& replica : replicas) {
    updateReplica(*replica, now, changes);
    limitedReplicas_ += replica->coldRequestsPerSecond > 0 ? 1 : 0;
  }
  dropExpiredSlots(now);
  if (buckets_.size() + cold_.size() > 0) {
    const auto isGone = [&replicas](const auto& entry) {
      return std::none_of(replicas.begin(), replicas.end(), [&entry](const ReplicaPtr& replica) {
        return replica->entry.id == entry.first;
      });
    };
    std::erase_if(buckets_, isGone);
    std::erase_if(cold_, isGone);
  }
  return changes;
}

}  // namespace gorsetrail::routing
