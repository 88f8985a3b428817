#include "node/core/tenant_budgets.h"

#include <algorithm>

namespace gorsetrail::node {
namespace {

constexpr double kSecondsPerMinute = 60.0;
constexpr std::int64_t kLongestRetryAfterSeconds = 3600;

}  // namespace

void TenantBudgets::update(const bundle::Bundle& bundle, Instant now) {
  std::unordered_map<std::string, engine::TokenBucket> buckets;
  for (const bundle::Tenant& tenant : bundle.tenants) {
    if (tenant.budget.tokensPerMinute == 0) {
      continue;  // No limit was set.
    }
    const double share = static_cast<double>(tenant.budget.tokensPerMinute) / nodes_;
    const auto known = buckets_.find(tenant.name);
    engine::TokenBucket bucket = known == buckets_.end()
                                     ? engine::TokenBucket(share, share / kSecondsPerMinute)
                                     : known->second;
    bucket.resize(share, share / kSecondsPerMinute, now);
    buckets.emplace(tenant.name, bucket);
  }
  buckets_ = std::move(buckets);
}

std::optional<Error> TenantBudgets::reserve(const std::string& tenant, std::uint64_t tokens,
                                            Instant now) {
  const auto found = buckets_.find(tenant);
  if (found == buckets_.end() || tokens == 0) {
    return std::nullopt;
  }
  engine::TokenBucket& bucket = found->second;
  if (bucket.level(now) > 0.0) {
    bucket.charge(static_cast<double>(tokens), now);
    return std::nullopt;
  }
  Error error{ErrorKind::BudgetExceeded, "Gorsetrail-Tenant",
              "the tenant used up this node's share of its tokens a minute",
              "come back later with the same request id, or have an operator raise the budget"};
  const auto wait = std::chrono::ceil<std::chrono::seconds>(bucket.timeUntil(1.0, now)).count();
  error.retryAfterSeconds =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(wait, 1, kLongestRetryAfterSeconds));
  return error;
}

void TenantBudgets::settle(const std::string& tenant, std::uint64_t reserved, std::uint64_t used,
                           Instant now) {
  const auto found = buckets_.find(tenant);
  if (found != buckets_.end()) {
    found->second.charge(static_cast<double>(used) - static_cast<double>(reserved), now);
  }
}

}  // namespace gorsetrail::node
