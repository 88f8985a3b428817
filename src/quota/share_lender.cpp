#include "quota/share_lender.h"

#include <algorithm>

namespace gorsetrail::quota {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

ShareLender::ShareLender(const QuotaKnobs& knobs, Instant startedAt)
    : knobs_(knobs), partitions_(knobs.partitions, {{}, 0, startedAt + knobs.leaseDuration}) {}

bool ShareLender::tryLease(std::uint32_t partition, const std::string& coordinator,
                           std::uint64_t round, Instant now) {
  if (partition >= partitions_.size()) {
    return false;
  }
  PartitionLease& lease = partitions_[partition];
  if (lease.coordinator != coordinator && now < lease.leaseExpiry) {
    return false;
  }
  lease = {coordinator, round, now + knobs_.leaseDuration};
  return true;
}

void ShareLender::onRelease(std::uint32_t partition, const std::string& coordinator,
                            std::uint64_t round, Instant now) {
  if (partition >= partitions_.size()) {
    return;
  }
  PartitionLease& lease = partitions_[partition];
  if (lease.coordinator == coordinator && isSameIncarnation(lease.round, round)) {
    lease.leaseExpiry = std::min(lease.leaseExpiry, now);
  }
}

bool ShareLender::trySpendLocalToken(std::uint32_t partition, const tenant::Tenant& tenant,
                                     double share, Instant now) {
  const Instant leaseExpiry = partitions_[partition].leaseExpiry;
  if (now < leaseExpiry) {
    return false;
  }
  // Tokens accrue only while the share is not leased out.
  const auto [entry, isNew] = localBuckets_.try_emplace(tenant.name, LocalBucket{0, leaseExpiry});
  LocalBucket& account = entry->second;
  if (account.refilledAt < leaseExpiry) {
    account = {0, leaseExpiry};
  }
  const double passed =
      static_cast<double>((now - account.refilledAt).count()) / kMicrosecondsPerSecond;
  const double capacity = share * (tenant.quota.burst + knobs_.localBurstAllowance);
  account.level =
      std::min(account.level + share * tenant.quota.requestsPerSecond * passed, capacity);
  account.refilledAt = now;
  if (account.level < 1.0) {
    return false;
  }
  account.level -= 1.0;
  return true;
}

}  // namespace gorsetrail::quota
