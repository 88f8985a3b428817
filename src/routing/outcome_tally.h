/// \file How a replica's latest requests ended, as counts that fade. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"

namespace gorsetrail::routing {

/// Counts fade by half in this time, so that a replica that works again is used again.
inline constexpr Duration kOutcomeHalfLife = milliseconds(2500);

/// Requests that ended at a replica, and those of them that failed there.
class OutcomeTally {
 public:
  void note(bool failed, Instant now) {
    const double factor = fadingSince(now);
    ended_ = ended_ * factor + 1.0;
    failed_ = failed_ * factor + (failed ? 1.0 : 0.0);
    countedAt_ = now;
  }
  [[nodiscard]] double ended(Instant now) const { return ended_ * fadingSince(now); }
  [[nodiscard]] double failed(Instant now) const { return failed_ * fadingSince(now); }

 private:
  [[nodiscard]] double fadingSince(Instant now) const {
    const double halfLives = static_cast<double>((now - countedAt_).count()) /
                             static_cast<double>(kOutcomeHalfLife.count());
    return std::exp2(-std::max(0.0, halfLives));
  }

  double ended_ = 0;
  double failed_ = 0;
  Instant countedAt_{};
};

}  // namespace gorsetrail::routing
