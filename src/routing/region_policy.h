/// \file Regions in which each request may be served, cached and stored. No I/O, no clock.
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

/// Regions and zones to which a request is limited.
struct AllowedPlaces {
  /// Empty if the route and the tenant have no allowed region in common: no replica may serve it.
  RegionSet regions;
  /// Zones whose nodes may store the request's text, nearest to this node first; empty: all zones.
  std::vector<std::string> zones;
};

/// The allowed regions of one configuration; immutable. A request must satisfy the limits of both
/// its route and its tenant.
class RegionPolicy {
 public:
  /// Errors: `InvalidBundle` if a route or a tenant names an unknown region. The whole
  /// configuration is rejected, because dropping the name could leave an empty list, which allows
  /// every region.
  /// \param zone of this node.
  static Result<RegionPolicy> make(const Configuration& configuration, const ZoneTable& zones,
                                   std::string_view zone);

  /// \return the limits of a request; null: none. Valid as long as the policy exists.
  [[nodiscard]] const AllowedPlaces* placesOf(const Route& route,
                                              const tenant::Tenant* tenant) const;
  /// \return the union of the regions allowed by the host's limited routes; null if none of its
  /// routes is limited. Valid as long as the policy exists.
  [[nodiscard]] const RegionSet* regionsOfHost(std::string_view host) const;

 private:
  RegionPolicy() = default;
  void addHost(const Route& route);

  /// Keyed by route (host and path) and tenant; each part is empty if it sets no limit.
  std::map<std::pair<std::string, std::string>, AllowedPlaces> places_;
  /// Returned for unknown routes and tenants with a limit: excludes all replicas.
  AllowedPlaces noAllowedPlaces_;
  std::map<std::string, RegionSet, std::less<>> byHost_;
};

}  // namespace gorsetrail::routing
