/// \file The active configuration, route matching and weighted choice of a service.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "routing/configuration.h"

namespace gorsetrail::routing {

/// Immutable; shared with the requests that were routed by it.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// \return the host in lower case, without a port, as used for route lookup.
std::string normalizedHost(std::string_view host);

/// Distributes a route's requests over its services by smooth weighted round robin.
class WeightedRoundRobin {
 public:
  /// \param phase initial turns to skip. Without different phases all nodes would start with the
  /// same service and send it too many requests.
  explicit WeightedRoundRobin(std::uint32_t phase = 0) : phase_(phase) {}
  /// \return the next service; empty if there is none.
  std::string next(const std::vector<WeightedService>& services);

 private:
  std::string advance(const std::vector<WeightedService>& services);

  std::uint32_t phase_;
  std::unordered_map<std::string, double> credit_;
};

/// Matches requests to routes. The active version never decreases while the process runs.
class RouteTable {
 public:
  /// \param seed for the initial phase of each route's rotation; must differ between nodes.
  explicit RouteTable(std::uint64_t seed = 0) : random_(seed) {}

  /// Activates a configuration.
  /// \return false if it is not newer than the active one.
  bool apply(ConfigurationPtr configuration);

  /// \return the active configuration; null before the first one.
  [[nodiscard]] const ConfigurationPtr& inForce() const { return inForce_; }

  /// \return the host's route with the longest matching path prefix; null if none matches. Valid as
  /// long as the configuration is active.
  [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

  /// \return the service for the route's next request.
  std::string nextService(const Route& route);

 private:
  RandomSource random_;
  ConfigurationPtr inForce_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
  std::unordered_map<std::string, WeightedRoundRobin> rotations_;
};

}  // namespace gorsetrail::routing
