/// \file Validates a request against the active configuration before any other work is done.
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

/// Configuration that applies to a request. `configuration` keeps `route` and `tenant` alive.
struct CheckedRequest {
  routing::ConfigurationPtr configuration;
  const routing::Route* route = nullptr;
  const tenant::Tenant* tenant = nullptr;  ///< Null: the request belongs to no tenant.
  /// Where the request may be served, cached and stored; null: anywhere.
  const routing::AllowedPlaces* places = nullptr;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  // Keys of the request in the ledger, scoped to the tenant; see `tenant::scopedName`.
  std::string turnName;
  std::string previousTurnName;
  std::string programName;
  std::string service;
  std::uint64_t tokensPerEvent = 1;
  bool hasEngine = false;  ///< The service has an engine profile.

  [[nodiscard]] bool isStreaming() const { return route->kind == routing::RouteKind::Streaming; }
  [[nodiscard]] ledger::TurnZones turnZones() const {
    return places == nullptr ? ledger::TurnZones() : places->zones;
  }
  /// \return the path at which replicas of the service tell their health; empty: none.
  [[nodiscard]] std::string healthPath() const {
    const auto found = configuration->services.find(service);
    return found == configuration->services.end() ? std::string() : found->second.healthPath;
  }
  [[nodiscard]] std::string routeName() const {
    return route == nullptr ? std::string() : route->name;
  }
  [[nodiscard]] std::string tenantName() const {
    return tenant == nullptr ? std::string() : tenant->name;
  }
};

/// Result of `checkRequest`. If refused, `request` holds what was found before the refusal.
struct RequestCheck {
  CheckedRequest request;
  std::optional<Refusal> refusal;
};

/// Determines route, service, tenant and allowed places of a request.
/// \param now the request's arrival.
[[nodiscard]] RequestCheck checkRequest(EdgeContext& context, const CallRequest& call, Instant now);

/// Sends the request to this service instead of the selected one.
/// \return false, without a change, if its route does not lead there.
[[nodiscard]] bool sendToService(CheckedRequest& request, const std::string& service);

}  // namespace gorsetrail::edge
