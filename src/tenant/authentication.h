/// \file Authentication of requests by API key. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "tenant/tenant.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::tenant {

/// The request may be served; `tenant` is null for an anonymous request.
struct Authenticated {
  const Tenant* tenant = nullptr;
};
/// The request has no key, or a confirmed configuration does not contain its key.
struct Unauthenticated {};
/// The key is unknown here, but a newer configuration than this node's may contain it.
struct AuthenticationUncertain {};
using Authentication = std::variant<Authenticated, Unauthenticated, AuthenticationUncertain>;

/// Decides whether a request may be served, by its API key.
/// \param directory null if the configuration requires no keys.
/// \param key empty if the request carries none or several.
/// \param isExempt whether the route serves requests without a key.
/// \param isConfigurationFresh whether the store has recently confirmed the configuration.
Authentication authenticate(const TenantDirectory* directory,
                            const std::optional<ApiKeyDigest>& key, bool isExempt,
                            bool isConfigurationFresh);

}  // namespace gorsetrail::tenant
