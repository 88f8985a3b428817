/// \file Tenants as operators configure them. Types only.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gorsetrail::tenant {

/// Keyed digest of an API key. The key itself is never kept, logged or sent on.
struct ApiKeyDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> bytes{};
};

/// Requests that a tenant may make through all nodes together.
struct Quota {
  double requestsPerSecond = 0;
  double burst = 0;  ///< Requests above the rate.

  /// \return whether there is a limit; a rate of 0 sets none.
  [[nodiscard]] bool isLimited() const { return requestsPerSecond > 0; }
  bool operator==(const Quota&) const = default;
};

/// Priorities of replicas go from 0, the most urgent, to this.
inline constexpr std::uint32_t kLeastUrgentPriority = 9;

/// One customer of the deployment.
struct Tenant {
  std::string name;
  std::vector<ApiKeyDigest> keys;         ///< Two while a key is being replaced.
  std::optional<std::uint32_t> priority;  ///< Goes before the route's.
  Quota quota;
  /// Regions that may serve, cache and store its requests; empty: any.
  std::set<std::string, std::less<>> allowedRegions{};
};

}  // namespace gorsetrail::tenant
