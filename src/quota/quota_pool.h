/// \file Token buckets of the tenants of one partition. Does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota/borrowed_shares.h"
#include "quota/quota_knobs.h"
#include "quota/quota_message.h"
#include "quota/sliding_count.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// Grants tokens in proportion to the leased shares. Each share is leased to one coordinator at a
/// time, so the coordinators of a partitioned network together do not exceed a limit.
class QuotaPool {
 public:
  /// \param incarnation differs between coordinators and between processes.
  QuotaPool(const QuotaKnobs& knobs, std::uint64_t incarnation)
      : knobs_(knobs), incarnation_(incarnation) {}

  void addLease(const std::string& node, double share, Instant expiresAt, Instant now);
  /// Adds the accounts of the previous coordinator; duplicate messages are ignored.
  void importAccounts(const HandOver& handOver, Instant now);
  /// \return the state of all accounts for the next coordinator, in messages that each fit a
  /// datagram.
  std::vector<HandOver> exportAccounts(std::uint32_t partition, Instant now);
  /// \param quota the tenant's limit in the configuration that is active on this node.
  TokenReply grant(const TokenRequest& request, const tenant::Quota& quota, Instant now);
  [[nodiscard]] double share(Instant now) { return shares_.share(now); }

 private:
  struct Account {
    double level = 0;
    double shareSeconds = 0;         ///< The pool's `shareSeconds` when `level` was last updated.
    std::uint64_t quorumLosses = 0;  ///< The pool's `quorumLosses` at that time.
    double startedTokensPerSecond = 0;  ///< Decayed rate of tokens requested by running programs.
    Instant lastUsedAt{};
    SlidingCount granted;
  };
  Account& accountOf(const std::string& tenant, const tenant::Quota& quota, Instant now);
  /// \return the level of a tenant for which another coordinator may have granted an unknown number
  /// of tokens.
  [[nodiscard]] double conservativeLevelOf(const tenant::Quota& quota) const;
  [[nodiscard]] double capacityOf(const tenant::Quota& quota, Instant now);
  /// \return tokens that may still be granted in the window that ends now.
  [[nodiscard]] double remainingInWindow(Account& account, const tenant::Quota& quota, Instant now);
  void recordStartedUsage(Account& account, std::uint32_t tokens, Instant now) const;
  /// \return tokens that are not available to new programs.
  [[nodiscard]] double reservedTokensOf(const Account& account, const tenant::Quota& quota,
                                        Instant now);
  [[nodiscard]] Duration refillTime(double missingTokens, const tenant::Quota& quota, Instant now);

  QuotaKnobs knobs_;
  std::uint64_t incarnation_;
  BorrowedShares shares_;
  std::unordered_map<std::string, Account> accounts_;
  /// When each message of a hand-over was imported, by incarnation and part.
  std::map<std::pair<std::uint64_t, std::uint32_t>, Instant> importedParts_;
  /// When the last hand-over began to arrive. Reset by the first lease that is added after the
  /// hand-over has expired.
  std::optional<Instant> importedAt_;
};

}  // namespace gorsetrail::quota
