/// \file Zones that operators have taken out of service. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// The evacuated zones as last read from the store, which holds the operators' records. Nothing
/// survives a restart: until the first complete listing it is unknown which zones are evacuated.
class EvacuationTable {
 public:
  /// Handles a created record.
  /// \return whether the zone is newly evacuated.
  bool onEvacuated(const std::string& zone, Instant now);
  /// Handles a removed record.
  /// \return whether the zone was evacuated before.
  bool onTakenBack(const std::string& zone);
  /// Replaces the table by a complete listing, which also ends evacuations whose removal was lost
  /// with truncated history.
  /// \return the zones that are no longer evacuated.
  std::vector<std::string> onListed(const std::vector<std::string>& zones);

  [[nodiscard]] bool isKnown() const { return isListingRead_; }
  [[nodiscard]] bool isEvacuated(std::string_view zone) const { return since_.contains(zone); }
  /// \return the evacuated zones, each with the time at which this node learned of it.
  [[nodiscard]] const std::map<std::string, Instant, std::less<>>& zones() const { return since_; }

 private:
  bool isListingRead_ = false;
  std::map<std::string, Instant, std::less<>> since_;
};

/// Retry delays of `EvacuationRule`.
struct EvacuationRuleKnobs {
  /// Used if every zone is evacuated. A rule of thumb, since nobody knows how long that lasts: as
  /// long as one step of an operator.
  Duration retryAfterEvacuated = milliseconds(1000);
  /// Used until the first listing has been read, which happens shortly after the process starts.
  Duration retryAfterUnknown = milliseconds(250);
};

/// Excludes replicas in evacuated zones, and all replicas until this node has read which zones are
/// evacuated. Streams that already run at such a replica may finish.
class EvacuationRule final : public PlacementRule {
 public:
  /// \param table outlives this object.
  EvacuationRule(const EvacuationTable& table, EvacuationRuleKnobs knobs)
      : table_(table), knobs_(knobs) {}

  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const override;
  [[nodiscard]] Duration retryAfter(ExclusionReason reason) const override;

 private:
  const EvacuationTable& table_;
  EvacuationRuleKnobs knobs_;
};

}  // namespace gorsetrail::routing
