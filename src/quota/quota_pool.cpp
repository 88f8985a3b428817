#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::quota {
namespace {

/// Keeps waits finite without a rate, in requests a second.
constexpr double kMinRate = 1e-3;
/// Tenants in one message of a hand-over: some 3 KB with names of 20 bytes and 100 B of counts.
constexpr std::size_t kAccountsPerMessage = 24;
/// Lends follow a hand-over within a round or two. Later, others may have granted in between.
constexpr Duration kHandOverLifetime = seconds(1);
constexpr double kLimitWindowSeconds = 5.0;  ///< The window of the operators' rule.

std::uint32_t wholeTokens(double level) {
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(level)));
}

/// \return the most tokens that a tenant's bucket holds, with all shares borrowed.
double bucketCapacityOf(const QuotaKnobs& knobs, const tenant::Quota& quota) {
  return (1.0 + knobs.extraBurstFraction) * quota.burst + knobs.extraBurstTokens +
         knobs.extraBurstSeconds * quota.requestsPerSecond;
}

/// \return the most tokens that are granted in any window, with all shares borrowed.
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
  // Copies of a message come within its lifetime; without an end the list would grow by an entry
  // with every planned stop of a coordinator.
  std::erase_if(importedParts_,
                [now](const auto& entry) { return now - entry.second > 2 * kHandOverLifetime; });
  if (!importedParts_.emplace(std::pair(handOver.grantor, handOver.part), now).second) {
    return;  // Each message is sent more than once.
  }
  const bool isLaterPart = importedAt_ && now - *importedAt_ <= kHandOverLifetime;
  if (shares_.share(now) <= 0 && !isLaterPart) {
    accounts_.clear();  // Older than what is handed over.
    importedAt_ = now;
  }
  for (const HandedAccount& handed : handOver.accounts) {
    const auto [entry, isNew] = accounts_.try_emplace(handed.tenant);
    Account& account = entry->second;
    if (isNew) {
      account.shareSeconds = shares_.shareSeconds(now);
      account.quorumLosses = shares_.quorumLosses(now);
      account.lastUsedAt = now;
    }
    // Where both granted, each held its part of the shares: the parts add up.
    account.level += handed.level;
    account.granted.addCountsByAge(handed.granted, now);
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

// The coordinator before may have granted a whole bucket a moment ago, and both together must stay
// within what a pool allows in a window: the new one grants so much less at first.
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
    // As if the tenant had been known, and silent, since the pool began or began anew.
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
  // Just after a hand-over lends come in within a few ways. Buckets are as large as the share: one
  // that is looked at meanwhile would lose what was handed over.
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
  // Programs begin on tokens that are not made yet only while begun ones stay below the rate.
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
