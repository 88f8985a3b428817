/// \file Selects the changes of limited tenants that are logged. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/tenant_shares.h"

namespace gorsetrail::routing {

/// Limits of `TenantShareChanges`.
struct TenantShareChangesKnobs {
  /// Between two lines of one tenant at one service: a tenant whose load is near its share may be
  /// limited and released several times a second.
  Duration interval = seconds(1);
  /// Most changes in one call, so that an overload by hundreds of tenants does not fill the log.
  std::size_t maximumChanges = 2;
};

/// A tenant that was limited to its share, or is no longer.
struct TenantShareChange {
  std::string service;
  std::string tenant;
  bool isLimited = false;
  TenantShare use{};  ///< As of the last update in which the tenant was limited.
};

/// Compares the limited tenants with those that were last reported. A change above the limits is
/// reported by a later call, unless it has been reversed by then.
class TenantShareChanges {
 public:
  explicit TenantShareChanges(TenantShareChangesKnobs knobs) : knobs_(knobs) {}

  /// \return the changes to log now.
  std::vector<TenantShareChange> next(const std::vector<LimitedTenant>& limited, Instant now);

 private:
  /// Service and tenant.
  using Key = std::pair<std::string, std::string>;
  struct Reported {
    bool isLimited = false;
    bool isLimitedNow = false;
    Instant at;
    TenantShare use;
  };

  TenantShareChangesKnobs knobs_;
  std::map<Key, Reported> reported_;
};

}  // namespace gorsetrail::routing
