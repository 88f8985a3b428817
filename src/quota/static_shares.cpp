#include "quota/static_shares.h"

#include <algorithm>
#include <chrono>

namespace gorsetrail::quota {

void StaticShares::admit(const tenant::Tenant& tenant, ProgramStage /*stage*/, Callback callback) {
  if (!tenant.quota.isLimited()) {
    callback({QuotaVerdict::Granted, Duration::zero()});
    return;
  }
  const Instant now = clock_();
  const double share = share_();
  const double rate = tenant.quota.requestsPerSecond * share;
  const double capacity = std::max(1.0, tenant.quota.burst * share);
  const auto [entry, isNew] = accounts_.try_emplace(tenant.name, Account{capacity, now});
  Account& account = entry->second;
  const std::chrono::duration<double> passed = now - account.refilledAt;
  account.level = std::min(account.level + rate * passed.count(), capacity);
  account.refilledAt = now;
  if (account.level >= 1.0) {
    account.level -= 1.0;
    callback({QuotaVerdict::Granted, Duration::zero()});
    return;
  }
  const std::chrono::duration<double> wait((1.0 - account.level) / rate);
  callback({QuotaVerdict::OverLimit, std::chrono::duration_cast<Duration>(wait)});
}

void StaticShares::returnToken(const std::string& tenant) {
  const auto found = accounts_.find(tenant);
  if (found != accounts_.end()) {
    found->second.level += 1.0;
  }
}

}  // namespace gorsetrail::quota
