#include "routing/tenant_share_changes.h"

namespace gorsetrail::routing {

std::vector<TenantShareChange> TenantShareChanges::next(const std::vector<LimitedTenant>& limited,
                                                        Instant now) {
  for (auto& [key, state] : reported_) {
    state.isLimitedNow = false;
  }
  for (const LimitedTenant& tenant : limited) {
    const auto [entry, isNew] = reported_.try_emplace({tenant.service, tenant.tenant});
    entry->second.isLimitedNow = true;
    entry->second.use = tenant.figures;
    if (isNew) {
      entry->second.at = now - knobs_.interval;
    }
  }
  std::vector<TenantShareChange> changes;
  for (auto& [key, state] : reported_) {
    const bool isDue = state.isLimited != state.isLimitedNow && now - state.at >= knobs_.interval;
    if (isDue && changes.size() < knobs_.maximumChanges) {
      state.isLimited = state.isLimitedNow;
      state.at = now;
      changes.push_back({key.first, key.second, state.isLimited, state.use});
    }
  }
  // A tenant that is within its share and reported as such needs no entry after the interval.
  std::erase_if(reported_, [&](const auto& entry) {
    const Reported& state = entry.second;
    return !state.isLimited && !state.isLimitedNow && now - state.at >= knobs_.interval;
  });
  return changes;
}

}  // namespace gorsetrail::routing
