/// \file Decides in whose name a request is made. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "tenant/tenant.h"
#include "tenant/tenant_directory.h"

namespace gorsetrail::tenant {

/// The request may be served; null: in nobody's name.
struct Authenticated {
  const Tenant* tenant = nullptr;
};
/// No configuration that this node can be sure of knows the key.
struct Unauthenticated {};
/// A newer configuration than this node's may know the key.
struct AuthenticationUncertain {};
using Authentication = std::variant<Authenticated, Unauthenticated, AuthenticationUncertain>;

/// \param directory null when the configuration asks for no keys.
/// \param key absent when the request carries none, or several.
/// \param isExempt the route serves requests without a key.
/// \param isConfigurationFresh the store confirmed the configuration a moment ago.
Authentication authenticate(const TenantDirectory* directory,
                            const std::optional<ApiKeyDigest>& key, bool isExempt,
                            bool isConfigurationFresh);

}  // namespace gorsetrail::tenant
