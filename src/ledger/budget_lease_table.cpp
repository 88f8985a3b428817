#include "ledger/budget_lease_table.h"

#include <algorithm>

namespace gorsetrail::ledger {

void BudgetLeaseTable::onRecord(const BudgetLease& record, Instant now) {
  const auto found = leases_.find(record.lease);
  if (found == leases_.end()) {
    const bool isVoid = record.state != BudgetLeaseState::Cleared && inForce() != leases_.end();
    if (!isVoid) {
      leases_.emplace(record.lease, Entry{record.holder, record.state, now, record.renewal});
    }
    return;
  }
  Entry& known = found->second;
  const bool isRenewal = record.state == BudgetLeaseState::Held &&
                         known.state == BudgetLeaseState::Held && record.renewal > known.renewal;
  const bool isVoidEnd = record.state == BudgetLeaseState::Ended && record.renewal < known.renewal;
  if (isRenewal || (record.state > known.state && !isVoidEnd)) {
    known.state = record.state;
    known.since = now;
    known.renewal = std::max(known.renewal, record.renewal);
  }
}

BudgetLeaseTable::Leases::const_iterator BudgetLeaseTable::inForce() const {
  return std::find_if(leases_.begin(), leases_.end(), [](const auto& entry) {
    return entry.second.state != BudgetLeaseState::Cleared;
  });
}

bool BudgetLeaseTable::isFreeFor(const std::string& ownLease) const {
  const auto current = inForce();
  return current == leases_.end() || current->first == ownLease;
}

bool BudgetLeaseTable::mayHaveSpentUnseen(const std::string& ownLease, bool isTimely,
                                          Instant now) const {
  if (!isFreeFor(ownLease)) {
    return true;
  }
  return !isTimely && std::any_of(leases_.begin(), leases_.end(), [&](const auto& entry) {
    const bool isForgotten = now - entry.second.since >= knobs_.memory;
    return entry.first != ownLease && !isForgotten;
  });
}

std::optional<BudgetLease> BudgetLeaseTable::due(const std::string& ownLease,
                                                 const std::string& ownHolder, Instant now) const {
  const auto current = inForce();
  if (current == leases_.end() || current->first == ownLease) {
    return std::nullopt;
  }
  const Entry& lease = current->second;
  const Duration age = now - lease.since;
  const bool isDead = lease.holder == ownHolder || age >= knobs_.expiry;
  if (lease.state == BudgetLeaseState::Held && isDead) {
    return BudgetLease{current->first, lease.holder, BudgetLeaseState::Ended, lease.renewal};
  }
  const bool isPast = age >= knobs_.longestProgramTime + knobs_.longestCall;
  if (lease.state == BudgetLeaseState::Ended && isPast) {
    return BudgetLease{current->first, lease.holder, BudgetLeaseState::Cleared, lease.renewal};
  }
  return std::nullopt;
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

std::uint64_t LeaseAllowance::mostSpent(std::uint64_t largestTurn) const {
  return std::max(shareOf(knobs_.share), std::min(largestTurn, shareOf(knobs_.singleTurnShare)));
}

}  // namespace gorsetrail::ledger
