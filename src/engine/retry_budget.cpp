#include "engine/retry_budget.h"

#include <algorithm>

namespace gorsetrail::engine {
namespace {

constexpr std::uint32_t kMaximumDoublings = 16;
constexpr std::uint32_t kFirstRetry = 2;

}  // namespace

Duration backoffBefore(std::uint32_t attempt, const RetryKnobs& knobs, RandomSource& random) {
  const std::uint32_t doublings =
      std::min(attempt > kFirstRetry ? attempt - kFirstRetry : 0, kMaximumDoublings);
  const Duration whole = std::min(knobs.backoffBase * (1U << doublings), knobs.backoffLimit);
  const Duration half = whole / 2;
  const auto jitter = random.below(static_cast<std::uint64_t>(half.count()) + 1);
  return half + Duration(static_cast<Duration::rep>(jitter));
}

}  // namespace gorsetrail::engine
