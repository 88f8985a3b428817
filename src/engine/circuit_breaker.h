/// \file Circuit breaker of one back end, with a decaying count of failures.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace gorsetrail::engine {

enum class CircuitState : std::uint8_t { Closed, Open, HalfOpen };

struct CircuitKnobs {
  double failuresToOpen = 3.0;
  Duration failureHalfLife = seconds(5);
  Duration firstOpenTime = milliseconds(500);
  Duration longestOpenTime = seconds(15);
};

/// Opens after a few failures close together; after a while one call may try it (half-open).
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitKnobs& knobs = {}) : knobs_(knobs) {}

  [[nodiscard]] CircuitState state(Instant now) const {
    if (!open_) {
      return CircuitState::Closed;
    }
    return now < openUntil_ ? CircuitState::Open : CircuitState::HalfOpen;
  }

  /// \return whether a call may go there now; half-open lets one through at a time.
  [[nodiscard]] bool allows(Instant now) const {
    const CircuitState current = state(now);
    return current == CircuitState::Closed || (current == CircuitState::HalfOpen && !trying_);
  }

  /// \return when a call may go there at the earliest.
  [[nodiscard]] Instant allowsAt(Instant now) const {
    return allows(now) ? now : std::max(openUntil_, now);
  }

  void onDispatched(Instant now) { trying_ = state(now) == CircuitState::HalfOpen; }

  void onSuccess() {
    open_ = false;
    trying_ = false;
    failures_ = 0.0;
    openTime_ = knobs_.firstOpenTime;
  }

  /// The trial ended without telling anything of the back end's health.
  void onNeutral() { trying_ = false; }

  void onFailure(Instant now) {
    decay(now);
    failures_ += 1.0;
    const bool trialFailed = state(now) == CircuitState::HalfOpen;
    trying_ = false;
    if (trialFailed) {
      openTime_ = std::min(openTime_ * 2, knobs_.longestOpenTime);
      openUntil_ = now + openTime_;
    } else if (!open_ && failures_ >= knobs_.failuresToOpen) {
      open_ = true;
      openUntil_ = now + openTime_;
    }
  }

 private:
  void decay(Instant now) {
    const double halfLives = static_cast<double>((now - lastFailure_).count()) /
                             static_cast<double>(knobs_.failureHalfLife.count());
    failures_ *= std::exp2(-std::max(halfLives, 0.0));
    lastFailure_ = now;
  }

  CircuitKnobs knobs_;
  double failures_ = 0.0;
  Instant lastFailure_{};
  bool open_ = false;
  bool trying_ = false;
  Instant openUntil_{};
  Duration openTime_ = knobs_.firstOpenTime;
};

}  // namespace gorsetrail::engine
