#include "quota/quota_coordinator.h"

#include <xxhash.h>

#include <utility>

#include "quota/share_lender.h"

namespace gorsetrail::quota {
namespace {

/// A node that is asked for tokens goes on borrowing for so long, by choice of those who ask.
constexpr Duration kAskedCoordinationTime = seconds(1);
/// One in a hundred datagrams may be lost: each message of a hand-over is sent so often.
constexpr int kHandOverCopies = 2;

/// \return the place of a coordinator in the order that decides between two of them.
std::uint64_t rankOf(std::uint32_t partition, const std::string& address) {
  return XXH64(address.data(), address.size(), partition);
}

}  // namespace

QuotaCoordinator::QuotaCoordinator(QuotaFleet& fleet, const QuotaKnobs& knobs,
                                   std::string ownAddress, std::uint64_t life,
                                   std::function<Instant()> clock, RandomSource& random, Send send)
    : fleet_(fleet),
      knobs_(knobs),
      ownAddress_(std::move(ownAddress)),
      life_(life),
      clock_(std::move(clock)),
      random_(random),
      send_(std::move(send)) {}

void QuotaCoordinator::onLendReply(const std::string& from, const LendReply& reply) {
  const auto found = coordinations_.find(reply.partition);
  if (found == coordinations_.end() || found->second.round != reply.round) {
    return;  // To an earlier round, or to an earlier life.
  }
  // Counted from before the request was sent, so that it ends here before it ends there.
  found->second.pool->onLend(from, reply.share, found->second.roundAt + knobs_.lendTime, clock_());
}

QuotaCoordinator::Coordination& QuotaCoordinator::coordinationOf(std::uint32_t partition) {
  Coordination& coordination = coordinations_[partition];
  if (!coordination.pool) {
    // Numbers of rounds start at random: a reply to an earlier life must not fit.
    coordination.round = (random_.below(UINT32_MAX) + 1) << kRoundBits;
    coordination.pool = std::make_unique<QuotaPool>(knobs_, life_ ^ coordination.round);
  }
  return coordination;
}

void QuotaCoordinator::onTokenRequest(const std::string& from, std::uint32_t partition,
                                      const TokenRequest& request) {
  const Instant now = clock_();
  if (!coordinates_ || givesWay(partition)) {
    TokenReply undecided;
    undecided.number = request.number;
    if (givesWay(partition)) {
      undecided.coordinator = givenWay_[partition].rival;
    }
    send_(from, undecided);
    return;
  }
  Coordination& coordination = coordinationOf(partition);
  const bool wasIdle = coordination.neededUntil <= now;
  coordination.neededUntil = now + kAskedCoordinationTime;
  if (wasIdle || now < coordination.hurriesUntil) {
    coordinate(partition);
  }
  const auto tenants = fleet_.tenants();
  const tenant::Tenant* const tenant = tenants ? tenants->find(request.tenant) : nullptr;
  TokenReply reply;
  reply.number = request.number;
  if (tenant != nullptr && tenant->quota.isLimited()) {
    reply = coordination.pool->grant(request, tenant->quota, now);
  }
  ++tokenReplies_;
  send_(from, reply);
}

void QuotaCoordinator::onTick() {
  const Instant now = clock_();
  repeatEnds();
  const auto tenants = fleet_.tenants();
  if (!coordinates_ || !tenants || !tenants->hasLimits()) {
    return;
  }
  for (std::uint32_t partition = 0; partition < knobs_.partitions; ++partition) {
    const std::vector<std::string> candidates = fleet_.coordinatorsOf(partition);
    const bool isFirst = !candidates.empty() && candidates.front() == ownAddress_;
    const auto known = coordinations_.find(partition);
    const bool isAsked = known != coordinations_.end() && now < known->second.neededUntil;
    if ((isFirst || isAsked) && !givesWay(partition)) {
      coordinate(partition);
    }
  }
}

void QuotaCoordinator::end() {
  if (!coordinates_) {
    return;
  }
  coordinates_ = false;
  LendEnds ends;
  for (auto& [partition, coordination] : coordinations_) {
    ends.push_back({partition, coordination.round});
    for (const std::string& candidate : fleet_.coordinatorsOf(partition)) {
      if (candidate != ownAddress_) {
        handOver(partition, coordination, candidate);
        break;
      }
    }
  }
  // Replies that are still on their way find nothing to count for.
  coordinations_.clear();
  announceEnds(ends);
}

void QuotaCoordinator::handOver(std::uint32_t partition, Coordination& coordination,
                                const std::string& successor) {
  for (const HandOver& message : coordination.pool->handOver(partition, clock_())) {
    for (int copy = 0; copy < kHandOverCopies; ++copy) {
      send_(successor, message);
    }
  }
}

void QuotaCoordinator::onHandOver(const std::string& from, const HandOver& handOver) {
  onRivalEnd(from, handOver.partition);
  if (coordinates_ && handOver.partition < knobs_.partitions && !givesWay(handOver.partition)) {
    const Instant now = clock_();
    Coordination& coordination = coordinationOf(handOver.partition);
    coordination.pool->takeOver(handOver, now);
    coordination.neededUntil = now + kAskedCoordinationTime;
    coordination.hurriesUntil = now + knobs_.lendPeriod;
    coordinate(handOver.partition);
  }
}

void QuotaCoordinator::announceEnds(const LendEnds& ends) {
  for (const LendEnd& end : ends) {
    tellAll(end);
    repeatedEnds_.push_back({end, knobs_.repeatedEnds});
  }
}

void QuotaCoordinator::tellAll(const LendEnd& end) {
  for (const std::string& member : fleet_.members()) {
    send_(member, end);
  }
}

void QuotaCoordinator::repeatEnds() {
  for (RepeatedEnd& repeated : repeatedEnds_) {
    tellAll(repeated.end);
    --repeated.left;
  }
  std::erase_if(repeatedEnds_, [](const RepeatedEnd& repeated) { return repeated.left == 0; });
}

bool QuotaCoordinator::givesWay(std::uint32_t partition) const {
  const auto found = givenWay_.find(partition);
  return found != givenWay_.end() && clock_() - found->second.heardAt < knobs_.wayTime;
}

void QuotaCoordinator::onRivalEnd(const std::string& from, std::uint32_t partition) {
  const auto way = givenWay_.find(partition);
  if (way != givenWay_.end() && way->second.rival == from) {
    givenWay_.erase(way);
  }
}

void QuotaCoordinator::considerRival(const std::string& rival, const LendRequest& request) {
  if (rival == ownAddress_) {
    return;
  }
  const auto own = coordinations_.find(request.partition);
  const bool ownHoldsHalf =
      own != coordinations_.end() && own->second.pool->share(clock_()) >= knobs_.decidingShare;
  const bool comesFirst = rankOf(request.partition, rival) > rankOf(request.partition, ownAddress_);
  if (ownHoldsHalf ? !(request.holdsHalf && comesFirst) : !(request.holdsHalf || comesFirst)) {
    return;
  }
  givenWay_[request.partition] = {rival, clock_()};
  if (own != coordinations_.end()) {
    const LendEnd end{request.partition, own->second.round};
    handOver(request.partition, own->second, rival);
    coordinations_.erase(own);
    announceEnds({end});
  }
}

void QuotaCoordinator::coordinate(std::uint32_t partition) {
  const Instant now = clock_();
  Coordination& coordination = coordinationOf(partition);
  const Duration period =
      now < coordination.hurriesUntil ? knobs_.hurriedLendPeriod : knobs_.lendPeriod;
  if (coordination.roundAt != Instant{} && now - coordination.roundAt < period) {
    return;
  }
  ++coordination.round;
  coordination.roundAt = now;
  const bool holdsHalf = coordination.pool->share(now) >= knobs_.decidingShare;
  const LendRequest request{partition, coordination.round, holdsHalf};
  for (const std::string& member : fleet_.members()) {
    send_(member, request);
  }
}

}  // namespace gorsetrail::quota
