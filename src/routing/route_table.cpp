#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// Number of initial phases; sufficient for weights in whole percent.
constexpr std::uint32_t kPhases = 200;

}  // namespace

std::string normalizedHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

std::string WeightedRoundRobin::next(const std::vector<WeightedService>& services) {
  for (; phase_ > 0; --phase_) {
    advance(services);
  }
  return advance(services);
}

std::string WeightedRoundRobin::advance(const std::vector<WeightedService>& services) {
  double total = 0;
  const WeightedService* chosen = nullptr;
  for (const WeightedService& candidate : services) {
    total += candidate.weight;
    double& credit = credit_[candidate.service];
    credit += candidate.weight;
    if (chosen == nullptr || credit > credit_[chosen->service]) {
      chosen = &candidate;
    }
  }
  if (chosen == nullptr) {
    return {};
  }
  credit_[chosen->service] -= total;
  return chosen->service;
}

bool RouteTable::apply(ConfigurationPtr configuration) {
  if (inForce_ && configuration->version <= inForce_->version) {
    return false;
  }
  inForce_ = std::move(configuration);
  byHost_.clear();
  rotations_.clear();
  for (const Route& route : inForce_->routes) {
    byHost_[normalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->pathPrefix.size() > right->pathPrefix.size();
    });
  }
  return true;
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const {
  const auto found = byHost_.find(normalizedHost(host));
  if (found == byHost_.end()) {
    return nullptr;
  }
  const auto route =
      std::find_if(found->second.begin(), found->second.end(), [&](const Route* candidate) {
        return path.substr(0, candidate->pathPrefix.size()) == candidate->pathPrefix;
      });
  return route == found->second.end() ? nullptr : *route;
}

std::string RouteTable::nextService(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  auto rotation = rotations_.find(route.name);
  if (rotation == rotations_.end()) {
    const auto phase = static_cast<std::uint32_t>(random_.below(kPhases));
    rotation = rotations_.emplace(route.name, WeightedRoundRobin(phase)).first;
  }
  return rotation->second.next(route.services);
}

}  // namespace gorsetrail::routing
