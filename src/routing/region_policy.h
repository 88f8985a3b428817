/// \file Where each request of a configuration may be served, cached and stored. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"
#include "routing/configuration.h"
#include "routing/locality.h"
#include "tenant/tenant.h"

namespace gorsetrail::routing {

/// The places that a limited request may come to.
struct AllowedPlaces {
  /// Empty where the route and the tenant allow no region in common: it can be served nowhere.
  RegionSet regions;
  /// Zones whose nodes may hold its text, nearest to this node first; empty where all may.
  std::vector<std::string> zones;
};

/// The allowed regions of one configuration, worked out once when it is read; immutable. Both
/// limits bind where the route and the tenant have one.
class RegionPolicy {
 public:
  /// \param zone this node's own.
  /// Errors: `InvalidBundle` when a route or a tenant names a region that the deployment does not
  /// have. Such a configuration is refused whole: leaving the name out could leave an empty list,
  /// which allows every region.
  static Result<RegionPolicy> make(const Configuration& configuration, const ZoneTable& zones,
                                   std::string_view zone);

  /// \return where a request may go; null: anywhere. It lives as long as the policy.
  [[nodiscard]] const AllowedPlaces* placesOf(const Route& route,
                                              const tenant::Tenant* tenant) const;
  /// \return the regions that a host's limited routes allow, all together; null where none of its
  /// routes has a limit. It lives as long as the policy.
  [[nodiscard]] const RegionSet* regionsOfHost(std::string_view host) const;

 private:
  RegionPolicy() = default;
  void addHost(const Route& route);

  /// By the route's host and path, and the tenant; either of them empty where it sets no limit.
  std::map<std::pair<std::string, std::string>, AllowedPlaces> places_;
  /// For a limit that the policy was not made with: rather nothing than everything.
  AllowedPlaces nowhere_;
  std::map<std::string, RegionSet, std::less<>> byHost_;
};

}  // namespace gorsetrail::routing
