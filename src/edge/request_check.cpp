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

/// \return whether the active configuration is recent enough to refuse a request permanently for
/// something that it lacks.
bool isConfigurationFresh(const EdgeContext& context, Instant now) {
  return now - context.storeReadTimes.configurationReadAt <= context.knobs.maximumConfigurationAge;
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

// A route and a tenant with disjoint allowed regions are a valid configuration as long as the
// tenant does not use the route. Therefore the request is refused, not the configuration.
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

void setService(CheckedRequest& request, const std::string& name) {
  request.service = name;
  request.hasEngine = false;
  request.tokensPerEvent = 1;
  const auto& services = request.configuration->services;
  const auto service = services.find(request.service);
  if (service != services.end() && service->second.engine) {
    request.hasEngine = true;
    request.tokensPerEvent = std::max(1U, service->second.engine->tokensPerEvent);
  }
}

// Engines refuse a request that exceeds their memory as if they were busy, so that each attempt
// would use up quota and try several replicas. The status is 503 without a retry-after, because the
// request is valid and a later configuration may raise the limit.
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
  request.previousTurnName = tenant::scopedName(scope, call.previousTurnId);
  request.programName = tenant::scopedName(scope, call.programId);
}

}  // namespace

bool sendToService(CheckedRequest& request, const std::string& service) {
  const auto& allowed = request.route->services;
  const bool isAllowed =
      std::any_of(allowed.begin(), allowed.end(), [&](const routing::WeightedService& one) {
        return one.service == service && one.weight > 0;
      });
  if (isAllowed && service != request.service) {
    setService(request, service);
  }
  return isAllowed;
}

RequestCheck checkRequest(EdgeContext& context, const CallRequest& call, Instant now) {
  RequestCheck check;
  check.refusal = findRoute(context, call, now, check.request);
  if (!check.refusal) {
    setService(check.request, context.routes.nextService(*check.request.route));
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
  const std::uint32_t routePriority = check.request.route->priority;
  const tenant::Tenant* const tenant = check.request.tenant;
  check.request.priority =
      tenant == nullptr ? routePriority : tenant->priority.value_or(routePriority);
  nameForLedger(call, check.request);
  return check;
}

}  // namespace gorsetrail::edge
