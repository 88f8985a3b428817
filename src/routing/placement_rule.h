/// \file Interface of rules that exclude a replica from a request regardless of other replicas.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "routing/locality.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Why a replica is excluded from a request.
enum class ExclusionReason : std::uint8_t {
  Leaving,            ///< The replica is draining or was removed.
  ZoneEvacuated,      ///< The replica's zone is evacuated.
  EvacuationUnknown,  ///< This node has not yet read which zones are evacuated.
  ColdRateExhausted,  ///< The replica is cold, and this node's share of its rate limit is used up.
  RegionNotAllowed,   ///< The replica is outside the regions that the request is limited to.
  /// The request continues a stream that replicas of another software version began.
  OtherSoftwareVersion,
  /// The replica may have ended, and the request must not be counted against it.
  NoSignOfLife,
};

/// \return a stable snake_case name for log lines and refusals.
[[nodiscard]] std::string_view exclusionReasonName(ExclusionReason reason);

/// Properties of a request that rules take into account.
struct PlacementSubject {
  /// Regions that may serve the request; null: any.
  const RegionSet* allowedRegions = nullptr;
  /// The only software version that may serve the request; null: any.
  const std::string* softwareVersion = nullptr;
  /// Replicas may have ended under the request.
  bool needsSignOfLife = false;
};

/// A condition that excludes replicas from requests. All ways of sending a request apply the same
/// rules: first choice, retry, and resuming a stream. Implementations do no I/O.
class PlacementRule {
 public:
  PlacementRule() = default;
  virtual ~PlacementRule() = default;
  PlacementRule(const PlacementRule&) = delete;
  PlacementRule& operator=(const PlacementRule&) = delete;

  /// \return why the replica is excluded; empty if this rule allows it.
  [[nodiscard]] virtual std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                                   const PlacementSubject& subject,
                                                                   Instant now) const = 0;
  /// Called for each request sent to the replica, so that rules can count requests.
  virtual void onSent(const Replica& /*replica*/, Instant /*now*/) {}
  /// \return the name of the rate limit that admits a request to the replica, for a log line;
  /// empty if this rule does not limit the replica now. Call it before `onSent`.
  [[nodiscard]] virtual std::string_view grantNameOf(const Replica& /*replica*/,
                                                     Instant /*now*/) const {
    return {};
  }
  /// Called once per placement for each replica that this rule excluded.
  virtual void onExcluded(const Replica& /*replica*/) {}
  /// \return the retry delay to send to the client if only this rule prevented the placement.
  [[nodiscard]] virtual Duration retryAfter(ExclusionReason reason) const = 0;
};

}  // namespace gorsetrail::routing
