/// \file The coordinator's side: tokens of the tenants of one partition. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota/borrowed_shares.h"
#include "quota/quota_knobs.h"
#include "quota/quota_message.h"
#include "quota/return_line.h"
#include "quota/sliding_count.h"
#include "tenant/tenant.h"

namespace gorsetrail::quota {

/// What became of tokens that were kept for refused requests.
struct ReturnCounts {
  std::uint64_t reserved = 0;
  std::uint64_t claimed = 0;  ///< Their programs came back in time.
  std::uint64_t lapsed = 0;   ///< They did not: others may have the tokens.
};

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
  /// \return what was counted since the last call.
  ReturnCounts takeReturnCounts() { return std::exchange(returnCounts_, {}); }

 private:
  struct Account {
    explicit Account(const QuotaKnobs& knobs) : line(knobs.returnGrace, knobs.mostReturning) {}

    double level = 0;
    double shareSeconds = 0;    ///< Of the pool, when the level was reckoned.
    std::uint64_t losses = 0;   ///< Of the pool's shares, likewise.
    double begunPerSecond = 0;  ///< Tokens asked for begun programs lately.
    Instant usedAt{};
    SlidingCount granted;
    ReturnLine line;
  };
  /// Tokens that a request may have, and those that it gets.
  struct Division {
    double level = 0;                ///< Made by now, within the window.
    double soon = 0;                 ///< Made within `QuotaKnobs::longestDelay`, likewise.
    std::uint32_t returning = 0;     ///< Granted to callers whose token was kept.
    std::uint32_t settledBegun = 0;  ///< Of begun programs: returning, or told to come later.
    std::uint32_t settledBeginning = 0;
    Instant usableAt;                  ///< Kept tokens are made by then.
    std::uint32_t others = 0;          ///< Granted to all others.
    double reserved = 0;               ///< Tokens that programs may not begin on.
    std::vector<TokenCaller> callers;  ///< Those without a kept token.
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
  /// Divides what there is among the callers of a request; takes no token yet.
  Division divide(Account& account, const TokenRequest& request, const tenant::Quota& quota,
                  Instant now, TokenReply& reply);
  /// Takes the places of callers that come back out of the line.
  /// Those that had to come before their token is made are granted it to be used then, or keep
  /// their place.
  void claimPlaces(Account& account, const TokenRequest& request, Instant now, Division& division,
                   TokenReply& reply);
  /// \return for how long a caller may wait in line, on its way back included.
  [[nodiscard]] Duration reachOf(const TokenCaller& caller) const;
  /// Keeps a token for a caller that is refused, and tells it when to come. \return whether the
  /// caller can wait so long.
  bool reserve(Account& account, const TokenCaller& caller, Instant readyAt, Instant now,
               TokenReply& reply);
  /// Refuses the callers that are granted nothing. Begun programs are granted first.
  void refuseOthers(Account& account, const TokenRequest& request, const Division& division,
                    const tenant::Quota& quota, Instant now, TokenReply& reply);
  /// Tells a caller that is granted nothing when to come back, and keeps a token for it then if it
  /// can wait so long.
  void refuse(Account& account, const TokenCaller& caller, double reserved,
              const tenant::Quota& quota, Instant now, TokenReply& reply);
  [[nodiscard]] Duration timeUntil(double missing, const tenant::Quota& quota, Instant now);

  QuotaKnobs knobs_;
  std::uint64_t life_;
  BorrowedShares shares_;
  std::unordered_map<std::string, Account> accounts_;
  std::set<std::pair<std::uint64_t, std::uint32_t>> takenOver_;  ///< Life and part.
  ReturnCounts returnCounts_;
  std::optional<Instant> tookOverAt_;  ///< Without having borrowed anything since.
};

}  // namespace gorsetrail::quota
