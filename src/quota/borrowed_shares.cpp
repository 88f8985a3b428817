#include "quota/borrowed_shares.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::quota {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kQuorumShare = 0.5;

}  // namespace

void BorrowedShares::integrateTo(Instant moment) {
  if (moment > integratedTo_) {
    const auto passed = static_cast<double>((moment - integratedTo_).count());
    shareSeconds_ += std::min(sum_, 1.0) * passed / kMicrosecondsPerSecond;
    integratedTo_ = moment;
  }
}

void BorrowedShares::advance(Instant now) {
  while (nextExpiry_ <= now) {
    integrateTo(nextExpiry_);
    const Instant expiry = nextExpiry_;
    std::erase_if(byNode_,
                  [expiry](const auto& entry) { return entry.second.expiresAt <= expiry; });
    nextExpiry_ = Instant::max();
    const double previousSum = std::exchange(sum_, 0);
    for (const auto& [node, lease] : byNode_) {
      nextExpiry_ = std::min(nextExpiry_, lease.expiresAt);
      sum_ += lease.share;
    }
    if (previousSum >= kQuorumShare && sum_ < kQuorumShare) {
      ++quorumLosses_;
      shareSecondsAtQuorumLoss_ = shareSeconds_;
    }
  }
  integrateTo(now);
}

void BorrowedShares::addLease(const std::string& node, double share, Instant expiresAt,
                              Instant now) {
  advance(now);
  if (expiresAt <= now) {
    return;
  }
  Lease& lease = byNode_[node];
  sum_ += share - lease.share;
  lease = {share, std::max(expiresAt, lease.expiresAt)};
  nextExpiry_ = std::min(nextExpiry_, lease.expiresAt);
}

double BorrowedShares::share(Instant now) {
  advance(now);
  return std::clamp(sum_, 0.0, 1.0);
}

std::uint64_t BorrowedShares::quorumLosses(Instant now) {
  advance(now);
  return quorumLosses_;
}

double BorrowedShares::shareSeconds(Instant now) {
  advance(now);
  return shareSeconds_;
}

}  // namespace gorsetrail::quota
