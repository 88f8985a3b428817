/// \file Zones whose replicas get nothing further until operators take that back. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// The evacuated zones as this node has read them. The operators' records in the store are the only
/// home of this state: nothing is kept over a restart, and before the first whole listing it is not
/// known that there are none.
class EvacuationTable {
 public:
  /// A record was read. \return whether the zone was not evacuated before.
  bool onEvacuated(const std::string& zone, Instant now);
  /// The record was removed. \return whether the zone was evacuated before.
  bool onTakenBack(const std::string& zone);
  /// A whole listing named these zones and no others: a record that went with dropped history was
  /// taken back. \return the zones that were evacuated until now.
  std::vector<std::string> onListed(const std::vector<std::string>& zones);

  [[nodiscard]] bool isKnown() const { return known_; }
  [[nodiscard]] bool isEvacuated(std::string_view zone) const { return since_.contains(zone); }
  /// \return the evacuated zones, each with the moment at which this node read of it.
  [[nodiscard]] const std::map<std::string, Instant, std::less<>>& zones() const { return since_; }

 private:
  bool known_ = false;
  std::map<std::string, Instant, std::less<>> since_;
};

/// Knobs of `EvacuationRule`.
struct EvacuationRuleKnobs {
  /// Where every zone is evacuated: nobody knows for how long, and operators take seconds. A rule
  /// of thumb: as long as one step of an operator.
  Duration retryAfterEvacuated = milliseconds(1000);
  /// A process reads the listing within some tenths of a second of its start.
  Duration retryAfterUnknown = milliseconds(250);
};

/// Keeps all requests from replicas of evacuated zones, and from all replicas before this node
/// knows which zones those are. Streams under way at such a replica may end.
class EvacuationRule final : public PlacementRule {
 public:
  /// \param table outlives this object.
  EvacuationRule(const EvacuationTable& table, EvacuationRuleKnobs knobs)
      : table_(table), knobs_(knobs) {}

  [[nodiscard]] std::optional<PlacementBar> barOf(const Replica& replica,
                                                  const PlacementSubject& subject,
                                                  Instant now) const override;
  [[nodiscard]] Duration retryAfter(PlacementBar bar) const override;

 private:
  const EvacuationTable& table_;
  EvacuationRuleKnobs knobs_;
};

}  // namespace gorsetrail::routing
