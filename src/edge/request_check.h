/// \file What the configuration in force says of a request, before anything is done for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "edge/call_request.h"
#include "edge/edge_context.h"
#include "ledger/ledger.h"
#include "routing/configuration.h"
#include "routing/region_policy.h"
#include "routing/route_table.h"
#include "tenant/tenant.h"

namespace gorsetrail::edge {

/// A request as the configuration knows it. Ownership: `configuration` keeps `route` and `tenant`
/// alive.
struct CheckedRequest {
  routing::ConfigurationPtr configuration;
  const routing::Route* route = nullptr;
  const tenant::Tenant* tenant = nullptr;  ///< Null: in nobody's name.
  /// Where it may be served, cached and stored; null: anywhere.
  const routing::AllowedPlaces* places = nullptr;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  // Names under which the ledger keeps the request, see `tenant::scopedName`.
  std::string turnName;
  std::string previousTurnName;
  std::string programName;
  std::string service;
  std::uint64_t tokensPerEvent = 1;
  bool hasEngine = false;  ///< The service's replicas are model engines.

  [[nodiscard]] bool isStreaming() const { return route->kind == routing::RouteKind::Streaming; }
  [[nodiscard]] ledger::TurnZones turnZones() const {
    return places == nullptr ? ledger::TurnZones() : places->zones;
  }
  [[nodiscard]] std::string routeName() const {
    return route == nullptr ? std::string() : route->name;
  }
  [[nodiscard]] std::string tenantName() const {
    return tenant == nullptr ? std::string() : tenant->name;
  }
};

/// The outcome of a check. A refused request is filled as far as it was looked at.
struct RequestCheck {
  CheckedRequest request;
  std::optional<Refusal> refusal;
};

/// Finds the route and in whose name the request is made. \param now the request's arrival.
[[nodiscard]] RequestCheck checkRequest(EdgeContext& context, const CallRequest& call, Instant now);

}  // namespace gorsetrail::edge
