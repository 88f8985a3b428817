#include "quota/quota_coordinator.h"

#include <xxhash.h>

#include <utility>

#include "quota/share_lender.h"

namespace gorsetrail::quota {
namespace {

/// How long a node keeps renewing leases after a token request, even if it is not the first
/// candidate.
constexpr Duration kCoordinationTimeout = seconds(1);
/// Each hand-over message is sent this often, because one in a hundred datagrams may be lost.
constexpr int kHandOverCopies = 2;

/// \return the rank of a coordinator; of two with equal claims the higher rank wins.
std::uint64_t rankOf(std::uint32_t partition, const std::string& address) {
  return XXH64(address.data(), address.size(), partition);
}

}  // namespace

QuotaCoordinator::QuotaCoordinator(QuotaFleetView& fleet, const QuotaKnobs& knobs,
                                   std::string ownAddress, std::uint64_t incarnation,
                                   std::function<Instant()> clock, RandomSource& random, Send send)
    : fleet_(fleet),
      knobs_(knobs),
      ownAddress_(std::move(ownAddress)),
      incarnation_(incarnation),
      clock_(std::move(clock)),
      random_(random),
      send_(std::move(send)) {}

void QuotaCoordinator::onLeaseGrant(const std::string& from, const LeaseGrant& reply) {
  const auto found = partitionStates_.find(reply.partition);
  if (found == partitionStates_.end() || found->second.round != reply.round) {
    return;  // Reply to an earlier round or to an earlier incarnation.
  }
  // Counted from the request, so that the lease expires here before it expires at the node.
  found->second.pool->addLease(from, reply.share,
                               found->second.roundStartedAt + knobs_.leaseDuration, clock_());
}

QuotaCoordinator::PartitionState& QuotaCoordinator::stateOf(std::uint32_t partition) {
  PartitionState& state = partitionStates_[partition];
  if (!state.pool) {
    // Rounds start at a random value so that replies to an earlier incarnation do not match.
    state.round = (random_.below(UINT32_MAX) + 1) << kRoundBits;
    state.pool = std::make_unique<QuotaPool>(knobs_, incarnation_ ^ state.round);
  }
  return state;
}

void QuotaCoordinator::onTokenRequest(const std::string& from, std::uint32_t partition,
                                      const TokenRequest& request) {
  const Instant now = clock_();
  if (!mayCoordinate_ || hasYielded(partition)) {
    TokenReply undecided;
    undecided.requestId = request.requestId;
    if (hasYielded(partition)) {
      undecided.coordinator = yields_[partition].competitor;
    }
    send_(from, undecided);
    return;
  }
  PartitionState& state = stateOf(partition);
  const bool wasIdle = state.activeUntil <= now;
  state.activeUntil = now + kCoordinationTimeout;
  if (wasIdle || now < state.fastRenewalUntil) {
    requestLeasesIfDue(partition);
  }
  const auto tenants = fleet_.tenants();
  const tenant::Tenant* const tenant = tenants ? tenants->find(request.tenant) : nullptr;
  TokenReply reply;
  reply.requestId = request.requestId;
  if (tenant != nullptr && tenant->quota.isLimited()) {
    reply = state.pool->grant(request, tenant->quota, now);
  }
  ++tokenReplies_;
  send_(from, reply);
}

void QuotaCoordinator::onTick() {
  const Instant now = clock_();
  repeatReleases();
  const auto tenants = fleet_.tenants();
  if (!mayCoordinate_ || !tenants || !tenants->hasLimits()) {
    return;
  }
  for (std::uint32_t partition = 0; partition < knobs_.partitions; ++partition) {
    const std::vector<std::string> candidates = fleet_.candidateCoordinators(partition);
    const bool isFirst = !candidates.empty() && candidates.front() == ownAddress_;
    const auto known = partitionStates_.find(partition);
    const bool isAsked = known != partitionStates_.end() && now < known->second.activeUntil;
    if ((isFirst || isAsked) && !hasYielded(partition)) {
      requestLeasesIfDue(partition);
    }
  }
}

void QuotaCoordinator::endCoordination() {
  if (!mayCoordinate_) {
    return;
  }
  mayCoordinate_ = false;
  LeaseReleases releases;
  for (auto& [partition, state] : partitionStates_) {
    releases.push_back({partition, state.round});
    for (const std::string& candidate : fleet_.candidateCoordinators(partition)) {
      if (candidate != ownAddress_) {
        handOver(partition, state, candidate);
        break;
      }
    }
  }
  // Late replies find no state, so released leases are not counted again.
  partitionStates_.clear();
  broadcastReleases(releases);
}

void QuotaCoordinator::handOver(std::uint32_t partition, PartitionState& state,
                                const std::string& successor) {
  for (const HandOver& message : state.pool->exportAccounts(partition, clock_())) {
    for (int copy = 0; copy < kHandOverCopies; ++copy) {
      send_(successor, message);
    }
  }
}

void QuotaCoordinator::onHandOver(const std::string& from, const HandOver& handOver) {
  onCompetitorRelease(from, handOver.partition);
  if (mayCoordinate_ && handOver.partition < knobs_.partitions && !hasYielded(handOver.partition)) {
    const Instant now = clock_();
    PartitionState& state = stateOf(handOver.partition);
    state.pool->importAccounts(handOver, now);
    state.activeUntil = now + kCoordinationTimeout;
    state.fastRenewalUntil = now + knobs_.leaseRenewalInterval;
    requestLeasesIfDue(handOver.partition);
  }
}

void QuotaCoordinator::broadcastReleases(const LeaseReleases& releases) {
  for (const LeaseRelease& release : releases) {
    broadcast(release);
    pendingReleases_.push_back({release, knobs_.releaseRepeats});
  }
}

void QuotaCoordinator::broadcast(const LeaseRelease& release) {
  for (const std::string& member : fleet_.members()) {
    send_(member, release);
  }
}

void QuotaCoordinator::repeatReleases() {
  for (PendingRelease& pending : pendingReleases_) {
    broadcast(pending.release);
    --pending.remaining;
  }
  std::erase_if(pendingReleases_,
                [](const PendingRelease& pending) { return pending.remaining == 0; });
}

bool QuotaCoordinator::hasYielded(std::uint32_t partition) const {
  const auto found = yields_.find(partition);
  return found != yields_.end() && clock_() - found->second.lastRequestAt < knobs_.yieldTimeout;
}

void QuotaCoordinator::onCompetitorRelease(const std::string& from, std::uint32_t partition) {
  const auto yield = yields_.find(partition);
  if (yield != yields_.end() && yield->second.competitor == from) {
    yields_.erase(yield);
  }
}

void QuotaCoordinator::onCompetingLeaseRequest(const std::string& competitor,
                                               const LeaseRequest& request) {
  if (competitor == ownAddress_) {
    return;
  }
  const auto own = partitionStates_.find(request.partition);
  const bool ownHasQuorum =
      own != partitionStates_.end() && own->second.pool->share(clock_()) >= knobs_.quorumShare;
  const bool comesFirst =
      rankOf(request.partition, competitor) > rankOf(request.partition, ownAddress_);
  if (ownHasQuorum ? !(request.hasQuorum && comesFirst) : !(request.hasQuorum || comesFirst)) {
    return;
  }
  yields_[request.partition] = {competitor, clock_()};
  if (own != partitionStates_.end()) {
    const LeaseRelease release{request.partition, own->second.round};
    handOver(request.partition, own->second, competitor);
    partitionStates_.erase(own);
    broadcastReleases({release});
  }
}

void QuotaCoordinator::requestLeasesIfDue(std::uint32_t partition) {
  const Instant now = clock_();
  PartitionState& state = stateOf(partition);
  const Duration period =
      now < state.fastRenewalUntil ? knobs_.fastRenewalInterval : knobs_.leaseRenewalInterval;
  if (state.roundStartedAt != Instant{} && now - state.roundStartedAt < period) {
    return;
  }
  ++state.round;
  state.roundStartedAt = now;
  const bool hasQuorum = state.pool->share(now) >= knobs_.quorumShare;
  const LeaseRequest request{partition, state.round, hasQuorum};
  for (const std::string& member : fleet_.members()) {
    send_(member, request);
  }
}

}  // namespace gorsetrail::quota
