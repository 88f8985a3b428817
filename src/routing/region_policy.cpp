#include "routing/region_policy.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "routing/route_table.h"

namespace gorsetrail::routing {
namespace {

/// \return an error if the limit names a region that the deployment does not have.
std::optional<Error> unknownRegion(const std::string& owner, const RegionSet& regions,
                                   const ZoneTable& zones) {
  for (const std::string& region : regions) {
    if (!zones.hasRegion(region)) {
      return Error{
          ErrorKind::InvalidBundle, owner + ".allowedRegions",
          "the deployment has no region '" + region + "'",
          "use only regions from the zone table in the settings, and publish a new version"};
    }
  }
  return std::nullopt;
}

std::string keyOf(const Route& route) { return route.host + route.pathPrefix; }

RegionSet intersectionOf(const RegionSet& one, const RegionSet& other) {
  RegionSet common;
  std::set_intersection(one.begin(), one.end(), other.begin(), other.end(),
                        std::inserter(common, common.end()));
  return common;
}

}  // namespace

Result<RegionPolicy> RegionPolicy::make(const Configuration& configuration, const ZoneTable& zones,
                                        std::string_view zone) {
  RegionPolicy policy;
  const auto add = [&](const std::string& route, const std::string& tenant,
                       const RegionSet& regions) {
    const bool isEverywhere = regions == zones.regions();
    // Among routes with the same host and path, the first one receives the requests.
    policy.places_.try_emplace({route, tenant},
                               AllowedPlaces{regions, isEverywhere ? std::vector<std::string>()
                                                                   : zones.zonesOf(regions, zone)});
  };
  std::vector<const tenant::Tenant*> limitedTenants;
  if (configuration.tenants) {
    for (const tenant::Tenant& tenant : configuration.tenants->tenants()) {
      if (tenant.allowedRegions.empty()) {
        continue;
      }
      if (auto error = unknownRegion("tenant " + tenant.name, tenant.allowedRegions, zones)) {
        return *error;
      }
      limitedTenants.push_back(&tenant);
      add({}, tenant.name, tenant.allowedRegions);
    }
  }
  for (const Route& route : configuration.routes) {
    if (route.allowedRegions.empty()) {
      continue;
    }
    if (auto error = unknownRegion("route " + route.name, route.allowedRegions, zones)) {
      return *error;
    }
    policy.addHost(route);
    add(keyOf(route), {}, route.allowedRegions);
    for (const tenant::Tenant* const tenant : limitedTenants) {
      add(keyOf(route), tenant->name, intersectionOf(route.allowedRegions, tenant->allowedRegions));
    }
  }
  return policy;
}

void RegionPolicy::addHost(const Route& route) {
  RegionSet& regions = byHost_[normalizedHost(route.host)];
  regions.insert(route.allowedRegions.begin(), route.allowedRegions.end());
}

const AllowedPlaces* RegionPolicy::placesOf(const Route& route,
                                            const tenant::Tenant* tenant) const {
  const bool routeLimits = !route.allowedRegions.empty();
  const bool tenantLimits = tenant != nullptr && !tenant->allowedRegions.empty();
  if (!routeLimits && !tenantLimits) {
    return nullptr;
  }
  const auto found = places_.find(
      {routeLimits ? keyOf(route) : std::string(), tenantLimits ? tenant->name : std::string()});
  return found == places_.end() ? &noAllowedPlaces_ : &found->second;
}

const RegionSet* RegionPolicy::regionsOfHost(std::string_view host) const {
  const auto found = byHost_.find(normalizedHost(host));
  return found == byHost_.end() ? nullptr : &found->second;
}

}  // namespace gorsetrail::routing
