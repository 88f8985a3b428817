#include "quota/share_lender.h"

#include <algorithm>

namespace gorsetrail::quota {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

ShareLender::ShareLender(const QuotaKnobs& knobs, Instant startedAt)
    : knobs_(knobs), partitions_(knobs.partitions, {{}, 0, startedAt + knobs.lendTime}) {}

bool ShareLender::lend(std::uint32_t partition, const std::string& coordinator, std::uint64_t round,
                       Instant now) {
  if (partition >= partitions_.size()) {
    return false;
  }
  Partition& lent = partitions_[partition];
  if (lent.coordinator != coordinator && now < lent.lentUntil) {
    return false;
  }
  lent = {coordinator, round, now + knobs_.lendTime};
  return true;
}

void ShareLender::onEnd(std::uint32_t partition, const std::string& coordinator,
                        std::uint64_t round, Instant now) {
  if (partition >= partitions_.size()) {
    return;
  }
  Partition& lent = partitions_[partition];
  if (lent.coordinator == coordinator && isSameLife(lent.round, round)) {
    lent.lentUntil = std::min(lent.lentUntil, now);
  }
}

bool ShareLender::trySpendOwn(std::uint32_t partition, const tenant::Tenant& tenant, double share,
                              Instant now) {
  const Instant lentUntil = partitions_[partition].lentUntil;
  if (now < lentUntil) {
    return false;
  }
  // Tokens come in only while the share is the node's own.
  const auto [entry, isNew] = own_.try_emplace(tenant.name, OwnAccount{0, lentUntil});
  OwnAccount& account = entry->second;
  if (account.reckonedAt < lentUntil) {
    account = {0, lentUntil};
  }
  const double passed =
      static_cast<double>((now - account.reckonedAt).count()) / kMicrosecondsPerSecond;
  const double capacity = share * (tenant.quota.burst + knobs_.ownBurstAllowance);
  account.level =
      std::min(account.level + share * tenant.quota.requestsPerSecond * passed, capacity);
  account.reckonedAt = now;
  if (account.level < 1.0) {
    return false;
  }
  account.level -= 1.0;
  return true;
}

}  // namespace gorsetrail::quota
