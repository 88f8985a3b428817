#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::quota {
namespace {

/// Keeps computed delays finite if the rate is 0; in requests per second.
constexpr double kMinRate = 1e-3;
/// Limits a hand-over message to about 3 KB, assuming names of 20 bytes and 100 bytes of counts.
constexpr std::size_t kAccountsPerMessage = 24;
/// A hand-over is discarded if no lease follows within this time, because another coordinator may
/// have granted tokens since.
constexpr Duration kHandOverLifetime = seconds(1);
constexpr double kLimitWindowSeconds = 5.0;  ///< Window in which a limit is checked.

std::uint32_t wholeTokens(double level) {
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(level)));
}

/// \return the bucket capacity in tokens with all shares leased.
double bucketCapacityOf(const QuotaKnobs& knobs, const tenant::Quota& quota) {
  return (1.0 + knobs.extraBurstFraction) * quota.burst + knobs.extraBurstTokens +
         knobs.extraBurstSeconds * quota.requestsPerSecond;
}

/// \return the maximum number of tokens granted in any window, with all shares leased.
double windowAllowanceOf(const QuotaKnobs& knobs, const tenant::Quota& quota) {
  return knobs.windowRateSeconds * quota.requestsPerSecond +
         (1.0 + knobs.extraBurstFraction) * quota.burst + knobs.windowExtraTokens;
}

}  // namespace

double QuotaPool::capacityOf(const tenant::Quota& quota, Instant now) {
  return bucketCapacityOf(knobs_, quota) * shares_.share(now);
}

void QuotaPool::addLease(const std::string& node, double share, Instant expiresAt, Instant now) {
  const bool isLate = importedAt_ && now - *importedAt_ > kHandOverLifetime;
  if (isLate && shares_.share(now) <= 0) {
    accounts_.clear();
  }
  if (isLate) {
    importedAt_.reset();
  }
  shares_.addLease(node, share, expiresAt, now);
}

void QuotaPool::importAccounts(const HandOver& handOver, Instant now) {
  // Duplicates arrive within this time; older entries are removed to bound the map.
  std::erase_if(importedParts_,
                [now](const auto& entry) { return now - entry.second > 2 * kHandOverLifetime; });
  if (!importedParts_.emplace(std::pair(handOver.grantor, handOver.part), now).second) {
    return;  // Duplicate message.
  }
  const bool isLaterPart = importedAt_ && now - *importedAt_ <= kHandOverLifetime;
  if (shares_.share(now) <= 0 && !isLaterPart) {
    accounts_.clear();  // Obsoleted by the hand-over.
    importedAt_ = now;
  }
  for (const HandedAccount& importedAccount : handOver.accounts) {
    const auto [entry, isNew] = accounts_.try_emplace(importedAccount.tenant);
    Account& account = entry->second;
    if (isNew) {
      account.shareSeconds = shares_.shareSeconds(now);
      account.quorumLosses = shares_.quorumLosses(now);
      account.lastUsedAt = now;
    }
    // If both coordinators granted tokens, each held a part of the shares, so levels add up.
    account.level += importedAccount.level;
    account.granted.addCountsByAge(importedAccount.granted, now);
  }
}

std::vector<HandOver> QuotaPool::exportAccounts(std::uint32_t partition, Instant now) {
  std::vector<HandOver> messages;
  for (auto& [tenant, account] : accounts_) {
    if (messages.empty() || messages.back().accounts.size() >= kAccountsPerMessage) {
      messages.push_back(
          {partition, incarnation_, static_cast<std::uint32_t>(messages.size()), {}});
    }
    messages.back().accounts.push_back({tenant, account.level, account.granted.countsByAge(now)});
  }
  return messages;
}

// The previous coordinator may just have granted a full bucket, and both together must stay within
// the window limit. The initial level is reduced by the possible excess.
double QuotaPool::conservativeLevelOf(const tenant::Quota& quota) const {
  const double worstCase = bucketCapacityOf(knobs_, quota) +
                           kLimitWindowSeconds * quota.requestsPerSecond + knobs_.initialTokens;
  return knobs_.initialTokens - std::max(0.0, worstCase - windowAllowanceOf(knobs_, quota));
}

QuotaPool::Account& QuotaPool::accountOf(const std::string& tenant, const tenant::Quota& quota,
                                         Instant now) {
  const double shareSeconds = shares_.shareSeconds(now);
  const auto [entry, isNew] = accounts_.try_emplace(tenant);
  Account& account = entry->second;
  if (isNew) {
    // Treats the tenant as idle since the pool started or last fell below half of the shares.
    account.level = conservativeLevelOf(quota);
    account.quorumLosses = shares_.quorumLosses(now);
    account.shareSeconds = shares_.shareSecondsAtQuorumLoss();
  }
  if (account.quorumLosses != shares_.quorumLosses(now)) {
    account.quorumLosses = shares_.quorumLosses(now);
    account.level = std::min(account.level, conservativeLevelOf(quota));
    account.shareSeconds = std::max(account.shareSeconds, shares_.shareSecondsAtQuorumLoss());
  }
  account.level += quota.requestsPerSecond * (shareSeconds - account.shareSeconds);
  account.level = std::min(account.level, capacityOf(quota, now));
  account.shareSeconds = shareSeconds;
  return account;
}

void QuotaPool::recordStartedUsage(Account& account, std::uint32_t tokens, Instant now) const {
  const std::chrono::duration<double> passed = now - account.lastUsedAt;
  const std::chrono::duration<double> decayTime = knobs_.usageDecayTime;
  account.startedTokensPerSecond =
      account.startedTokensPerSecond * std::exp(-passed / decayTime) + tokens / decayTime.count();
  account.lastUsedAt = now;
}

double QuotaPool::remainingInWindow(Account& account, const tenant::Quota& quota, Instant now) {
  return windowAllowanceOf(knobs_, quota) * shares_.share(now) - account.granted.sum(now);
}

double QuotaPool::reservedTokensOf(const Account& account, const tenant::Quota& quota,
                                   Instant now) {
  const std::chrono::duration<double> horizon = knobs_.reservationHorizon;
  const double rate = quota.requestsPerSecond * shares_.share(now);
  const double beyondRate = std::max(0.0, account.startedTokensPerSecond - rate) * horizon.count();
  return std::min(beyondRate, knobs_.maxReservedFraction * capacityOf(quota, now));
}

Duration QuotaPool::refillTime(double missingTokens, const tenant::Quota& quota, Instant now) {
  const double rate = std::max(quota.requestsPerSecond * shares_.share(now), kMinRate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.0, missingTokens) / rate));
}

TokenReply QuotaPool::grant(const TokenRequest& request, const tenant::Quota& quota, Instant now) {
  TokenReply reply;
  reply.requestId = request.requestId;
  reply.grantor = incarnation_;
  const double share = shares_.share(now);
  // Leases arrive within a few network delays after a hand-over. The bucket capacity follows the
  // leased share, so an earlier access would truncate the handed-over level.
  const bool isCollectingLeases = importedAt_ && now - *importedAt_ < knobs_.leaseRenewalInterval;
  if (share <= 0 || (isCollectingLeases && share < knobs_.quorumShare)) {
    return reply;
  }
  Account& account = accountOf(request.tenant, quota, now);
  const double capacity = capacityOf(quota, now);
  if (request.grantor == incarnation_) {
    account.level = std::min(account.level + request.returned, capacity);
  }
  recordStartedUsage(account, request.tokensForStarted, now);
  const std::chrono::duration<double> delay = knobs_.maxTokenDelay;
  const double inWindow = remainingInWindow(account, quota, now);
  const double level = std::min(account.level, inWindow);
  const double levelAfterDelay =
      std::min(account.level + quota.requestsPerSecond * share * delay.count(), inWindow);
  const double reserved = reservedTokensOf(account, quota, now);
  const std::uint32_t waiting = request.tokensForStarted + request.tokensForStarting;
  // Unaccrued tokens serve new programs only while running ones stay below the rate.
  reply.mayStartPrograms = (reserved > 0 ? level : levelAfterDelay) - waiting >= reserved;
  const std::uint32_t allowed = reply.mayStartPrograms ? waiting : request.tokensForStarted;
  const std::uint32_t granted = std::min(allowed, wholeTokens(levelAfterDelay));
  reply.retryAfter = std::clamp(refillTime(reserved + waiting - level, quota, now),
                                knobs_.minRetryAfter, knobs_.maxRetryAfter);
  reply.decided = granted == waiting || share >= knobs_.quorumShare;
  if (reply.decided) {
    account.level -= granted;
    reply.usableAfter = refillTime(-account.level, quota, now);
    account.granted.add(granted, now);
    reply.granted = granted;
  }
  return reply;
}

}  // namespace gorsetrail::quota
