#include "scheduling/retention.h"

namespace gorsetrail::scheduling {
namespace {

/// With fewer pauses seen, the prior below decides.
constexpr double kEnoughPauses = 20.0;
constexpr Duration kPriorHoldTime = seconds(16);
/// Old pauses are halved when so many were counted, so that a change of habit shows.
constexpr double kAgingCount = 1000.0;

double inSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Duration RetentionPlanner::bucketBound(std::size_t bucket) { return seconds(1LL << bucket); }

void RetentionPlanner::age(Pauses& pauses) {
  pauses.total += 1.0;
  if (pauses.total < kAgingCount) {
    return;
  }
  for (double& count : pauses.counts) {
    count /= 2.0;
  }
  pauses.never /= 2.0;
  pauses.total /= 2.0;
}

void RetentionPlanner::returned(std::string_view work, Duration pause) {
  Pauses& pauses = works_[std::string(work)];
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (pause <= bucketBound(bucket)) {
      pauses.counts[bucket] += 1.0;
      return age(pauses);
    }
  }
  pauses.never += 1.0;
  age(pauses);
}

void RetentionPlanner::ended(std::string_view work) {
  Pauses& pauses = works_[std::string(work)];
  pauses.never += 1.0;
  age(pauses);
}

Duration RetentionPlanner::holdTime(std::string_view work) const {
  const auto found = works_.find(std::string(work));
  if (found == works_.end() || found->second.total < kEnoughPauses) {
    return kPriorHoldTime;
  }
  const Pauses& pauses = found->second;
  double best = 0.0;
  Duration bestTime{};
  double returnedBefore = 0.0;
  double keptSeconds = 0.0;
  Duration lower{};
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const Duration upper = bucketBound(bucket);
    const double width = inSeconds(upper - lower);
    const double still = 1.0 - returnedBefore;
    const double share = pauses.counts[bucket] / pauses.total;
    // Those who return within the bucket do so in its middle on average.
    keptSeconds += (still - share) * width + share * width / 2.0;
    returnedBefore += share;
    const double gain = returnedBefore * inSeconds(worth_) - keptSeconds;
    if (gain > best) {
      best = gain;
      bestTime = upper;
    }
    lower = upper;
  }
  return bestTime;
}

}  // namespace gorsetrail::scheduling
