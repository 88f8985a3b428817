#include "routing/replica_speed.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::routing {
namespace {

/// Added to both durations of a ratio: link delays between zones and scheduling delays of nodes
/// with a tenth of a core differ by this much without the replica being slow.
constexpr double kTimingNoiseMilliseconds = 10.0;
/// One sample counts as at most 3 times faster or slower, so that a single stalled request does not
/// decide.
constexpr double kLargestRatio = 3.0;

double decayFactor(Duration elapsed) {
  const double halfLives =
      static_cast<double>(elapsed.count()) / static_cast<double>(kSpeedHalfLife.count());
  return std::exp2(-std::max(0.0, halfLives));
}

}  // namespace

void ReplicaSpeed::note(Duration duration, Duration expected, Instant now) {
  const double ratio = (toMilliseconds(duration) + kTimingNoiseMilliseconds) /
                       (toMilliseconds(expected) + kTimingNoiseMilliseconds);
  const double keep = decayFactor(now - updatedAt_);
  samples_ = samples_ * keep + 1.0;
  logSum_ = logSum_ * keep + std::log(std::clamp(ratio, 1.0 / kLargestRatio, kLargestRatio));
  updatedAt_ = now;
}

double ReplicaSpeed::samples(Instant now) const {
  return samples_ > 0 ? samples_ * decayFactor(now - updatedAt_) : 0.0;
}

double mergedTimeFactor(const ReplicaSpeed& own, double othersTimeFactor, double othersSamples,
                        Instant now) {
  const double ownSamples = own.samples(now);
  const bool hasOthers = othersSamples > 0 && othersTimeFactor > 0;
  if (ownSamples <= 0 && !hasOthers) {
    return 1.0;
  }
  const double others = hasOthers ? othersSamples : 0.0;
  const double othersLog = hasOthers ? std::log(othersTimeFactor) : 0.0;
  return std::exp((own.meanLog() * ownSamples + othersLog * others) /
                  (ownSamples + others + kSpeedPriorSamples));
}

bool SlownessMark::update(double timeFactor, Instant now) {
  const bool seemsSlow = timeFactor >= kSlowTimeFactor;
  if (seemsSlow == isSlow_) {
    differsSince_.reset();
    return false;
  }
  if (!differsSince_) {
    differsSince_ = now;
  }
  if (now - *differsSince_ < kSlowConfirmationTime) {
    return false;
  }
  isSlow_ = seemsSlow;
  differsSince_.reset();
  return true;
}

}  // namespace gorsetrail::routing
