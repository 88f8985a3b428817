#include "ledger/lease_witness.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {

std::size_t LeaseWitness::bytesOf(const BudgetReservation& reservation) {
  constexpr std::size_t kOverheadBytes = 100;
  return reservation.request.size() + reservation.program.size() + kOverheadBytes;
}

LeaseWitness::Entry* LeaseWitness::entryFor(const std::string& lease, Instant now) {
  const auto known = leases_.find(lease);
  if (known == leases_.end() && leases_.size() >= knobs_.maximumLeases) {
    return nullptr;
  }
  Entry& entry = known == leases_.end() ? leases_[lease] : known->second;
  entry.lastUsedAt = now;
  return &entry;
}

void LeaseWitness::dropRecorded(Entry& entry, std::uint64_t recordedBelow) {
  while (!entry.grants.empty() && entry.grants.begin()->first < recordedBelow) {
    bytes_ -= bytesOf(entry.grants.begin()->second);
    entry.grants.erase(entry.grants.begin());
  }
}

bool LeaseWitness::isOfAnotherLease(const Entry& entry, const LeaseGrant& grant) {
  const auto stored = entry.grants.find(grant.number);
  return stored != entry.grants.end() && stored->second.request != grant.reservation.request;
}

LeaseWitness::Outcome LeaseWitness::store(const StoreGrantsRequest& request, Instant now) {
  if (request.incarnation.empty() && request.grants.empty()) {
    const bool hasRoom = leases_.size() < knobs_.maximumLeases && bytes_ < knobs_.maximumBytes;
    return hasRoom ? Outcome::Stored : Outcome::Full;
  }
  if (request.incarnation != incarnation_) {
    return Outcome::Refused;
  }
  Entry* const entry = entryFor(request.lease, now);
  if (entry == nullptr) {
    return Outcome::Full;
  }
  const bool hasForeignGrant =
      std::any_of(request.grants.begin(), request.grants.end(),
                  [entry](const LeaseGrant& grant) { return isOfAnotherLease(*entry, grant); });
  if (entry->isSealed || hasForeignGrant) {
    return Outcome::Refused;
  }
  dropRecorded(*entry, request.recordedBelow);
  std::size_t added = 0;
  for (const LeaseGrant& grant : request.grants) {
    added += bytesOf(grant.reservation);
  }
  if (bytes_ + added > knobs_.maximumBytes) {
    return Outcome::Full;
  }
  for (const LeaseGrant& grant : request.grants) {
    if (entry->grants.try_emplace(grant.number, grant.reservation).second) {
      bytes_ += bytesOf(grant.reservation);
    }
  }
  return Outcome::Stored;
}

std::variant<std::vector<LeaseGrant>, LeaseWitness::Outcome> LeaseWitness::seal(
    const SealLeaseRequest& request, Instant now) {
  if (request.incarnation != incarnation_) {
    return Outcome::Refused;
  }
  Entry* const entry = entryFor(request.lease, now);
  if (entry == nullptr) {
    return Outcome::Full;
  }
  entry->isSealed = true;
  std::vector<LeaseGrant> grants;
  for (const auto& [number, reservation] : entry->grants) {
    grants.push_back({reservation, number});
  }
  return grants;
}

void LeaseWitness::sweep(Instant now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now - lease->second.lastUsedAt < knobs_.retention) {
      ++lease;
      continue;
    }
    dropRecorded(lease->second, UINT64_MAX);
    lease = leases_.erase(lease);
  }
}

}  // namespace gorsetrail::ledger
