/// \file The node's own share of all limits: leased to coordinators or used locally. Does no I/O
/// and reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "quota/quota_knobs.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// Rounds of one incarnation of a coordinator differ in these low bits only.
inline constexpr unsigned kRoundBits = 32;
inline bool isSameIncarnation(std::uint64_t round, std::uint64_t other) {
  return round >> kRoundBits == other >> kRoundBits;
}

/// Leases the node's share of a partition to one coordinator at a time. The coordinator counts the
/// lease from its request and the node from its reply, so the lease expires at the coordinator
/// first, whatever the network delay. After a restart nothing is leased until leases of the
/// previous process have expired.
class ShareLender {
 public:
  ShareLender(const QuotaKnobs& knobs, Instant startedAt);

  /// Leases or renews the share for `QuotaKnobs::leaseDuration` from now on.
  /// \param round of the coordinator; see `isSameIncarnation`.
  /// \return false while another coordinator holds the lease, or if the partition is unknown.
  bool tryLease(std::uint32_t partition, const std::string& coordinator, std::uint64_t round,
                Instant now);
  /// Ends the lease if it belongs to this coordinator and to the incarnation of `round`.
  void onRelease(std::uint32_t partition, const std::string& coordinator, std::uint64_t round,
                 Instant now);
  /// Takes a token of the node's own share.
  /// \param share of each limit, 0 to 1.
  /// \return false while the share is leased out or if no token is left.
  bool trySpendLocalToken(std::uint32_t partition, const tenant::Tenant& tenant, double share,
                          Instant now);

 private:
  struct PartitionLease {
    std::string coordinator;
    std::uint64_t round = 0;
    Instant leaseExpiry;
  };
  struct LocalBucket {
    double level = 0;
    Instant refilledAt;
  };

  QuotaKnobs knobs_;
  std::vector<PartitionLease> partitions_;
  std::unordered_map<std::string, LocalBucket> localBuckets_;
};

}  // namespace gorsetrail::quota
