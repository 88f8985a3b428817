#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::quota {
namespace {

/// Keeps waits finite without a rate, in requests a second.
constexpr double kSmallestRate = 1e-3;
/// Tenants in one message of a hand-over: some 3 KB with names of 20 bytes and 100 B of counts.
constexpr std::size_t kAccountsPerMessage = 24;
/// Lends follow a hand-over within a round or two. Later, others may have granted in between.
constexpr Duration kHandOverLifetime = seconds(1);
constexpr double kRuleSeconds = 5.0;  ///< The window of the operators' rule.

std::uint32_t wholeTokens(double level) {
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(level)));
}

/// \return the most tokens that a tenant's bucket holds, with all shares borrowed.
double bucketOf(const QuotaKnobs& knobs, const tenant::Quota& quota) {
  return (1.0 + knobs.spareBurstShare) * quota.burst + knobs.spareBurst +
         knobs.spareBurstSeconds * quota.requestsPerSecond;
}

/// \return the most tokens that are granted in any window, with all shares borrowed.
double windowAllowanceOf(const QuotaKnobs& knobs, const tenant::Quota& quota) {
  return knobs.windowSeconds * quota.requestsPerSecond +
         (1.0 + knobs.spareBurstShare) * quota.burst + knobs.windowSpare;
}

}  // namespace

double QuotaPool::capacityOf(const tenant::Quota& quota, Instant now) {
  return bucketOf(knobs_, quota) * shares_.share(now);
}

void QuotaPool::onLend(const std::string& node, double share, Instant until, Instant now) {
  const bool isLate = tookOverAt_ && now - *tookOverAt_ > kHandOverLifetime;
  if (isLate && shares_.share(now) <= 0) {
    accounts_.clear();
  }
  if (isLate) {
    tookOverAt_.reset();
  }
  shares_.onLend(node, share, until, now);
}

void QuotaPool::takeOver(const HandOver& handOver, Instant now) {
  // Copies of a message come within its lifetime; without an end the list would grow by an entry
  // with every planned stop of a coordinator.
  std::erase_if(takenOver_,
                [now](const auto& entry) { return now - entry.second > 2 * kHandOverLifetime; });
  if (!takenOver_.emplace(std::pair(handOver.grantor, handOver.part), now).second) {
    return;  // Each message is sent more than once.
  }
  const bool isLaterPart = tookOverAt_ && now - *tookOverAt_ <= kHandOverLifetime;
  if (shares_.share(now) <= 0 && !isLaterPart) {
    accounts_.clear();  // Older than what is handed over.
    tookOverAt_ = now;
  }
  for (const HandedAccount& handed : handOver.accounts) {
    const auto [entry, isNew] = accounts_.try_emplace(handed.tenant);
    Account& account = entry->second;
    if (isNew) {
      account.shareSeconds = shares_.shareSeconds(now);
      account.losses = shares_.losses(now);
      account.usedAt = now;
    }
    // Where both granted, each held its part of the shares: the parts add up.
    account.level += handed.level;
    account.granted.addByAge(handed.granted, now);
  }
}

std::vector<HandOver> QuotaPool::handOver(std::uint32_t partition, Instant now) {
  std::vector<HandOver> messages;
  for (auto& [tenant, account] : accounts_) {
    if (messages.empty() || messages.back().accounts.size() >= kAccountsPerMessage) {
      messages.push_back({partition, life_, static_cast<std::uint32_t>(messages.size()), {}});
    }
    messages.back().accounts.push_back({tenant, account.level, account.granted.byAge(now)});
  }
  return messages;
}

// The coordinator before may have granted a whole bucket a moment ago, and both together must stay
// within what a pool allows in a window: the new one grants so much less at first.
double QuotaPool::unsureLevelOf(const tenant::Quota& quota) const {
  const double ofBoth =
      bucketOf(knobs_, quota) + kRuleSeconds * quota.requestsPerSecond + knobs_.startTokens;
  return knobs_.startTokens - std::max(0.0, ofBoth - windowAllowanceOf(knobs_, quota));
}

QuotaPool::Account& QuotaPool::accountOf(const std::string& tenant, const tenant::Quota& quota,
                                         Instant now) {
  const double shareSeconds = shares_.shareSeconds(now);
  const auto [entry, isNew] = accounts_.try_emplace(tenant);
  Account& account = entry->second;
  if (isNew) {
    // As if the tenant had been known, and silent, since the pool began or began anew.
    account.level = unsureLevelOf(quota);
    account.losses = shares_.losses(now);
    account.shareSeconds = shares_.secondsAtLoss();
  }
  if (account.losses != shares_.losses(now)) {
    account.losses = shares_.losses(now);
    account.level = std::min(account.level, unsureLevelOf(quota));
    account.shareSeconds = std::max(account.shareSeconds, shares_.secondsAtLoss());
  }
  account.level += quota.requestsPerSecond * (shareSeconds - account.shareSeconds);
  account.level = std::min(account.level, capacityOf(quota, now));
  account.shareSeconds = shareSeconds;
  return account;
}

void QuotaPool::noteBegunUse(Account& account, std::uint32_t tokens, Instant now) const {
  const std::chrono::duration<double> passed = now - account.usedAt;
  const std::chrono::duration<double> fading = knobs_.useFading;
  account.begunPerSecond =
      account.begunPerSecond * std::exp(-passed / fading) + tokens / fading.count();
  account.usedAt = now;
}

double QuotaPool::leftInWindow(Account& account, const tenant::Quota& quota, Instant now) {
  return windowAllowanceOf(knobs_, quota) * shares_.share(now) - account.granted.sum(now);
}

double QuotaPool::reservedOf(const Account& account, const tenant::Quota& quota, Instant now) {
  const std::chrono::duration<double> horizon = knobs_.programHorizon;
  const double rate = quota.requestsPerSecond * shares_.share(now);
  const double beyondRate = std::max(0.0, account.begunPerSecond - rate) * horizon.count();
  return std::min(beyondRate, knobs_.mostReserved * capacityOf(quota, now));
}

Duration QuotaPool::timeUntil(double missing, const tenant::Quota& quota, Instant now) {
  const double rate = std::max(quota.requestsPerSecond * shares_.share(now), kSmallestRate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.0, missing) / rate));
}

TokenReply QuotaPool::grant(const TokenRequest& request, const tenant::Quota& quota, Instant now) {
  TokenReply reply;
  reply.number = request.number;
  reply.grantor = life_;
  const double share = shares_.share(now);
  // Just after a hand-over lends come in within a few ways. Buckets are as large as the share: one
  // that is looked at meanwhile would lose what was handed over.
  const bool isFilling = tookOverAt_ && now - *tookOverAt_ < knobs_.lendPeriod;
  if (share <= 0 || (isFilling && share < knobs_.decidingShare)) {
    return reply;
  }
  Account& account = accountOf(request.tenant, quota, now);
  const double capacity = capacityOf(quota, now);
  if (request.grantor == life_) {
    account.level = std::min(account.level + request.returned, capacity);
  }
  noteBegunUse(account, request.forBegun, now);
  const std::chrono::duration<double> delay = knobs_.longestDelay;
  const double inWindow = leftInWindow(account, quota, now);
  const double level = std::min(account.level, inWindow);
  const double soon =
      std::min(account.level + quota.requestsPerSecond * share * delay.count(), inWindow);
  const double reserved = reservedOf(account, quota, now);
  const std::uint32_t waiting = request.forBegun + request.forBeginning;
  // Programs begin on tokens that are not made yet only while begun ones stay below the rate.
  reply.isAmple = (reserved > 0 ? level : soon) - waiting >= reserved;
  const std::uint32_t allowed = reply.isAmple ? waiting : request.forBegun;
  const std::uint32_t granted = std::min(allowed, wholeTokens(soon));
  reply.retryAfter = std::clamp(timeUntil(reserved + waiting - level, quota, now),
                                knobs_.shortestRetryAfter, knobs_.longestRetryAfter);
  reply.decided = granted == waiting || share >= knobs_.decidingShare;
  if (reply.decided) {
    account.level -= granted;
    reply.usableAfter = timeUntil(-account.level, quota, now);
    account.granted.add(granted, now);
    reply.granted = granted;
  }
  return reply;
}

}  // namespace gorsetrail::quota
