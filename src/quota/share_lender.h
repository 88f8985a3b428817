/// \file A node's own share of all limits: lent to coordinators, or spent by itself. No I/O, no
/// clock.
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

/// Rounds of one life of a coordinator differ in their low bits only.
inline constexpr unsigned kRoundBits = 32;
inline bool isSameLife(std::uint64_t round, std::uint64_t other) {
  return round >> kRoundBits == other >> kRoundBits;
}

/// Lends the node's share of a partition to one coordinator at a time. The coordinator counts the
/// lend from the moment it asked, the node from the moment it answered, so the coordinator's end
/// comes first whatever the way took. A process that starts has forgotten what it lent in its
/// earlier life, so it waits until that has ended.
class ShareLender {
 public:
  ShareLender(const QuotaKnobs& knobs, Instant startedAt);

  /// \return whether the share is lent to this coordinator from now on for `QuotaKnobs::lendTime`.
  /// \param round of the coordinator; those of one life share all but the low bits, see
  /// `isSameLife`.
  bool lend(std::uint32_t partition, const std::string& coordinator, std::uint64_t round,
            Instant now);
  /// The coordinator counts the lends of the life that this round belongs to no more.
  void onEnd(std::uint32_t partition, const std::string& coordinator, std::uint64_t round,
             Instant now);
  /// Takes a token of the node's own share. \param share of each limit, 0 to 1.
  /// \return false while the share is lent, or when the tokens are spent.
  bool trySpendOwn(std::uint32_t partition, const tenant::Tenant& tenant, double share,
                   Instant now);

 private:
  struct Partition {
    std::string coordinator;
    std::uint64_t round = 0;
    Instant lentUntil;
  };
  struct OwnAccount {
    double level = 0;
    Instant reckonedAt;
  };

  QuotaKnobs knobs_;
  std::vector<Partition> partitions_;
  std::unordered_map<std::string, OwnAccount> own_;
};

}  // namespace gorsetrail::quota
