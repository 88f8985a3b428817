/// \file Weighted max-min fair shares of tenants in the replicas of a service while its capacity is
/// scarce. Policy only: no I/O, no clock.
#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/fleet_load.h"
#include "routing/tenant_load_table.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::routing {

/// Thresholds of `TenantShares`.
struct TenantSharesKnobs {
  /// Load, as a fraction of the service's capacity, from which the capacity is scarce. Below it, a
  /// program that starts still finds a replica under the limit for starting programs.
  double scarceFrom = 0.9;
  /// Load below which the capacity is no longer scarce. With a limit of 1.2 per slot this is 0.9
  /// per slot, where slots begin to be free. The gap to `scarceFrom` exceeds the error of loads
  /// that are extrapolated from digests, so that the state does not change with each of them.
  double scarceUntil = 0.75;
  /// Fraction of the capacity that is divided among the tenants. The rest remains for tenants that
  /// are within their shares: if a tenant above its share could use all of it, admission control
  /// would refuse their programs as often as its own. With a limit of 1.2 per slot, 0.9 still
  /// keeps every slot in use.
  double divided = 0.9;
  /// Least load above its share, in requests at reporting nodes, at which a tenant is limited.
  /// Small tenants have loads of one or two requests.
  double minimumTolerance = 1.0;
  // The fraction of a limited tenant's programs that may start is multiplied by share / load at
  // each update, within these limits. Loads are known a third of a second late: a fraction that
  // rises faster overshoots, and then other tenants find full replicas until it has fallen again.
  double largestFall = 0.6;
  double largestRise = 1.04;
  /// Rise while the capacity is not scarce, so that a tenant at a tenth has everything back within
  /// a second.
  double riseWithCapacity = 1.3;
  /// The fraction does not fall below this, so that it can rise again.
  double leastAdmitted = 0.05;
};

/// Load and capacity of a service with engines.
struct SharedService {
  std::string_view service;
  /// Requests in flight at its replicas: this node's, and those of other nodes if known.
  double load = 0;
  double slots = 0;
  /// Load per slot up to which programs may start.
  double limitPerSlot = 0;
};

/// Inputs of `TenantShares::update`.
struct TenantSharesInput {
  std::vector<SharedService> services;
  /// Null: requests belong to no tenant.
  std::shared_ptr<const tenant::TenantDirectory> tenants;
  const FleetReports& fleet;
  std::size_t otherNodes = 0;  ///< Nodes that serve clients, without this node.
};

/// A tenant's use of a service.
struct TenantShare {
  double load = 0;   ///< Requests in flight.
  double share = 0;  ///< In requests; infinite while nothing is divided.
  /// Fraction (0 to 1) of the tenant's starting programs that keeps it at its share; below 1 the
  /// tenant is limited.
  double admitted = 1.0;
};

/// A tenant that is held at its share.
struct LimitedTenant {
  std::string service;
  std::string tenant;
  TenantShare figures;
};

/// State of a service for metrics and log lines.
struct ServiceScarcity {
  std::string service;
  bool isScarce = false;
  double load = 0;      ///< In requests.
  double capacity = 0;  ///< In requests.
};

/// Divides the capacity of each service with engines among the tenants that use it, by weight, as
/// long as it is scarce. A tenant's weight is its configured rate; a tenant without a limit has the
/// mean weight. What a tenant does not use raises the shares of the others at the next update; a
/// limited tenant grows into it by `largestRise`.
///
/// A tenant above its share is limited: only a fraction of its programs may start, which is
/// adjusted at each update until its load is its share. Refusing all of them until the load has
/// fallen would let the load oscillate, because a node learns of the other nodes' requests late.
///
/// A node that receives no digests although there are other nodes compares its own loads with its
/// equal part of the capacity.
class TenantShares {
 public:
  explicit TenantShares(TenantSharesKnobs knobs) : knobs_(knobs) {}

  /// \return this node's requests in flight, which the caller keeps current.
  [[nodiscard]] TenantLoadTable& ownLoads() { return ownLoads_; }

  /// Recomputes which services are scarce and the shares of their tenants.
  void update(const TenantSharesInput& input);

  /// \return the tenant's use as of the last update if it is limited; empty otherwise.
  [[nodiscard]] std::optional<TenantShare> limitOf(std::string_view service,
                                                   std::string_view tenant) const;
  /// \return the limited tenants as of the last update.
  [[nodiscard]] const std::vector<LimitedTenant>& limitedTenants() const { return limited_; }
  /// \return all services of the last update, ordered by name.
  [[nodiscard]] std::vector<ServiceScarcity> services() const;

 private:
  /// A tenant of the configuration and its weight.
  struct WeightedTenant {
    const tenant::Tenant* tenant = nullptr;
    double weight = 1.0;
  };
  /// The division of one service's capacity.
  struct Division {
    ServiceScarcity state;
    /// Limited tenants.
    std::unordered_map<NameHash, TenantShare> uses;
  };

  void updateScarcity(const SharedService& service, double part);
  void divide(NameHash service, Division& division, const TenantSharesInput& input);
  void refreshWeights(const std::shared_ptr<const tenant::TenantDirectory>& tenants);
  /// \return the loads of all tenants that have requests in flight at the service.
  [[nodiscard]] std::unordered_map<NameHash, TenantShare> loadsAt(
      NameHash service, const TenantSharesInput& input) const;
  /// \param use contains the fraction that was admitted before.
  /// \return the fraction to admit until the next update.
  [[nodiscard]] double admittedFraction(const TenantShare& use, bool isScarce) const;

  TenantSharesKnobs knobs_;
  TenantLoadTable ownLoads_;
  std::shared_ptr<const tenant::TenantDirectory> tenants_;
  std::unordered_map<NameHash, WeightedTenant> weights_;
  std::map<NameHash, Division> divisions_;
  std::vector<LimitedTenant> limited_;
  /// Requests that one reported request stands for.
  double requestsPerReport_ = 1.0;
};

/// Samples starting programs of a limited tenant. Each attempt is sampled independently, so that
/// all nodes together admit the fraction without coordination.
/// \param attempt unique id of the attempt.
/// \return whether the program may start.
[[nodiscard]] bool admitsStart(const TenantShare& use, std::string_view attempt);

/// A tenant's load and weight at one service.
struct TenantDemand {
  double load = 0;
  double weight = 1.0;
};

/// Divides a capacity by weighted max-min fairness (water-filling): each tenant gets its load or
/// `level * weight`, whichever is less. Takes time n log n for n tenants.
/// \return the level; infinite if the capacity covers all loads.
[[nodiscard]] double waterLevel(std::vector<TenantDemand> demands, double capacity);

}  // namespace gorsetrail::routing
