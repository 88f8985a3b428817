/// \file Tenant configuration types.
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

/// Keyed digest of an API key. The key itself is never stored, logged or forwarded.
struct ApiKeyDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> bytes{};
};

/// Rate limit of a tenant across all nodes.
struct Quota {
  double requestsPerSecond = 0;
  double burst = 0;  ///< Requests allowed above the rate.

  /// \return whether there is a limit; a rate of 0 means none.
  [[nodiscard]] bool isLimited() const { return requestsPerSecond > 0; }
  bool operator==(const Quota&) const = default;
};

/// Highest valid priority value; 0 is the most urgent.
inline constexpr std::uint32_t kLeastUrgentPriority = 9;

/// A customer of the deployment.
struct Tenant {
  std::string name;
  std::vector<ApiKeyDigest> keys;         ///< Two during key rotation.
  std::optional<std::uint32_t> priority;  ///< Overrides the route's priority.
  Quota quota;
  /// Regions that may serve, cache and store its requests; empty: any.
  std::set<std::string, std::less<>> allowedRegions{};
};

}  // namespace gorsetrail::tenant
