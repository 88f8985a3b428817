/// \file How long to wait for the store, learned from its answers, and when to ask again.
#pragma once

#include <algorithm>

#include "base/random.h"
#include "base/time.h"

namespace gorsetrail::logstore {

/// Knobs of `CallPacer`.
struct CallPacerKnobs {
  Duration shortestPatience = milliseconds(60);
  Duration longestPatience = milliseconds(1500);
  double patienceFactor = 5.0;  ///< Of the usual answer time.
  Duration firstBackoff = milliseconds(15);
  Duration longestBackoff = milliseconds(400);
};

/// Patience follows the store's own speed, so that a slow store is not asked ever more often, and
/// a lost answer is found soon while the store is quick.
class CallPacer {
 public:
  CallPacer(CallPacerKnobs knobs, std::uint64_t seed) : knobs_(knobs), random_(seed) {}

  /// An answer came after this time.
  void onAnswer(Duration took) {
    constexpr double kShareOfNewest = 0.2;
    const auto sample = static_cast<double>(took.count());
    usualMicroseconds_ += kShareOfNewest * (sample - usualMicroseconds_);
  }

  /// \return how long try number `attempt` (from 0) of a call waits for its answer.
  [[nodiscard]] Duration patience(std::uint32_t attempt) const {
    const auto usual = Duration(static_cast<Duration::rep>(usualMicroseconds_));
    const auto base = std::max(knobs_.shortestPatience,
                               std::chrono::duration_cast<Duration>(usual * knobs_.patienceFactor));
    return std::min(knobs_.longestPatience, base * (std::int64_t{1} << std::min(attempt, 5U)));
  }

  /// \return the pause before try number `attempt` (from 1), with jitter.
  Duration backoff(std::uint32_t attempt) {
    const Duration full = std::min(
        knobs_.longestBackoff, knobs_.firstBackoff * (std::int64_t{1} << std::min(attempt, 6U)));
    return full / 2 + Duration(static_cast<Duration::rep>(
                          random_.below(static_cast<std::uint64_t>(full.count() / 2) + 1)));
  }

 private:
  CallPacerKnobs knobs_;
  RandomSource random_;
  double usualMicroseconds_ = 8000;
};

}  // namespace gorsetrail::logstore
