/// \file Exponentially decaying rate of completed requests. No I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <optional>

#include "base/time.h"

namespace gorsetrail::routing {

/// Half-life of the rate. At ten completions per second the estimate then varies by about 13%
/// (standard deviation), and a service that stops completing requests shows within 2 s.
inline constexpr Duration kCompletionRateHalfLife = seconds(2);

/// Estimates how many requests of one service this node completes per second.
class CompletionRate {
 public:
  void onCompleted(Instant now) {
    firstAt_ = firstAt_.value_or(now);
    count_ = count_ * decayFactor(now) + 1.0;
    updatedAt_ = now;
  }
  /// \return completed requests per second, decayed over time; empty before the first one.
  [[nodiscard]] std::optional<double> perSecond(Instant now) const {
    if (!firstAt_) {
      return std::nullopt;
    }
    // The time since the first completion limits what the count can contain. The minimum keeps the
    // estimate from the first few completions bounded.
    const Duration observed = std::max<Duration>(now - *firstAt_, milliseconds(500));
    const double halfLife = std::chrono::duration<double>(kCompletionRateHalfLife).count();
    const double meanWeightTime = halfLife / std::numbers::ln2;
    return count_ * decayFactor(now) / (meanWeightTime * (1.0 - halvingOf(observed)));
  }

 private:
  /// \return the factor by which the count decays in the time span.
  static double halvingOf(Duration span) {
    return std::exp2(-std::max(0.0, static_cast<double>(span.count()) /
                                        static_cast<double>(kCompletionRateHalfLife.count())));
  }
  [[nodiscard]] double decayFactor(Instant now) const { return halvingOf(now - updatedAt_); }

  double count_ = 0;
  Instant updatedAt_{};
  std::optional<Instant> firstAt_;
};

}  // namespace gorsetrail::routing
