#include "routing/tenant_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gorsetrail::routing {

double waterLevel(std::vector<TenantDemand> demands, double capacity) {
  std::sort(demands.begin(), demands.end(),
            [](const TenantDemand& left, const TenantDemand& right) {
              return left.load * right.weight < right.load * left.weight;
            });
  double weights = 0;
  for (const TenantDemand& demand : demands) {
    weights += demand.weight;
  }
  double left = capacity;
  for (const TenantDemand& demand : demands) {
    const double level = left / weights;
    if (demand.load > level * demand.weight) {
      return std::max(0.0, level);
    }
    left -= demand.load;
    weights -= demand.weight;
  }
  return std::numeric_limits<double>::infinity();
}

void TenantShares::update(const TenantSharesInput& input) {
  limited_.clear();
  if (!input.tenants || input.tenants->tenants().empty()) {
    divisions_.clear();
    return;
  }
  const std::size_t reporting = input.fleet.reportingNodes;
  const auto otherNodes = static_cast<double>(input.otherNodes);
  const bool isLoadKnown = reporting > 0 || input.otherNodes == 0;
  const double part = isLoadKnown ? 1.0 : 1.0 / (otherNodes + 1);
  requestsPerReport_ =
      reporting == 0 ? 1.0 : std::max(1.0, otherNodes / static_cast<double>(reporting));
  std::set<NameHash> present;
  for (const SharedService& service : input.services) {
    const NameHash hash = nameHashOf(service.service);
    present.insert(hash);
    updateScarcity(service, part);
    Division& division = divisions_[hash];
    if (division.state.isScarce || !division.uses.empty()) {
      refreshWeights(input.tenants);
      divide(hash, division, input);
    }
  }
  std::erase_if(divisions_, [&](const auto& entry) { return !present.contains(entry.first); });
}

void TenantShares::updateScarcity(const SharedService& service, double part) {
  ServiceScarcity& state = divisions_[nameHashOf(service.service)].state;
  state.service = service.service;
  state.load = service.load;
  state.capacity = service.limitPerSlot * service.slots * part;
  const double threshold = state.isScarce ? knobs_.scarceUntil : knobs_.scarceFrom;
  state.isScarce = state.capacity > 0 && state.load >= threshold * state.capacity;
}

void TenantShares::refreshWeights(const std::shared_ptr<const tenant::TenantDirectory>& tenants) {
  if (tenants_ == tenants) {
    return;
  }
  tenants_ = tenants;
  weights_.clear();
  double sum = 0;
  std::size_t limited = 0;
  for (const tenant::Tenant& tenant : tenants_->tenants()) {
    sum += tenant.quota.requestsPerSecond;
    limited += tenant.quota.isLimited() ? 1 : 0;
  }
  const double mean = limited == 0 ? 1.0 : sum / static_cast<double>(limited);
  for (const tenant::Tenant& tenant : tenants_->tenants()) {
    const double weight = tenant.quota.isLimited() ? tenant.quota.requestsPerSecond : mean;
    weights_.insert_or_assign(nameHashOf(tenant.name), WeightedTenant{&tenant, weight});
  }
}

std::unordered_map<NameHash, TenantShare> TenantShares::loadsAt(
    NameHash service, const TenantSharesInput& input) const {
  std::unordered_map<NameHash, TenantShare> uses;
  const auto add = [&](const auto& loads) {
    for (auto load = loads.lower_bound({service, 0});
         load != loads.end() && load->first.first == service; ++load) {
      if (weights_.contains(load->first.second)) {
        uses[load->first.second].load += load->second;
      }
    }
  };
  add(input.fleet.tenantLoads);
  add(ownLoads_.all());
  return uses;
}

void TenantShares::divide(NameHash service, Division& division, const TenantSharesInput& input) {
  const auto previous = std::exchange(division.uses, loadsAt(service, input));
  std::vector<TenantDemand> demands;
  demands.reserve(division.uses.size());
  for (const auto& [tenant, use] : division.uses) {
    demands.push_back({use.load, weights_.at(tenant).weight});
  }
  // A tenant alone may use everything: nobody else needs the rest.
  const bool isDivided = division.state.isScarce && demands.size() > 1;
  const double level =
      isDivided ? waterLevel(std::move(demands), knobs_.divided * division.state.capacity)
                : std::numeric_limits<double>::infinity();
  for (const auto& [tenant, use] : previous) {
    if (use.admitted < 1.0 && weights_.contains(tenant)) {
      division.uses.try_emplace(tenant).first->second.admitted = use.admitted;
    }
  }
  for (auto& [tenant, use] : division.uses) {
    const WeightedTenant& known = weights_.at(tenant);
    use.share = level * known.weight;
    use.admitted = admittedFraction(use, division.state.isScarce);
    if (use.admitted < 1.0) {
      limited_.push_back({division.state.service, known.tenant->name, use});
    }
  }
  std::erase_if(division.uses, [](const auto& entry) { return entry.second.admitted >= 1.0; });
}

// One standard deviation of a count of `share` requests, of which only some are reported, is
// tolerated before a tenant is limited.
double TenantShares::admittedFraction(const TenantShare& use, bool isScarce) const {
  const double ratio =
      use.load > 0 ? use.share / use.load : std::numeric_limits<double>::infinity();
  if (use.admitted < 1.0) {
    const double rise = isScarce ? knobs_.largestRise : knobs_.riseWithCapacity;
    const double admitted = use.admitted * std::clamp(ratio, knobs_.largestFall, rise);
    return std::clamp(admitted, knobs_.leastAdmitted, 1.0);
  }
  const double tolerance = std::max(knobs_.minimumTolerance * requestsPerReport_,
                                    std::sqrt(use.share * requestsPerReport_));
  return use.load > use.share + tolerance ? std::max(ratio, knobs_.leastAdmitted) : 1.0;
}

std::optional<TenantShare> TenantShares::limitOf(std::string_view service,
                                                 std::string_view tenant) const {
  const auto division = divisions_.find(nameHashOf(service));
  if (division == divisions_.end()) {
    return std::nullopt;
  }
  const auto use = division->second.uses.find(nameHashOf(tenant));
  return use == division->second.uses.end() ? std::nullopt : std::optional(use->second);
}

bool admitsStart(const TenantShare& use, std::string_view attempt) {
  constexpr double kHashCount = 18446744073709551616.0;  // Number of hash values: 2^64.
  // A seed of its own: the sample must not depend on that of `AdmissionPolicy::mayOverflow`.
  constexpr std::uint64_t kSeed = 1;
  const std::uint64_t hash = XXH64(attempt.data(), attempt.size(), kSeed);
  return static_cast<double>(hash) < use.admitted * kHashCount;
}

std::vector<ServiceScarcity> TenantShares::services() const {
  std::vector<ServiceScarcity> states;
  states.reserve(divisions_.size());
  for (const auto& [hash, division] : divisions_) {
    states.push_back(division.state);
  }
  std::sort(states.begin(), states.end(),
            [](const ServiceScarcity& left, const ServiceScarcity& right) {
              return left.service < right.service;
            });
  return states;
}

}  // namespace gorsetrail::routing
