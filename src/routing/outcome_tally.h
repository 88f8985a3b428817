/// \file Exponentially decaying counts of request outcomes. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace gorsetrail::routing {

/// Half-life of the counts. Bounds how long a recovered replica is avoided.
inline constexpr Duration kOutcomeHalfLife = milliseconds(2500);

/// Counts the finished requests of a replica and the failed ones among them.
class OutcomeTally {
 public:
  /// Counts a finished request.
  void note(bool failed, Instant now) {
    const double factor = decayFactor(now);
    ended_ = ended_ * factor + 1.0;
    failed_ = failed_ * factor + (failed ? 1.0 : 0.0);
    updatedAt_ = now;
  }
  /// \return all finished requests including failed ones, decayed over time.
  [[nodiscard]] double ended(Instant now) const { return ended_ * decayFactor(now); }
  [[nodiscard]] double failed(Instant now) const { return failed_ * decayFactor(now); }

 private:
  [[nodiscard]] double decayFactor(Instant now) const {
    const double elapsedHalfLives = static_cast<double>((now - updatedAt_).count()) /
                                    static_cast<double>(kOutcomeHalfLife.count());
    return std::exp2(-std::max(0.0, elapsedHalfLives));
  }

  double ended_ = 0;
  double failed_ = 0;
  Instant updatedAt_{};
};

}  // namespace gorsetrail::routing
