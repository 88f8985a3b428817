#include "routing/cold_replica_rule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsetrail::routing {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// A feeder makes at least so many tokens a second: fewer feeders share a low limit.
constexpr double kSlowestFeederRate = 1.0;
/// Views of the members that may differ in all feeders at one moment.
constexpr double kViews = 2.0;
/// Of a node's share in a slot, for one that is not listed among those that take clients: it gets
/// few requests, and there may be more of them than of the others.
constexpr double kOutsiderPart = 0.25;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

/// \return the hash as a number in [0, 1).
double fractionOf(std::uint64_t hash) {
  constexpr double kTwoToThe53 = 9007199254740992.0;
  constexpr unsigned kDroppedBits = 11;
  return static_cast<double>(hash >> kDroppedBits) / kTwoToThe53;
}

}  // namespace

std::string_view coldGrantName(ColdGrant grant) {
  switch (grant) {
    case ColdGrant::Unlimited:
      return {};
    case ColdGrant::Feeder:
      return "cold_feeder";
    case ColdGrant::StaticShare:
      return "cold_static_share";
    case ColdGrant::Unsure:
      return "cold_unsure";
    case ColdGrant::Trusted:
      break;
  }
  return "cold_trusted";
}

ColdReplicaRule::ColdReplicaRule(ColdReplicaKnobs knobs, ColdReplicaSources sources,
                                 std::string ownName, std::uint64_t life)
    : knobs_(knobs),
      sources_(std::move(sources)),
      ownName_(std::move(ownName)),
      life_(life),
      slotPhase_(static_cast<Duration::rep>(
          life % static_cast<std::uint64_t>(std::max<Duration::rep>(1, knobs.slot.count())))) {}

void ColdReplicaRule::onRegistration(Replica& replica, bool isNew, Instant now) {
  const Service* const service = sources_.serviceOf(replica.entry.service);
  if (service != nullptr) {
    replica.coldRequestsPerSecond = service->coldRequestsPerSecond;
  }
  const std::optional<Duration>& coldFor = replica.entry.coldFor;
  if (coldFor) {
    // Warm again: used at once.
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
  if (!isSure(now)) {
    unsureUntilReadAt_ = now + knobs_.heartbeat + knobs_.margin;
  }
}

void ColdReplicaRule::onEvacuationsFresh(Instant askedAt) {
  evacuationsFreshAt_ = std::max(evacuationsFreshAt_, askedAt);
}

void ColdReplicaRule::onFresh(Instant askedAt) {
  freshAt_ = std::max(freshAt_, askedAt);
  endCautions();
}

void ColdReplicaRule::endCautions() {
  std::erase_if(cautions_, [this](const auto& caution) {
    return freshAt_ >= caution.second + knobs_.heartbeat + knobs_.margin;
  });
}

void ColdReplicaRule::onZoneReturned(const std::string& zone, Instant now) {
  cautions_[zone] = now;
}

double ColdReplicaRule::limitOf(const Replica& replica) const {
  return replica.coldRequestsPerSecond * knobs_.overshoot + knobs_.slack;
}

std::size_t ColdReplicaRule::feederCountOf(const Replica& replica) const {
  const double perFeeder = kViews * (knobs_.feederBurst + kSlowestFeederRate);
  const double fits = std::floor(knobs_.feederShare * limitOf(replica) / perFeeder);
  return static_cast<std::size_t>(
      std::clamp(fits, 1.0, static_cast<double>(std::max<std::size_t>(1, knobs_.feeders))));
}

double ColdReplicaRule::feederRateOf(const Replica& replica) const {
  const double nodes = kViews * static_cast<double>(feederCountOf(replica));
  return std::max(0.0, knobs_.feederShare * limitOf(replica) / nodes - knobs_.feederBurst);
}

double ColdReplicaRule::mostOfFeeder(const Replica& replica) const {
  const double rate = feederRateOf(replica);
  return rate > 0 ? std::floor(knobs_.feederBurst + rate) : 0.0;
}

// What two views' feeders leave of the limit, for two lists of the members.
std::size_t ColdReplicaRule::unsureSendersOf(const Replica& replica) const {
  const double ofFeeders =
      kViews * static_cast<double>(feederCountOf(replica)) * mostOfFeeder(replica);
  const double left = std::floor((limitOf(replica) - ofFeeders) / (1.0 + knobs_.listsDifference));
  return left <= 0 ? 0 : static_cast<std::size_t>(left);
}

bool ColdReplicaRule::isFeederOf(const Replica& replica) const {
  const std::vector<std::string>& nodes = sources_.nodes();
  if (std::find(nodes.begin(), nodes.end(), ownName_) == nodes.end()) {
    return false;
  }
  const std::uint64_t seed = hashOf(replica.entry.id, 0);
  const std::uint64_t own = hashOf(ownName_, seed);
  const auto better = std::count_if(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return hashOf(node, seed) > own;
  });
  return static_cast<std::size_t>(better) < feederCountOf(replica);
}

double ColdReplicaRule::tokensOf(const Bucket& bucket, const Replica& replica, Instant now) const {
  const double passed =
      static_cast<double>((now - bucket.filledAt).count()) / kMicrosecondsPerSecond;
  return std::min(knobs_.feederBurst, bucket.tokens + passed * feederRateOf(replica));
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
  const double own = (isListed ? 1.0 : kOutsiderPart) * share * limitOf(replica) /
                     static_cast<double>(nodes.size());
  const std::uint64_t seed = life_ ^ static_cast<std::uint64_t>(slot);
  const double chance = fractionOf(hashOf(replica.entry.id, seed));
  return static_cast<std::uint32_t>(own) + (chance < own - std::floor(own) ? 1 : 0);
}

std::uint32_t ColdReplicaRule::sentInSlot(const Replica& replica, std::int64_t slot) const {
  const auto used = slots_.find(replica.entry.id);
  return used == slots_.end() || used->second.slot != slot ? 0 : used->second.sent;
}

bool ColdReplicaRule::hasSlotLeft(const Replica& replica, double share, Instant now) const {
  const std::int64_t slot = slotOf(now);
  const std::uint32_t allowance = slotAllowance(replica, share, slot);
  return allowance > 0 && sentInSlot(replica, slot) < allowance;
}

bool ColdReplicaRule::isCold(const Replica& replica, Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return false;
  }
  return now < replica.coldUntil || cautions_.contains(replica.entry.zone);
}

bool ColdReplicaRule::isSure(Instant now) const {
  return freshAt_ >= unsureUntilReadAt_ &&
         now - std::min(freshAt_, evacuationsFreshAt_) < knobs_.staleAfter;
}

ColdReplicaRule::UnsureSlot ColdReplicaRule::unsureSlotOf(const Replica& replica,
                                                          Instant now) const {
  // The same in each process of this node, and spread over the owners.
  const std::uint64_t hash = hashOf(ownName_, hashOf(replica.entry.id, 0));
  const auto length =
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, knobs_.unsureSlot.count()));
  const Duration at = now.time_since_epoch() + Duration(static_cast<Duration::rep>(hash % length));
  const auto slotLength = static_cast<Duration::rep>(length);
  return {at.count() / slotLength, at.count() % slotLength < knobs_.unsureWindow.count()};
}

bool ColdReplicaRule::mayGetUnsure(const Replica& replica, Instant now) const {
  const UnsureSlot slot = unsureSlotOf(replica, now);
  if (!slot.isOpen || !begunAt_) {
    return false;
  }
  // An earlier process of this node may have sent in the slot in which this one began.
  const auto sent = unsureSentAt_.find(replica.entry.id);
  const Instant usedAt = sent == unsureSentAt_.end() ? *begunAt_ : sent->second;
  return unsureSlotOf(replica, usedAt).number != slot.number &&
         members_.isOwnerOf(replica.entry.id, unsureSendersOf(replica));
}

bool ColdReplicaRule::isTrusted(const Replica& replica, Instant now) const {
  return replica.isTrusted && replica.failures == 0 && now - replica.heardAt < knobs_.trustTime;
}

std::optional<ColdGrant> ColdReplicaRule::grantOf(const Replica& replica, Instant now) const {
  const auto grantIf = [](bool isAllowed, ColdGrant grant) {
    return isAllowed ? std::optional(grant) : std::nullopt;
  };
  if (!isSure(now)) {
    if (isTrusted(replica, now) && sentInSlot(replica, slotOf(now)) < knobs_.trustedPerSlot) {
      return ColdGrant::Trusted;
    }
    return grantIf(mayGetUnsure(replica, now), ColdGrant::Unsure);
  }
  if (!isCold(replica, now)) {
    return ColdGrant::Unlimited;
  }
  if (knobs_.sharing == ColdSharing::StaticShares) {
    return grantIf(hasSlotLeft(replica, knobs_.staticShare, now), ColdGrant::StaticShare);
  }
  const auto bucket = buckets_.find(replica.entry.id);
  const bool hasToken = bucket != buckets_.end() && tokensOf(bucket->second, replica, now) >= 1.0;
  return grantIf(hasToken, ColdGrant::Feeder);
}

std::string_view ColdReplicaRule::grantNameOf(const Replica& replica, Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return {};
  }
  const std::optional<ColdGrant> grant = grantOf(replica, now);
  return grant ? coldGrantName(*grant) : std::string_view();
}

std::optional<PlacementBar> ColdReplicaRule::barOf(const Replica& replica,
                                                   const PlacementSubject& /*subject*/,
                                                   Instant now) const {
  if (replica.coldRequestsPerSecond <= 0) {
    return std::nullopt;
  }
  // The usual case: everything is known, and the replica is warm.
  if (isSure(now) && now >= replica.coldUntil && cautions_.empty()) {
    return std::nullopt;
  }
  if (grantOf(replica, now)) {
    return std::nullopt;
  }
  return PlacementBar::ColdRateSpent;
}

void ColdReplicaRule::onPassedOver(const Replica& /*replica*/) { ++passedOver_; }

void ColdReplicaRule::onSent(const Replica& replica, Instant now) {
  const bool isUsual = isSure(now) && now >= replica.coldUntil && cautions_.empty();
  if (replica.coldRequestsPerSecond <= 0 || isUsual) {
    return;
  }
  if (!isSure(now)) {
    unsureSentAt_[replica.entry.id] = now;
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

Duration ColdReplicaRule::retryAfter(PlacementBar /*bar*/) const { return knobs_.retryAfter; }

void ColdReplicaRule::tendReplica(Replica& replica, Instant now,
                                  std::vector<ColdReplicaChange>& changes) {
  const std::string& id = replica.entry.id;
  const Service* const service = sources_.serviceOf(replica.entry.service);
  replica.coldRequestsPerSecond = service == nullptr ? 0 : service->coldRequestsPerSecond;
  const bool cold = isCold(replica, now);
  const bool answers = replica.failures == 0 && now - replica.heardAt < knobs_.trustTime;
  replica.isTrusted = answers && !cold && (replica.isTrusted || isSure(now));
  const bool feeds = cold && knobs_.sharing == ColdSharing::Feeders && isFeederOf(replica);
  if (feeds) {
    buckets_.try_emplace(id, Bucket{knobs_.firstTokens, now});
  } else {
    buckets_.erase(id);
  }
  const auto known = cold_.find(id);
  const bool wasCold = known != cold_.end();
  const bool fedBefore = wasCold && known->second;
  if (cold != wasCold || feeds != fedBefore) {
    const Duration remaining =
        cold ? std::max(Duration::zero(), replica.coldUntil - now) : Duration::zero();
    changes.push_back({id, replica.entry.zone, cold, remaining, feeds});
  }
  if (cold) {
    cold_[id] = feeds;
  } else {
    cold_.erase(id);
  }
}

void ColdReplicaRule::forgetSlots(Instant now) {
  const std::int64_t slot = slotOf(now);
  std::erase_if(slots_, [slot](const auto& entry) { return entry.second.slot < slot; });
  std::erase_if(unsureSentAt_,
                [this, now](const auto& entry) { return now - entry.second >= knobs_.unsureSlot; });
}

std::vector<ColdReplicaChange> ColdReplicaRule::tend(const std::vector<ReplicaPtr>& replicas,
                                                     Instant now) {
  std::vector<ColdReplicaChange> changes;
  if (!begunAt_) {
    begunAt_ = now;
  }
  if (!isSure(now)) {
    members_.update(sources_.members(), ownName_);
  }
  limitedReplicas_ = 0;
  for (const ReplicaPtr& replica : replicas) {
    tendReplica(*replica, now, changes);
    limitedReplicas_ += replica->coldRequestsPerSecond > 0 ? 1 : 0;
  }
  forgetSlots(now);
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
