#include "edge/request_check.h"

#include <algorithm>
#include <utility>

#include "edge/exchange_shared.h"
#include "tenant/authentication.h"
#include "tenant/scoped_name.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;

/// \return whether what is not in the configuration in force is not in the newest one either.
bool isConfigurationFresh(const EdgeContext& context, Instant now) {
  return now - context.freshness.configurationHeardAt <= context.knobs.configurationTrust;
}

std::optional<Refusal> findRoute(EdgeContext& context, const CallRequest& call, Instant now,
                                 CheckedRequest& request) {
  request.configuration = context.routes.inForce();
  if (!request.configuration) {
    return Refusal{kUnavailable, "no_configuration", context.knobs.retryAfterStore};
  }
  request.route = context.routes.match(call.host, call.path());
  if (request.route == nullptr) {
    if (isConfigurationFresh(context, now)) {
      return Refusal{kNotFound, "no_route", Duration::zero()};
    }
    return Refusal{kUnavailable, "configuration_too_old", context.knobs.retryAfterStore};
  }
  if (call.requestId.empty()) {
    return Refusal{kBadRequest, "no_request_id", Duration::zero()};
  }
  if (call.hasConflictingHeaders) {
    return Refusal{kBadRequest, "conflicting_headers", Duration::zero()};
  }
  return std::nullopt;
}

std::optional<Refusal> authenticate(const EdgeContext& context, const CallRequest& call,
                                    Instant now, CheckedRequest& request) {
  const tenant::Authentication decided =
      tenant::authenticate(request.configuration->tenants.get(), call.apiKey,
                           request.route->authenticationExempt, isConfigurationFresh(context, now));
  if (std::holds_alternative<tenant::Unauthenticated>(decided)) {
    return Refusal{kUnauthorized, call.apiKey ? "unknown_key" : "no_key", Duration::zero()};
  }
  if (std::holds_alternative<tenant::AuthenticationUncertain>(decided)) {
    return Refusal{kUnavailable, "configuration_too_old", context.knobs.retryAfterStore};
  }
  request.tenant = std::get<tenant::Authenticated>(decided).tenant;
  return std::nullopt;
}

// A route and a tenant may each keep to regions of their own, and share none, as long as the tenant
// never uses the route: so such requests are refused, and not the configuration.
std::optional<Refusal> findPlaces(const EdgeContext& context, Instant now,
                                  CheckedRequest& request) {
  if (!request.configuration->regions) {
    return std::nullopt;
  }
  request.places = request.configuration->regions->placesOf(*request.route, request.tenant);
  if (request.places == nullptr || !request.places->regions.empty()) {
    return std::nullopt;
  }
  if (isConfigurationFresh(context, now)) {
    return Refusal{kForbidden, "region_not_allowed_anywhere", Duration::zero()};
  }
  return Refusal{kUnavailable, "configuration_too_old", context.knobs.retryAfterStore};
}

void chooseService(EdgeContext& context, CheckedRequest& request) {
  request.service = context.routes.nextService(*request.route);
  const auto& services = request.configuration->services;
  const auto service = services.find(request.service);
  if (service != services.end() && service->second.engine) {
    request.hasEngine = true;
    request.tokensPerEvent = std::max(1U, service->second.engine->tokensPerEvent);
  }
}

// Engines refuse what their memory can't hold as if they were full: each try would use up its
// tenant's limit and ask several replicas. 503 without a time to come back, since the limit is the
// service's and not a fault of the request: a later configuration may raise it.
std::optional<Refusal> checkSize(const EdgeContext& context, const CallRequest& call, Instant now,
                                 const CheckedRequest& request) {
  if (!request.hasEngine || !isConfigurationFresh(context, now)) {
    return std::nullopt;
  }
  const routing::Service& service = request.configuration->services.find(request.service)->second;
  if (service.engine->holds(call.promptTokens, call.maximumTokens)) {
    return std::nullopt;
  }
  return Refusal{kUnavailable, "request_exceeds_engine_memory", Duration::zero()};
}

void nameForLedger(const CallRequest& call, CheckedRequest& request) {
  const std::string scope = request.tenantName();
  request.turnName = tenant::scopedName(scope, call.requestId);
  request.previousTurnName = tenant::scopedName(scope, call.previousTurn);
  request.programName = tenant::scopedName(scope, call.programId);
}

}  // namespace

RequestCheck checkRequest(EdgeContext& context, const CallRequest& call, Instant now) {
  RequestCheck check;
  check.refusal = findRoute(context, call, now, check.request);
  if (!check.refusal) {
    chooseService(context, check.request);
    check.refusal = authenticate(context, call, now, check.request);
  }
  if (!check.refusal) {
    check.refusal = findPlaces(context, now, check.request);
  }
  if (!check.refusal) {
    check.refusal = checkSize(context, call, now, check.request);
  }
  if (check.refusal) {
    return check;
  }
  const std::uint32_t ofRoute = check.request.route->priority;
  const tenant::Tenant* const tenant = check.request.tenant;
  check.request.priority = tenant == nullptr ? ofRoute : tenant->priority.value_or(ofRoute);
  nameForLedger(call, check.request);
  return check;
}

}  // namespace gorsetrail::edge
