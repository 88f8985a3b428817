#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::quota {
namespace {

/// Keeps waits finite without a rate, in requests a second.
constexpr double kSmallestRate = 1e-3;

std::uint32_t wholeTokens(double level) {
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(level)));
}

}  // namespace

double QuotaPool::capacityOf(const tenant::Quota& quota, Instant now) {
  const double spare = knobs_.spareBurst + knobs_.spareBurstSeconds * quota.requestsPerSecond +
                       knobs_.spareBurstShare * quota.burst;
  return (quota.burst + spare) * shares_.share(now);
}

QuotaPool::Account& QuotaPool::accountOf(const std::string& tenant, const tenant::Quota& quota,
                                         Instant now) {
  const double shareSeconds = shares_.shareSeconds(now);
  const auto [entry, isNew] = accounts_.try_emplace(tenant);
  Account& account = entry->second;
  if (isNew) {
    // As if the tenant had been known, and silent, since the pool began.
    account.level = knobs_.startTokens;
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
  const double allowed = knobs_.windowSeconds * quota.requestsPerSecond +
                         (1.0 + knobs_.spareBurstShare) * quota.burst + knobs_.windowSpare;
  return allowed * shares_.share(now) - account.granted.sum(now);
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
  if (share <= 0) {
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
