#include "ledger/budget_lease_table.h"

#include <algorithm>

namespace gorsetrail::ledger {
namespace {

constexpr std::array kSlots{BudgetLeaseSlot::Primary, BudgetLeaseSlot::Secondary};

UnrecordedSpending spendingUnder(BudgetLeaseSlot slot) {
  return slot == BudgetLeaseSlot::Primary ? UnrecordedSpending::Primary
                                          : UnrecordedSpending::Secondary;
}

}  // namespace

void addSpendingUnder(BudgetLeaseSlot slot, UnrecordedSpending& spending) {
  spending = spending == UnrecordedSpending::None ? spendingUnder(slot) : UnrecordedSpending::Both;
}

void BudgetLeaseTable::applyRecord(const BudgetLease& record, std::uint64_t offset, Instant now) {
  const auto found = leases_.find(record.lease);
  if (found == leases_.end()) {
    addLease(record, offset, now);
    return;
  }
  Entry& known = found->second;
  const bool isRenewal = record.state == BudgetLeaseState::Held &&
                         known.state == BudgetLeaseState::Held && record.renewal > known.renewal;
  const bool isVoidEnd = record.state == BudgetLeaseState::Ended && record.renewal < known.renewal;
  if (!isRenewal && (record.state <= known.state || isVoidEnd)) {
    return;
  }
  if (isRenewal && isSlotFree(BudgetLeaseSlot::Primary)) {
    known.slot = BudgetLeaseSlot::Primary;
  }
  known.state = record.state;
  known.updatedAt = now;
  known.renewal = std::max(known.renewal, record.renewal);
  if (known.state == BudgetLeaseState::Ended) {
    known.endedOffset = offset;
  } else if (known.state == BudgetLeaseState::Cleared) {
    known.clearedOffset = offset;
  }
}

void BudgetLeaseTable::addLease(const BudgetLease& record, std::uint64_t offset, Instant now) {
  Entry entry;
  entry.holder = record.holder;
  entry.state = record.state;
  entry.updatedAt = now;
  entry.renewal = record.renewal;
  entry.slot = record.slot;
  entry.witnesses = record.witnesses;
  if (record.state != BudgetLeaseState::Held) {
    entry.endedOffset = offset;
  }
  if (record.state == BudgetLeaseState::Cleared) {
    entry.clearedOffset = offset;
    // The earlier records are no longer in the log, so the lease may not have been released.
    leases_.emplace(record.lease, std::move(entry));
    return;
  }
  // Only a renewal names the secondary slot, so the lease's first record is no longer in the log.
  const bool isSecondary =
      record.slot == BudgetLeaseSlot::Secondary && isSlotFree(BudgetLeaseSlot::Secondary);
  const std::optional<BudgetLeaseSlot> slot =
      isSecondary ? std::optional(BudgetLeaseSlot::Secondary) : slotForNewLease();
  if (slot) {
    entry.slot = *slot;
    leases_.emplace(record.lease, std::move(entry));
  }
}

// While the primary lease is held, no second lease is granted: if both holders died, both leases
// would count against every reservation, and running programs would be refused.
std::optional<BudgetLeaseSlot> BudgetLeaseTable::slotForNewLease() const {
  const auto primary = activeLease(BudgetLeaseSlot::Primary);
  if (primary == leases_.end()) {
    return BudgetLeaseSlot::Primary;
  }
  const bool hasEnded = primary->second.state == BudgetLeaseState::Ended;
  return hasEnded && isSlotFree(BudgetLeaseSlot::Secondary)
             ? std::optional(BudgetLeaseSlot::Secondary)
             : std::nullopt;
}

BudgetLeaseTable::Leases::const_iterator BudgetLeaseTable::activeLease(BudgetLeaseSlot slot) const {
  return std::find_if(leases_.begin(), leases_.end(), [slot](const auto& entry) {
    return entry.second.state != BudgetLeaseState::Cleared && entry.second.slot == slot;
  });
}

bool BudgetLeaseTable::hasSlotFor(const std::string& ownLease) const {
  return slotOf(ownLease) || slotForNewLease();
}

bool BudgetLeaseTable::canPromote(const std::string& lease) const {
  return slotOf(lease) == BudgetLeaseSlot::Secondary && isSlotFree(BudgetLeaseSlot::Primary);
}

ForeignLeases BudgetLeaseTable::foreignLeases(const std::string& ownLease,
                                              std::optional<std::uint64_t> firstRecord,
                                              std::uint64_t below, Instant now) const {
  ForeignLeases leases;
  for (const auto& lease : leases_) {
    if (!isUnclearedForeign(lease, ownLease, below)) {
      continue;
    }
    const Entry& entry = lease.second;
    addSpendingUnder(entry.slot, leases.all);
    const bool isProgramOlder =
        firstRecord && entry.endedOffset && *firstRecord < *entry.endedOffset;
    const bool mayBecomeKnown = !entry.witnesses.empty() && !entry.areWitnessesLost;
    if (isProgramOlder && !mayBecomeKnown && now - entry.updatedAt >= knobs_.longestProgramTime()) {
      addSpendingUnder(entry.slot, leases.permanent);
    }
  }
  return leases;
}

std::vector<BudgetLease> BudgetLeaseTable::activeForeignLeases(const std::string& ownLease) const {
  std::vector<BudgetLease> active;
  for (const auto& [id, entry] : leases_) {
    if (id != ownLease && entry.state != BudgetLeaseState::Cleared) {
      active.push_back({id, entry.holder, entry.state, entry.renewal, entry.slot, entry.witnesses});
    }
  }
  return active;
}

void BudgetLeaseTable::onWitnessesLost(const std::string& lease) {
  const auto found = leases_.find(lease);
  if (found != leases_.end()) {
    found->second.areWitnessesLost = true;
  }
}

bool BudgetLeaseTable::hasActiveForeignLease(const std::string& ownLease) const {
  return std::any_of(leases_.begin(), leases_.end(), [&](const auto& lease) {
    return lease.first != ownLease && lease.second.state != BudgetLeaseState::Cleared;
  });
}

std::optional<BudgetLease> BudgetLeaseTable::nextTransition(const std::string& ownLease,
                                                            const std::string& ownHolder,
                                                            Instant now) const {
  for (const BudgetLeaseSlot slot : kSlots) {
    const auto lease = activeLease(slot);
    if (lease == leases_.end() || lease->first == ownLease) {
      continue;
    }
    if (std::optional<BudgetLease> record = nextTransitionOf(*lease, ownHolder, now)) {
      return record;
    }
  }
  return std::nullopt;
}

std::optional<BudgetLease> BudgetLeaseTable::nextTransitionOf(const Leases::value_type& lease,
                                                              const std::string& ownHolder,
                                                              Instant now) const {
  const Entry& entry = lease.second;
  BudgetLease record{lease.first,   entry.holder, BudgetLeaseState::Ended,
                     entry.renewal, entry.slot,   entry.witnesses};
  const Duration age = now - entry.updatedAt;
  if (entry.state == BudgetLeaseState::Held) {
    const bool isDead = entry.holder == ownHolder || age >= knobs_.expiry;
    return isDead ? std::optional(record) : std::nullopt;
  }
  record.state = BudgetLeaseState::Cleared;
  return age >= knobs_.retention ? std::optional(record) : std::nullopt;
}

std::optional<BudgetLeaseState> BudgetLeaseTable::stateOf(const std::string& lease) const {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? std::nullopt : std::optional(found->second.state);
}

std::optional<BudgetLeaseSlot> BudgetLeaseTable::slotOf(const std::string& lease) const {
  const auto found = leases_.find(lease);
  const bool isInForce = found != leases_.end() && found->second.state != BudgetLeaseState::Cleared;
  return isInForce ? std::optional(found->second.slot) : std::nullopt;
}

void BudgetLeaseTable::evictCleared(Instant now) {
  std::erase_if(leases_, [&](const auto& entry) {
    return entry.second.state == BudgetLeaseState::Cleared &&
           now - entry.second.updatedAt >= knobs_.retention;
  });
}

std::uint64_t LeaseAllowance::tokensOfShare(double share) const {
  return static_cast<std::uint64_t>(share * static_cast<double>(budget_));
}

bool LeaseAllowance::allows(BudgetLeaseSlot slot, std::uint64_t unrecorded,
                            std::uint64_t tokens) const {
  const LeaseShares& shares = knobs_.sharesOf(slot);
  const bool withinShare = unrecorded + tokens <= tokensOfShare(shares.share);
  return withinShare || (unrecorded == 0 && tokens <= tokensOfShare(shares.singleTurnShare));
}

std::uint64_t LeaseAllowance::maxSpentUnder(BudgetLeaseSlot slot, std::uint64_t largestTurn) const {
  const LeaseShares& shares = knobs_.sharesOf(slot);
  return std::max(tokensOfShare(shares.share),
                  std::min(largestTurn, tokensOfShare(shares.singleTurnShare)));
}

std::uint64_t LeaseAllowance::maxSpent(UnrecordedSpending spending,
                                       std::uint64_t largestTurn) const {
  const std::uint64_t primary = maxSpentUnder(BudgetLeaseSlot::Primary, largestTurn);
  const std::uint64_t secondary = maxSpentUnder(BudgetLeaseSlot::Secondary, largestTurn);
  switch (spending) {
    case UnrecordedSpending::None:
      return 0;
    case UnrecordedSpending::Secondary:
      return secondary;
    case UnrecordedSpending::Primary:
      return primary;
    case UnrecordedSpending::Both:
      break;
  }
  return primary + secondary;
}

}  // namespace gorsetrail::ledger
