/// \file Adaptive reply timeouts and retry backoff for store calls.
#pragma once

#include <algorithm>

#include "base/random.h"
#include "base/time.h"

namespace gorsetrail::logstore {

/// Settings of `AdaptiveRetryPolicy`.
struct AdaptiveRetrySettings {
  Duration minimumReplyTimeout = milliseconds(60);    ///< Minimum reply timeout.
  Duration maximumReplyTimeout = milliseconds(1500);  ///< Maximum reply timeout.
  double timeoutFactor = 5.0;  ///< Reply timeout as a multiple of the average latency.
  Duration firstBackoff = milliseconds(15);
  Duration longestBackoff = milliseconds(400);
};

/// Derives the reply timeout from a moving average of the store's latency. A slow store is not
/// overloaded with retries, and a lost reply is detected early while the store is fast.
class AdaptiveRetryPolicy {
 public:
  AdaptiveRetryPolicy(AdaptiveRetrySettings knobs, std::uint64_t seed)
      : knobs_(knobs), random_(seed) {}

  /// Adds the latency of one reply to the average.
  void onAnswer(Duration latency) {
    constexpr double kSmoothingFactor = 0.2;
    const auto sample = static_cast<double>(latency.count());
    averageMicroseconds_ += kSmoothingFactor * (sample - averageMicroseconds_);
  }

  /// \return the reply timeout of attempt number `attempt` (from 0); it doubles with each attempt.
  [[nodiscard]] Duration replyTimeout(std::uint32_t attempt) const {
    const auto average = Duration(static_cast<Duration::rep>(averageMicroseconds_));
    const auto base =
        std::max(knobs_.minimumReplyTimeout,
                 std::chrono::duration_cast<Duration>(average * knobs_.timeoutFactor));
    return std::min(knobs_.maximumReplyTimeout, base * (std::int64_t{1} << std::min(attempt, 5U)));
  }

  /// \return the backoff before retry number `attempt` (from 1): exponential, with jitter.
  Duration backoff(std::uint32_t attempt) {
    const Duration full = std::min(
        knobs_.longestBackoff, knobs_.firstBackoff * (std::int64_t{1} << std::min(attempt, 6U)));
    return full / 2 + Duration(static_cast<Duration::rep>(
                          random_.below(static_cast<std::uint64_t>(full.count() / 2) + 1)));
  }

 private:
  AdaptiveRetrySettings knobs_;
  RandomSource random_;
  double averageMicroseconds_ = 8000;
};

}  // namespace gorsetrail::logstore
