/// \file Rules that keep requests away from a replica, whatever the other replicas are like.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "routing/locality.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Why a replica must not get a request now.
enum class PlacementBar : std::uint8_t {
  Leaving,            ///< It drains or is gone.
  ZoneEvacuated,      ///< Operators have its zone evacuated.
  EvacuationUnknown,  ///< This node has not read yet which zones are evacuated.
  ColdRateSpent,      ///< It is cold, and this node's part of its rate is used up.
  RegionNotAllowed,   ///< The request may not leave its regions.
};

/// \return a stable snake_case name for log lines and refusals.
[[nodiscard]] std::string_view placementBarName(PlacementBar bar);

/// What rules may look at besides the replica.
struct PlacementSubject {
  /// Regions that may serve the request; null: any.
  const RegionSet* allowedRegions = nullptr;
};

/// One reason to keep a request away from a replica. Every way of a request to a replica asks the
/// same rules: first choice, retry, and resuming a stream where it ran. Decides without I/O.
class PlacementRule {
 public:
  PlacementRule() = default;
  virtual ~PlacementRule() = default;
  PlacementRule(const PlacementRule&) = delete;
  PlacementRule& operator=(const PlacementRule&) = delete;

  /// \return why the replica must not get the request; nothing when this rule allows it.
  [[nodiscard]] virtual std::optional<PlacementBar> barOf(const Replica& replica,
                                                          const PlacementSubject& subject,
                                                          Instant now) const = 0;
  /// The request was sent to the replica: rules that count requests count this one.
  virtual void onSent(const Replica& /*replica*/, Instant /*now*/) {}
  /// \return by what this rule allows the replica a request where it counts them, for a log line;
  /// empty: it does not limit the replica now. To be asked before `onSent`.
  [[nodiscard]] virtual std::string_view grantNameOf(const Replica& /*replica*/,
                                                     Instant /*now*/) const {
    return {};
  }
  /// A placement left the replica out because of this rule; once a placement and replica.
  virtual void onPassedOver(const Replica& /*replica*/) {}
  /// \return when it is worth asking again where only this rule kept a request from being placed.
  [[nodiscard]] virtual Duration retryAfter(PlacementBar bar) const = 0;
};

}  // namespace gorsetrail::routing
