/// \file Counts this node's requests in flight by service and tenant. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/fleet_load.h"

namespace gorsetrail::routing {

/// This node's requests in flight, by service and tenant. Its size is bounded by the requests in
/// flight.
class TenantLoadTable {
 public:
  /// Service and tenant.
  using Key = std::pair<NameHash, NameHash>;

  /// Counts a dispatch. Each call requires one call of `endRequest` with the same names.
  void beginRequest(std::string_view service, std::string_view tenant);
  void endRequest(std::string_view service, std::string_view tenant);

  /// \return requests in flight.
  [[nodiscard]] std::uint32_t inFlight(Key key) const;
  [[nodiscard]] const std::map<Key, std::uint32_t>& all() const { return inFlight_; }
  /// \return the largest loads, at most `limit`, for this node's load digest.
  [[nodiscard]] std::vector<TenantLoad> largest(std::size_t limit) const;

 private:
  std::map<Key, std::uint32_t> inFlight_;
};

}  // namespace gorsetrail::routing
