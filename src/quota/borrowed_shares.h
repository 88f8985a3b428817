/// \file Share leases that a coordinator holds for one partition. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace gorsetrail::quota {

/// Sums the unexpired leases and integrates the sum over time. A tenant's tokens accrue as its rate
/// times that integral, regardless of which nodes joined or left.
class BorrowedShares {
 public:
  /// Adds or renews a node's lease, which ends at `expiresAt`. `now` must not decrease between
  /// calls.
  void addLease(const std::string& node, double share, Instant expiresAt, Instant now);
  /// \return the fraction of each limit that is leased now, 0 to 1.
  double share(Instant now);
  /// \return how often the leased fraction fell below one half; another coordinator may have
  /// granted tokens since then.
  std::uint64_t quorumLosses(Instant now);
  /// \return the value of `shareSeconds` when the fraction last fell below one half, in seconds.
  [[nodiscard]] double shareSecondsAtQuorumLoss() const { return shareSecondsAtQuorumLoss_; }
  /// \return the integral of `share` since the start, in seconds.
  double shareSeconds(Instant now);

 private:
  struct Lease {
    double share = 0;
    Instant expiresAt;
  };
  void advance(Instant now);
  void integrateTo(Instant moment);

  std::unordered_map<std::string, Lease> byNode_;
  double sum_ = 0;
  double shareSeconds_ = 0;
  std::uint64_t quorumLosses_ = 0;
  double shareSecondsAtQuorumLoss_ = 0;
  Instant integratedTo_{};
  /// No lease expires before this time.
  Instant nextExpiry_ = Instant::max();
};

}  // namespace gorsetrail::quota
