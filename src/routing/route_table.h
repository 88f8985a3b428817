/// \file The configuration in force and the choice of a route and of a service within it.
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

/// Immutable configurations are shared with the requests that were routed by them.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// \return the host as routes are found by it: lower case, without a port.
std::string normalizedHost(std::string_view host);

/// Spreads a route's requests over its services, exactly by weight: smooth weighted round robin.
class WeightedRotation {
 public:
  /// \param phase turns to skip at the start. Nodes that all began with the same service would
  /// give it too much together while each has had few requests.
  explicit WeightedRotation(std::uint32_t phase = 0) : phase_(phase) {}
  /// \return the service whose turn it is; empty when there is none.
  std::string next(const std::vector<WeightedService>& services);

 private:
  std::string advance(const std::vector<WeightedService>& services);

  std::uint32_t phase_;
  std::unordered_map<std::string, double> credit_;
};

/// Finds routes. The version in force never goes back in one life of the process.
class RouteTable {
 public:
  /// \param seed gives each route's rotation its phase; different at every node.
  explicit RouteTable(std::uint64_t seed = 0) : random_(seed) {}

  /// Puts a configuration in force. \return false when it is not newer than the one in force.
  bool apply(ConfigurationPtr configuration);

  /// \return the configuration in force; null before the first.
  [[nodiscard]] const ConfigurationPtr& inForce() const { return inForce_; }

  /// \return the route of the host with the longest prefix of the path; null when there is none.
  /// It lives as long as the configuration in force.
  [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

  /// \return the service that the route's next request goes to.
  std::string nextService(const Route& route);

 private:
  RandomSource random_;
  ConfigurationPtr inForce_;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
  std::unordered_map<std::string, WeightedRotation> rotations_;
};

}  // namespace gorsetrail::routing
