#include "lab/faultsoak/tenant_share_watcher.h"

#include <algorithm>

namespace gorsetrail::lab {

void TenantShareWatcher::onLoads(const std::map<std::string, std::size_t>& held, double slots,
                                 const std::vector<std::string>& overloading, Instant now) {
  slots_ = slots;
  overloading_ = {overloading.begin(), overloading.end()};
  for (const auto& [tenant, weight] : weights_) {
    const auto found = held.find(tenant);
    const double seen = found == held.end() ? 0 : static_cast<double>(found->second);
    double& load = loads_[tenant];
    load += limits_.smoothing * (seen - load);
  }
  for (const auto& [tenant, load] : loads_) {
    if (isWronged(tenant)) {
      wrongedSince_.try_emplace(tenant, now);
    } else {
      wrongedSince_.erase(tenant);
    }
  }
}

void TenantShareWatcher::onTurn(const std::string& program, const std::string& tenant, bool refused,
                                Instant now) {
  const auto found = wrongedSince_.find(tenant);
  if (found == wrongedSince_.end() || !refused) {
    refusedSince_.erase(program);
  } else {
    onRefusedInARow(program, tenant, now);
  }
  if (found != wrongedSince_.end() && now - found->second > limits_.longestRefusal) {
    LateTries& late = lateTries_[tenant];
    ++late.tries;
    late.refused += refused ? 1 : 0;
  }
}

void TenantShareWatcher::onRefusedInARow(const std::string& program, const std::string& tenant,
                                         Instant now) {
  // A tenant that was not wronged meanwhile begins anew.
  Instant& since = refusedSince_.try_emplace(program, now).first->second;
  since = std::max(since, wrongedSince_[tenant]);
  if (now - since > limits_.longestRefusal && told_.insert(program).second) {
    violations_.add({"a_tenant_below_its_share_is_served", program,
                     tenant + ": refused for " + std::to_string((now - since) / milliseconds(1)) +
                         " ms with a load of " + std::to_string(loads_[tenant]) +
                         " and a share of " + std::to_string(shareOf(tenant))});
  }
}

void TenantShareWatcher::forget() {
  stop();
  lateTries_.clear();
}

void TenantShareWatcher::stop() {
  loads_.clear();
  wrongedSince_.clear();
  refusedSince_.clear();
}

void TenantShareWatcher::check() {
  for (const auto& [tenant, late] : lateTries_) {
    const double most = limits_.mostRefused * static_cast<double>(late.tries);
    if (late.tries >= limits_.leastTries && static_cast<double>(late.refused) > most) {
      violations_.add({"a_tenant_below_its_share_is_served", "",
                       tenant + ": " + std::to_string(late.refused) + " of " +
                           std::to_string(late.tries) + " turns were refused"});
    }
  }
  stop();
}

bool TenantShareWatcher::isWronged(const std::string& tenant) const {
  const auto own = loads_.find(tenant);
  return own != loads_.end() && own->second < shareOf(tenant) &&
         std::any_of(loads_.begin(), loads_.end(), [&](const auto& other) {
           return other.first != tenant && asksForMoreThanItsShare(other.first);
         });
}

bool TenantShareWatcher::asksForMoreThanItsShare(const std::string& tenant) const {
  const auto load = loads_.find(tenant);
  return overloading_.contains(tenant) || (load != loads_.end() && load->second > shareOf(tenant));
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
