/// \file Tells whether a service has had only one software version lately. No I/O, no clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Settings of `SoftwareVersionHistory`.
struct SoftwareVersionHistoryKnobs {
  /// How far back versions count at least: a replica may serve so long after its registration has
  /// gone.
  Duration minimumLookback = seconds(20);
  /// How far back versions are remembered. Streams that may be older are of unknown versions.
  Duration maximumLookback = seconds(600);
  /// A longer pause between two reads of the registrations ends the known history, because replicas
  /// may have come and gone meanwhile.
  Duration maximumGap = seconds(3);
};

/// The software versions of each service's replicas over the last seconds, as read by this node. A
/// stream of a service that has had a single version must have begun at that version, also if its
/// origin is not recorded anywhere.
class SoftwareVersionHistory {
 public:
  explicit SoftwareVersionHistory(SoftwareVersionHistoryKnobs knobs) : knobs_(knobs) {}

  /// Called for each registered replica, at least when it is first read and when it is removed.
  void onSeen(const ReplicaEntry& entry, Instant now);
  /// Called when all registrations have been read up to `readAt`.
  void onFresh(Instant readAt);
  /// \param streamLifetime the age that a stream of the service may have.
  /// \return the version, if all replicas ran it that the service has had since the oldest stream
  /// may have begun.
  [[nodiscard]] std::optional<std::string> onlyVersionOf(std::string_view service,
                                                         const ReplicaTable& replicas,
                                                         Duration streamLifetime,
                                                         Instant now) const;

 private:
  SoftwareVersionHistoryKnobs knobs_;
  /// Last moment at which a replica with the version was registered, by service and version.
  std::map<std::string, std::map<std::string, Instant>, std::less<>> lastSeen_;
  std::optional<Instant> knownSince_;
  Instant freshAt_;
};

}  // namespace gorsetrail::routing
