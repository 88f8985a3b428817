/// \file Who observes which back end, and who hears of its load (docs/design/0004).
#pragma once

#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "membership/membership_service.h"

namespace gorsetrail::node {

struct ObservationKnobs {
  Duration digestInterval = seconds(1);
  std::size_t digestsInZone = 8;         ///< Nodes of the own zone told each interval, in turn.
  std::uint32_t roundsPerOtherZone = 4;  ///< One node of another zone each so many intervals.
};

/// A node to send a digest to.
struct DigestTarget {
  NodeId node;
  std::string zone;
  bool sameZone = true;  ///< It gets what this node observes; others get the youngest known.
};

/// Observers by rendezvous among the nodes alive in the back end's zone. They tell the nodes of
/// the zone in turn, a fixed number each interval: the cost does not grow with the fleet, and the
/// age of a load is bounded by the size of the zone.
class LoadObservation {
 public:
  /// An observer and its standby, which polls as well so that it can take over with fresh reports.
  static constexpr std::size_t kObserversPerBackend = 2;

  LoadObservation(NodeId self, std::string zone, std::uint64_t seed,
                  const ObservationKnobs& knobs = {})
      : self_(self),
        zone_(std::move(zone)),
        random_(seed),
        knobs_(knobs),
        turn_(random_.below(kTurns)) {}

  /// Recomputes what this node observes.
  void update(const bundle::Bundle& bundle, const membership::MembershipService& membership);
  [[nodiscard]] const std::vector<bundle::Backend>& observed() const { return observed_; }
  [[nodiscard]] const std::vector<std::string>& observedNames() const { return observedNames_; }
  /// \return to whom digests are due now; empty until the next interval.
  std::vector<DigestTarget> dueTargets(const membership::MembershipService& membership,
                                       Instant now);

 private:
  static constexpr std::uint64_t kTurns = 4096;

  NodeId self_;
  std::string zone_;
  RandomSource random_;
  ObservationKnobs knobs_;
  std::vector<bundle::Backend> observed_;
  std::vector<std::string> observedNames_;
  std::size_t turn_;  ///< Position in the zone's nodes; starts at random, apart from the standby's.
  Instant nextDigest_{};
  std::uint32_t round_ = 0;
};

}  // namespace gorsetrail::node
