/// \file Quota coordinator of one node. Does no I/O; reads time through the given clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "quota/fleet_view.h"
#include "quota/quota_knobs.h"
#include "quota/quota_message.h"
#include "quota/quota_pool.h"

namespace gorsetrail::quota {

/// Leases shares for the partitions that this node coordinates, grants tokens from them, and hands
/// partitions over to other coordinators.
class QuotaCoordinator {
 public:
  /// Sends a message to a node, possibly this one.
  using Send = std::function<void(const std::string& to, const QuotaMessage& message)>;

  /// \param fleet, random must outlive this object.
  /// \param incarnation differs between processes.
  QuotaCoordinator(QuotaFleetView& fleet, const QuotaKnobs& knobs, std::string ownAddress,
                   std::uint64_t incarnation, std::function<Instant()> clock, RandomSource& random,
                   Send send);

  void onLeaseGrant(const std::string& from, const LeaseGrant& reply);
  /// \param partition the partition of the request's tenant.
  void onTokenRequest(const std::string& from, std::uint32_t partition,
                      const TokenRequest& request);
  void onHandOver(const std::string& from, const HandOver& handOver);
  /// Yields to a competing coordinator of the partition if this one holds less than half of the
  /// shares and the other holds half, or if both are equal in this and the other ranks higher.
  /// Without this, each could keep part of the shares indefinitely, because nodes renew leases to
  /// any holder that asks.
  void onCompetingLeaseRequest(const std::string& competitor, const LeaseRequest& request);
  /// A competing coordinator has released its leases of the partition.
  void onCompetitorRelease(const std::string& from, std::uint32_t partition);
  /// Sends due lease requests and repeated releases.
  void onTick();
  /// Hands over and releases all partitions before a planned shutdown. Grants nothing afterwards.
  void endCoordination();
  [[nodiscard]] std::uint64_t tokenReplies() const { return tokenReplies_; }

 private:
  struct PartitionState {
    std::unique_ptr<QuotaPool> pool;
    Instant activeUntil;  ///< Renews leases until then, because a node asked for tokens.
    std::uint64_t round = 0;
    Instant roundStartedAt;
    /// Renews at `fastRenewalInterval` until then, because a predecessor has just released its
    /// leases.
    Instant fastRenewalUntil;
  };
  using LeaseReleases = std::vector<LeaseRelease>;
  /// A release that is sent again, because a message may be lost.
  struct PendingRelease {
    LeaseRelease release;
    std::uint32_t remaining = 0;
  };
  /// A competing coordinator that this node leaves a partition to.
  struct Yield {
    std::string competitor;
    Instant lastRequestAt;
  };

  void requestLeasesIfDue(std::uint32_t partition);
  PartitionState& stateOf(std::uint32_t partition);
  [[nodiscard]] bool hasYielded(std::uint32_t partition) const;
  void broadcastReleases(const LeaseReleases& releases);
  void broadcast(const LeaseRelease& release);
  void repeatReleases();
  /// Sends the accounts to the next coordinator. Called before the leases are released, so that the
  /// accounts arrive before the successor can grant tokens.
  void handOver(std::uint32_t partition, PartitionState& state, const std::string& successor);

  QuotaFleetView& fleet_;
  QuotaKnobs knobs_;
  std::string ownAddress_;
  std::uint64_t incarnation_;
  std::function<Instant()> clock_;
  RandomSource& random_;
  Send send_;
  std::map<std::uint32_t, PartitionState> partitionStates_;
  bool mayCoordinate_ = true;              ///< False after `endCoordination`.
  std::map<std::uint32_t, Yield> yields_;  ///< By partition.
  std::vector<PendingRelease> pendingReleases_;
  std::uint64_t tokenReplies_ = 0;
};

}  // namespace gorsetrail::quota
