/// \file Configuration published by operators, as typed values: routes, services, client limits.
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

/// Version of a configuration. Increases monotonically, but not always by one.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/// Whether requests of a route may be executed more than once.
enum class RouteKind : std::uint8_t {
  Safe,       ///< May be executed more than once.
  Unsafe,     ///< Executed at most once for each client attempt.
  Streaming,  ///< Answered by an event stream; unsafe unless the route is resumable.
};

/// A destination of a route. `weight` is relative to the other destinations of the route.
struct WeightedService {
  std::string service;
  double weight = 1.0;
};

/// Matches requests by host and path prefix.
struct Route {
  std::string name;
  std::string host;        ///< Lower case, without a port.
  std::string pathPrefix;  ///< Starts and ends with a slash.
  RouteKind kind = RouteKind::Safe;
  Duration timeout = seconds(4);
  Duration targetLatency = milliseconds(200);
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  std::uint32_t maximumAttempts = 1;  ///< Replicas that one client attempt may be sent to.
  bool persisted = false;             ///< Finished turns are stored and can be continued.
  bool resumable = false;             ///< A stream may be resumed at another replica.
  bool authenticationExempt = false;  ///< Requests need no API key.
  /// Regions that may serve, cache and store the route's requests; empty: any.
  std::set<std::string, std::less<>> allowedRegions{};

  /// \return whether a request that may already have been executed can be sent again.
  [[nodiscard]] bool isIdempotent() const {
    return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
  }
};

/// Capacity of a model replica. Set only for services that run an inference engine.
struct EngineProfile {
  std::uint32_t slots = 0;           ///< Maximum batch size, in requests.
  std::uint32_t tokensPerEvent = 1;  ///< Tokens in one event of a stream.
  /// Token capacity of one replica, shared by running requests and cached prompts; 0: unknown.
  std::uint64_t memoryTokens = 0;

  /// \return whether the memory holds the prompt and the maximum output, both in tokens.
  [[nodiscard]] bool holds(std::uint64_t prompt, std::uint64_t generated) const {
    return memoryTokens == 0 || (prompt <= memoryTokens && generated <= memoryTokens - prompt);
  }
};

/// Replicas of one kind, addressed by name in routes.
struct Service {
  std::string name;
  std::string healthPath;
  std::uint32_t maximumConnections = 0;  ///< To one replica, from all callers together.
  std::optional<EngineProfile> engine;
  /// Warm-up time after a start; a replica may also become cold later. Zero: never cold.
  Duration coldTime = Duration::zero();
  /// Rate that a cold replica can serve, from all nodes together; 0: no limit.
  double coldRequestsPerSecond = 0;
};

/// Limits of what clients may send, and how long they may take.
struct ClientLimits {
  std::uint32_t maximumHeadBytes = 16 * 1024;
  std::uint64_t maximumBodyBytes = std::uint64_t{4} * 1024 * 1024;
  Duration headTimeLimit = seconds(10);  ///< From the first byte of a head to its end.
  Duration idleTimeLimit = seconds(75);  ///< Between two requests of a connection.
};

/// A complete configuration of one version.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  ClientLimits limits;
  /// Null: requests need no API key.
  std::shared_ptr<const tenant::TenantDirectory> tenants;
  /// Null: no region limits apply.
  std::shared_ptr<const RegionPolicy> regions;
};

}  // namespace gorsetrail::routing
