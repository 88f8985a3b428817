/// \file Speed of a replica relative to the others of its service. No I/O, no clock.
#pragma once

#include <optional>

#include "base/time.h"

namespace gorsetrail::routing {

/// Half-life of the measurements. A replica that becomes 2.4 times slower counts as slow (1.5)
/// within 2 to 3 s, while a delay of 0.6 s by a factor of 2.5 moves the factor by less than 1.2.
inline constexpr Duration kSpeedHalfLife = milliseconds(2500);
/// Weight, in requests, of the assumption that a replica has typical speed.
inline constexpr double kSpeedPriorSamples = 2.0;
/// From this factor on a replica is slow: its requests use up the whole allowance of programs,
/// whose deadlines are 1.4 to 1.5 times the unloaded time.
inline constexpr double kSlowTimeFactor = 1.5;
/// A replica is marked as slow, or as no longer slow, after this time without interruption, so that
/// delays of half a second do not count.
inline constexpr Duration kSlowConfirmationTime = seconds(3);
/// Factors closer to 1 than this ratio are not reported to other nodes: fleets of equal replicas
/// then send nothing.
inline constexpr double kReportedDeviation = 1.25;

/// This node's measurements of one incarnation of a replica: the mean logarithm of the durations of
/// its requests relative to the service's model, decayed over time.
class ReplicaSpeed {
 public:
  /// \param expected duration of this request according to the model.
  void note(Duration duration, Duration expected, Instant now);
  /// \return the weight of the measurements, in requests.
  [[nodiscard]] double samples(Instant now) const;
  /// \return the mean logarithm of the ratios; 0 without measurements.
  [[nodiscard]] double meanLog() const { return samples_ > 0 ? logSum_ / samples_ : 0.0; }

 private:
  double samples_ = 0;
  double logSum_ = 0;
  Instant updatedAt_{};
};

/// \return the duration of requests at the replica relative to the service's model, from this
/// node's measurements and the other nodes'. With few samples it is close to 1.
[[nodiscard]] double mergedTimeFactor(const ReplicaSpeed& own, double othersTimeFactor,
                                      double othersSamples, Instant now);

/// Marks a replica as slow once its factor has been at least `kSlowTimeFactor` for
/// `kSlowConfirmationTime`, and the reverse.
class SlownessMark {
 public:
  /// \return whether the mark has changed.
  bool update(double timeFactor, Instant now);
  [[nodiscard]] bool isSlow() const { return isSlow_; }

 private:
  bool isSlow_ = false;
  std::optional<Instant> differsSince_;  ///< Since when the factor contradicts the mark.
};

}  // namespace gorsetrail::routing
