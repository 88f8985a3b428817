/// \file Decides per service whether its replicas differ in speed. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Settings of `SpeedContrast`.
struct SpeedContrastKnobs {
  /// A replica is slow if its requests take at least this many times as long as at the fast ones.
  /// Deadlines are 1.4 to 1.5 times the unloaded time, so a program whose turns all run at such a
  /// replica misses its deadline.
  double slowRatio = 1.5;
  /// Fraction (0 to 1) of a service's replicas that must be slow. Below it, avoiding single slow
  /// replicas by their response time suffices.
  double slowFraction = 0.2;
  /// Time for which the replicas must differ, or not differ, before the selection changes. Phases
  /// of noise last about 600 ms.
  Duration confirmation = seconds(3);
  /// Ratio of neighbouring steps to which relative durations are rounded, so that small changes
  /// move no prompts to other replicas.
  double stepRatio = 1.25;
  /// A replica keeps its step until its duration differs from it by more than this many steps; over
  /// 0.5, so that a duration between two steps does not alternate.
  double stepTolerance = 0.75;
  /// Time for which a duration must differ from its step before the step changes: longer than a
  /// phase of noise.
  Duration stepConfirmation = seconds(1);
  /// Weight of measurements, in requests, from which they count for a replica that was slow: one
  /// request of about 4 s ago.
  double minimumSamples = 0.3;
  /// A slow replica without measurements for this time counts as typical. Nodes report only
  /// deviating replicas, so a recovered one is not measured any more; one that is still slow is
  /// found again within two seconds.
  Duration memory = seconds(15);
  /// Exponents of the relative duration in a replica's weight for prompts. While the fast replicas
  /// have free slots, slow ones get next to nothing: at 2.4 times the duration 3% as many prompts
  /// as a fast one. Once they are nearly full, the square makes the load in time equal, so that the
  /// slow replicas take work before it waits at the fast ones.
  double idleExponent = 4.0;
  double busyExponent = 2.0;
  /// The fast replicas are busy from the first of these loads per slot on until the load is below
  /// the second. Apart enough that the load in between does not move prompts back and forth.
  double busyLoad = 0.7;
  double idleLoad = 0.6;
  /// Time constant of the smoothed load, so that bursts shorter than a program move no prompts.
  Duration loadSmoothing = seconds(1);
  /// Upper bound of relative durations, so that a wrong measurement does not exclude a replica.
  double maximumRelative = 8.0;
};

/// A service's selection by expected time began or ended.
struct SpeedSelectionChange {
  std::string service;
  bool active = false;
  std::size_t slowReplicas = 0;
  /// Mean duration at the slow replicas relative to the fast ones; 1 without slow replicas.
  double slowRatio = 1.0;
};

/// Detects services whose replicas differ in speed consistently, and sets `Replica::relativeTime`
/// of their replicas, which is 1 at all replicas of other services.
class SpeedContrast {
 public:
  explicit SpeedContrast(SpeedContrastKnobs knobs) : knobs_(knobs) {}

  /// Evaluates the measured speeds of all replicas. Work is linear in the number of replicas.
  /// \return the services whose selection changed.
  std::vector<SpeedSelectionChange> update(const ReplicaTable& replicas, Instant now);
  /// \return whether replicas of the service are selected by expected time.
  [[nodiscard]] bool isActive(std::string_view service) const;

 private:
  struct State {
    bool active = false;
    /// Since when the replicas differ although inactive, or do not differ although active.
    std::optional<Instant> opposedSince;
    double fastLoad = 0;  ///< Smoothed load per slot of the fast replicas while active.
    Instant fastLoadAt;
    bool busy = false;  ///< Whether the fast replicas have few free slots.
  };
  struct Contrast {
    double fastFactor = 0;  ///< Median time factor of the faster half; 0: no replicas.
    std::size_t replicas = 0;
    std::size_t slow = 0;
    double slowRatio = 1.0;
  };
  /// A replica of one service, as far as its speed matters.
  struct Measured {
    Replica* replica = nullptr;
    /// Duration relative to the service's model. Unset: it was slow, and its measurements have
    /// expired, since it gets few requests.
    std::optional<double> timeFactor;
  };
  /// \return the replica's duration relative to the model, see `Measured::timeFactor`.
  [[nodiscard]] std::optional<double> timeFactorOf(Replica& replica, Instant now) const;
  [[nodiscard]] std::vector<Measured> measure(const std::vector<ReplicaPtr>& replicas,
                                              Instant now) const;
  [[nodiscard]] Contrast contrastOf(const std::vector<Measured>& replicas) const;
  /// \return whether `state.active` changed.
  [[nodiscard]] bool updateState(State& state, bool differs, Instant now) const;
  void updateReplicas(const std::vector<Measured>& replicas, double fastFactor, bool isNew,
                      Instant now) const;
  /// Updates `busy` and the replicas' weights for prompts.
  void updatePreferences(State& state, const std::vector<Measured>& replicas, Instant now) const;
  void updateStep(RelativeTime& relative, double ratio, bool isNew, Instant now) const;

  SpeedContrastKnobs knobs_;
  std::map<std::string, State, std::less<>> byService_;
};

}  // namespace gorsetrail::routing
