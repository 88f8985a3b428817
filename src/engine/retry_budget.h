/// \file How often and how soon lost attempts are tried again.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"
#include "engine/token_bucket.h"

namespace gorsetrail::engine {

/// Limits of retries; the same at every node.
struct RetryKnobs {
  double budgetCapacity = 20.0;        ///< Retries that a node may make in a burst.
  double budgetRefillPerSecond = 1.0;  ///< Retries a second that an idle node earns.
  double budgetPerCall = 0.2;          ///< Retries that each new call earns the node.
  std::uint32_t maximumAttempts = 4;   ///< Of one call, the first among them; resumes not.
  Duration backoffBase = milliseconds(25);
  Duration backoffLimit = seconds(1);
  Duration replicaWaitLimit = seconds(2);      ///< Longest wait for a replica to become usable.
  Duration lingerAfterDeadline = seconds(30);  ///< A non-repeatable call awaits its end so long.
};

/// Retry budget of one node: retries stay a fraction of the calls, so that a failing back end
/// is not buried under its own retries.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryKnobs& knobs)
      : bucket_(knobs.budgetCapacity, knobs.budgetRefillPerSecond),
        earnedPerCall_(knobs.budgetPerCall) {}

  /// A new call came in: it earns a part of a retry.
  void earn(Instant now) { bucket_.charge(-earnedPerCall_, now); }
  /// \return whether one retry was taken.
  bool tryTake(Instant now) { return bucket_.tryTake(1.0, now); }
  /// \return time until the next retry can be taken.
  [[nodiscard]] Duration timeUntilNext(Instant now) { return bucket_.timeUntil(1.0, now); }

 private:
  TokenBucket bucket_;
  double earnedPerCall_;
};

/// \return the wait before attempt `attempt` (2 is the first retry): exponential, with jitter
/// over its upper half, so that calls lost together do not come back together.
Duration backoffBefore(std::uint32_t attempt, const RetryKnobs& knobs, RandomSource& random);

}  // namespace gorsetrail::engine
