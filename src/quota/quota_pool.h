/// \file The coordinator's side: tokens of the tenants of one partition. No I/O, no clock.
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

/// Grants tokens out of what nodes lend. Whoever grants without having borrowed would double a
/// limit when the fleet is split and each part has a coordinator; shares are lent to one at a time.
class QuotaPool {
 public:
  /// \param life differs between coordinators and between processes.
  QuotaPool(const QuotaKnobs& knobs, std::uint64_t life) : knobs_(knobs), life_(life) {}

  void onLend(const std::string& node, double share, Instant until, Instant now);
  /// The coordinator before this one tells how far limits are used, as its lends come here.
  void takeOver(const HandOver& handOver, Instant now);
  /// \return what the next coordinator must know, in messages that fit a datagram.
  std::vector<HandOver> handOver(std::uint32_t partition, Instant now);
  /// \param quota the tenant's limit in the configuration that is in force at this node.
  TokenReply grant(const TokenRequest& request, const tenant::Quota& quota, Instant now);
  [[nodiscard]] double share(Instant now) { return shares_.share(now); }

 private:
  struct Account {
    double level = 0;
    double shareSeconds = 0;    ///< Of the pool, when the level was reckoned.
    std::uint64_t losses = 0;   ///< Of the pool's shares, likewise.
    double begunPerSecond = 0;  ///< Tokens asked for begun programs lately.
    Instant usedAt{};
    SlidingCount granted;
  };
  Account& accountOf(const std::string& tenant, const tenant::Quota& quota, Instant now);
  /// \return the level of a tenant of whom it is not known what another coordinator granted.
  [[nodiscard]] double unsureLevelOf(const tenant::Quota& quota) const;
  [[nodiscard]] double capacityOf(const tenant::Quota& quota, Instant now);
  /// \return tokens that may still be granted in the window that ends now.
  [[nodiscard]] double leftInWindow(Account& account, const tenant::Quota& quota, Instant now);
  void noteBegunUse(Account& account, std::uint32_t tokens, Instant now) const;
  /// \return tokens that programs may not begin on.
  [[nodiscard]] double reservedOf(const Account& account, const tenant::Quota& quota, Instant now);
  [[nodiscard]] Duration timeUntil(double missing, const tenant::Quota& quota, Instant now);

  QuotaKnobs knobs_;
  std::uint64_t life_;
  BorrowedShares shares_;
  std::unordered_map<std::string, Account> accounts_;
  /// Life and part of the messages taken over lately, and when.
  std::map<std::pair<std::uint64_t, std::uint32_t>, Instant> takenOver_;
  std::optional<Instant> tookOverAt_;  ///< Without having borrowed anything since.
};

}  // namespace gorsetrail::quota
