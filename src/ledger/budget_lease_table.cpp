#include "ledger/budget_lease_table.h"

#include <algorithm>

namespace gorsetrail::ledger {

void BudgetLeaseTable::onRecord(const BudgetLease& record, Instant now) {
  const auto [entry, isNew] =
      leases_.try_emplace(record.lease, Entry{record.holder, record.state, now, record.renewal});
  Entry& known = entry->second;
  const bool isHeld = record.state == BudgetLeaseState::Held;
  const bool isVoid = record.state == BudgetLeaseState::Ended && record.renewal < known.renewal;
  if (isNew || isVoid || record.state < known.state) {
    return;  // It says nothing new.
  }
  if (record.state > known.state || (isHeld && record.renewal > known.renewal)) {
    known.state = record.state;
    known.since = now;
    known.renewal = std::max(known.renewal, record.renewal);
  }
}

std::uint64_t BudgetLeaseTable::unseenSpenders(const std::string& ownLease, bool isTimely,
                                               std::optional<Instant> beganAfter,
                                               Instant now) const {
  std::uint64_t spenders = 0;
  for (const auto& [lease, entry] : leases_) {
    if (lease == ownLease) {
      continue;
    }
    const bool isCleared = entry.state == BudgetLeaseState::Cleared;
    const bool beganLater = isTimely || (beganAfter && *beganAfter >= entry.since);
    const bool isForgotten = now - entry.since >= knobs_.memory;
    spenders += isCleared && (beganLater || isForgotten) ? 0 : 1;
  }
  return spenders;
}

std::vector<BudgetLease> BudgetLeaseTable::due(const std::string& ownLease,
                                               const std::string& ownHolder, Instant now) const {
  const Duration untilCleared = knobs_.longestProgramTime + knobs_.longestCall;
  std::vector<BudgetLease> records;
  for (const auto& [lease, entry] : leases_) {
    if (lease == ownLease) {
      continue;
    }
    const Duration age = now - entry.since;
    const bool isDead = entry.holder == ownHolder || age >= knobs_.expiry;
    if (entry.state == BudgetLeaseState::Held && isDead) {
      records.push_back({lease, entry.holder, BudgetLeaseState::Ended, entry.renewal});
    } else if (entry.state == BudgetLeaseState::Ended && age >= untilCleared) {
      records.push_back({lease, entry.holder, BudgetLeaseState::Cleared, entry.renewal});
    }
  }
  return records;
}

std::optional<BudgetLeaseState> BudgetLeaseTable::stateOf(const std::string& lease) const {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? std::nullopt : std::optional(found->second.state);
}

void BudgetLeaseTable::forgetOld(Instant now) {
  std::erase_if(leases_, [&](const auto& entry) {
    return entry.second.state == BudgetLeaseState::Cleared &&
           now - entry.second.since >= knobs_.memory;
  });
}

std::uint64_t LeaseAllowance::shareOf(double share) const {
  return static_cast<std::uint64_t>(share * static_cast<double>(budget_));
}

bool LeaseAllowance::allows(std::uint64_t ahead, std::uint64_t tokens) const {
  const bool withinShare = ahead + tokens <= shareOf(knobs_.share);
  return withinShare || (ahead == 0 && tokens <= shareOf(knobs_.singleTurnShare));
}

std::uint64_t LeaseAllowance::mostSpentBy(std::uint64_t spenders, std::uint64_t largestTurn) const {
  const std::uint64_t largestSingleTurn = std::min(largestTurn, shareOf(knobs_.singleTurnShare));
  return spenders * std::max(shareOf(knobs_.share), largestSingleTurn);
}

}  // namespace gorsetrail::ledger
