#include "quota/borrowed_shares.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::quota {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kHalf = 0.5;

}  // namespace

void BorrowedShares::integrateTo(Instant moment) {
  if (moment > integratedTo_) {
    const auto passed = static_cast<double>((moment - integratedTo_).count());
    integral_ += std::min(sum_, 1.0) * passed / kMicrosecondsPerSecond;
    integratedTo_ = moment;
  }
}

void BorrowedShares::advance(Instant now) {
  while (nextEnd_ <= now) {
    integrateTo(nextEnd_);
    const Instant ended = nextEnd_;
    std::erase_if(byNode_, [ended](const auto& entry) { return entry.second.until <= ended; });
    nextEnd_ = Instant::max();
    const double before = std::exchange(sum_, 0);
    for (const auto& [node, lend] : byNode_) {
      nextEnd_ = std::min(nextEnd_, lend.until);
      sum_ += lend.share;
    }
    if (before >= kHalf && sum_ < kHalf) {
      ++losses_;
      secondsAtLoss_ = integral_;
    }
  }
  integrateTo(now);
}

void BorrowedShares::onLend(const std::string& node, double share, Instant until, Instant now) {
  advance(now);
  if (until <= now) {
    return;
  }
  Lend& lend = byNode_[node];
  sum_ += share - lend.share;
  lend = {share, std::max(until, lend.until)};
  nextEnd_ = std::min(nextEnd_, lend.until);
}

double BorrowedShares::share(Instant now) {
  advance(now);
  return std::clamp(sum_, 0.0, 1.0);
}

std::uint64_t BorrowedShares::losses(Instant now) {
  advance(now);
  return losses_;
}

double BorrowedShares::shareSeconds(Instant now) {
  advance(now);
  return integral_;
}

}  // namespace gorsetrail::quota
