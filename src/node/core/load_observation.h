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
  std::size_t digestsInZone = 2;         ///< Nodes of the own zone told each interval.
  std::uint32_t roundsPerOtherZone = 4;  ///< One node of another zone each so many intervals.
};

/// A node to send a digest to.
struct DigestTarget {
  NodeId node;
  std::string zone;
};

/// Observers by rendezvous among the nodes alive in the back end's zone; digests pass on by
/// gossip at a cost that does not grow with the fleet.
class LoadObservation {
 public:
  /// An observer and its standby, which polls as well so that it can take over with fresh reports.
  static constexpr std::size_t kObserversPerBackend = 2;

  LoadObservation(NodeId self, std::string zone, std::uint64_t seed,
                  const ObservationKnobs& knobs = {})
      : self_(self), zone_(std::move(zone)), random_(seed), knobs_(knobs) {}

  /// Recomputes what this node observes.
  void update(const bundle::Bundle& bundle, const membership::MembershipService& membership);
  [[nodiscard]] const std::vector<bundle::Backend>& observed() const { return observed_; }
  /// \return to whom digests are due now; empty until the next interval.
  std::vector<DigestTarget> dueTargets(const membership::MembershipService& membership,
                                       Instant now);

 private:
  NodeId self_;
  std::string zone_;
  RandomSource random_;
  ObservationKnobs knobs_;
  std::vector<bundle::Backend> observed_;
  Instant nextDigest_{};
  std::uint32_t round_ = 0;
};

}  // namespace gorsetrail::node
