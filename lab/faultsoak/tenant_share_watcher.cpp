#include "lab/faultsoak/tenant_share_watcher.h"

#include <algorithm>

namespace gorsetrail::lab {

void TenantShareWatcher::onLoads(const std::map<std::string, std::size_t>& held, double slots) {
  slots_ = slots;
  for (const auto& [tenant, weight] : weights_) {
    const auto found = held.find(tenant);
    const double seen = found == held.end() ? 0 : static_cast<double>(found->second);
    double& load = loads_[tenant];
    load += limits_.smoothing * (seen - load);
  }
  for (auto entry = refusals_.begin(); entry != refusals_.end();) {
    entry = isWronged(entry->second.tenant) ? std::next(entry) : refusals_.erase(entry);
  }
}

void TenantShareWatcher::onRefused(const std::string& program, const std::string& tenant,
                                   Instant now) {
  if (!isWronged(tenant)) {
    return;
  }
  const Instant since = refusals_.try_emplace(program, Refusals{tenant, now}).first->second.since;
  if (now - since > limits_.longestRefusal && told_.insert(program).second) {
    violations_.add({"a_tenant_below_its_share_is_served", program,
                     tenant + " was refused for " +
                         std::to_string((now - since) / milliseconds(1)) + " ms with a load of " +
                         std::to_string(loads_[tenant]) + " and a share of " +
                         std::to_string(shareOf(tenant))});
  }
}

void TenantShareWatcher::forget() {
  loads_.clear();
  refusals_.clear();
}

bool TenantShareWatcher::isWronged(const std::string& tenant) const {
  const auto own = loads_.find(tenant);
  return own != loads_.end() && own->second < shareOf(tenant) &&
         std::any_of(loads_.begin(), loads_.end(),
                     [this](const auto& other) { return other.second > shareOf(other.first); });
}

double TenantShareWatcher::shareOf(const std::string& tenant) const {
  double sum = 0;
  for (const auto& [name, weight] : weights_) {
    sum += weight;
  }
  const auto found = weights_.find(tenant);
  return found == weights_.end() ? 0 : slots_ * found->second / sum;
}

}  // namespace gorsetrail::lab
