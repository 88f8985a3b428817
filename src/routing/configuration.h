/// \file What operators have put in force, as typed values: routes, services and client limits.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::routing {

class RegionPolicy;

/// Version of a configuration; it only rises, by uneven steps.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
  Safe,       ///< May run more than once.
  Unsafe,     ///< Runs at most once for each client attempt.
  Streaming,  ///< A series of events; unsafe unless the route is resumable.
};

/// One part of a route's traffic. `weight` is relative to the other parts'.
struct WeightedService {
  std::string service;
  double weight = 1.0;
};

/// A route: requests of one host whose path begins with a prefix.
struct Route {
  std::string name;
  std::string host;        ///< Lower case, without a port.
  std::string pathPrefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::Safe;
  Duration timeout = seconds(4);
  Duration targetLatency = milliseconds(200);
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  std::uint32_t maximumAttempts = 1;  ///< Replicas that one client attempt may run on.
  bool persisted = false;             ///< Finished turns are kept and may be continued.
  bool resumable = false;             ///< A stream may go on at another replica.
  bool authenticationExempt = false;  ///< Requests need no API key.
  /// Regions that may serve, cache and store its requests; empty: any.
  std::set<std::string, std::less<>> allowedRegions{};

  /// \return whether a request that may have run can be sent to another replica.
  [[nodiscard]] bool isIdempotent() const {
    return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
  }
};

/// Model replicas of a service; only some services have one.
struct EngineProfile {
  std::uint32_t slots = 0;           ///< Requests in one batch.
  std::uint32_t tokensPerEvent = 1;  ///< Tokens that one event of a stream stands for.
  /// Tokens that one replica holds, of running requests and kept prompts; 0: not told.
  std::uint64_t memoryTokens = 0;

  /// \return whether the memory holds a prompt with the most that is generated for it, in tokens.
  [[nodiscard]] bool holds(std::uint64_t prompt, std::uint64_t generated) const {
    return memoryTokens == 0 || (prompt <= memoryTokens && generated <= memoryTokens - prompt);
  }
};

/// Replicas of one kind, by the name that routes use.
struct Service {
  std::string name;
  std::string healthPath;
  std::uint32_t maximumConnections = 0;  ///< To one replica, from all callers together.
  std::optional<EngineProfile> engine;
  /// A replica is cold for so long after its start, and may become so again; zero: never.
  Duration coldTime = Duration::zero();
  /// Requests a second that a cold replica bears, from all nodes together; 0: no bound.
  double coldRequestsPerSecond = 0;
};

/// Bounds on what a client may send.
struct ClientLimits {
  std::uint32_t maximumHeadBytes = 16 * 1024;
  std::uint64_t maximumBodyBytes = std::uint64_t{4} * 1024 * 1024;
};

/// One whole configuration.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  ClientLimits limits;
  /// Null: requests need no API key.
  std::shared_ptr<const tenant::TenantDirectory> tenants;
  /// Null: every request may go anywhere.
  std::shared_ptr<const RegionPolicy> regions;
};

}  // namespace gorsetrail::routing
