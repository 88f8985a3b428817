#include "ledger/budget_lease_table.h"

#include <algorithm>

namespace gorsetrail::ledger {
namespace {

constexpr std::array kSlots{BudgetLeaseSlot::Primary, BudgetLeaseSlot::Secondary};

UnseenSpending spendingUnder(BudgetLeaseSlot slot) {
  return slot == BudgetLeaseSlot::Primary ? UnseenSpending::Primary : UnseenSpending::Secondary;
}

}  // namespace

void BudgetLeaseTable::onRecord(const BudgetLease& record, std::uint64_t offset, Instant now) {
  const auto found = leases_.find(record.lease);
  if (found == leases_.end()) {
    onNewLease(record, offset, now);
    return;
  }
  Entry& known = found->second;
  const bool isRenewal = record.state == BudgetLeaseState::Held &&
                         known.state == BudgetLeaseState::Held && record.renewal > known.renewal;
  const bool isVoidEnd = record.state == BudgetLeaseState::Ended && record.renewal < known.renewal;
  if (!isRenewal && (record.state <= known.state || isVoidEnd)) {
    return;
  }
  if (isRenewal && isFree(BudgetLeaseSlot::Primary)) {
    known.slot = BudgetLeaseSlot::Primary;
  }
  const bool hadEnded = known.state == BudgetLeaseState::Ended;
  known.state = record.state;
  known.since = now;
  known.renewal = std::max(known.renewal, record.renewal);
  if (known.state != BudgetLeaseState::Cleared) {
    return;
  }
  known.clearedAt = offset;
  // From held it is only its holder that clears it, after all under it was recorded.
  if (hadEnded) {
    clearEnded(known, now);
  }
}

void BudgetLeaseTable::onNewLease(const BudgetLease& record, std::uint64_t offset, Instant now) {
  Entry entry;
  entry.holder = record.holder;
  entry.state = record.state;
  entry.since = now;
  entry.renewal = record.renewal;
  entry.slot = record.slot;
  if (record.state == BudgetLeaseState::Cleared) {
    entry.clearedAt = offset;
    // Its earlier records are gone, so it is not known what it may have spent.
    notePast(UnseenSpending::Both, now);
    leases_.emplace(record.lease, std::move(entry));
    return;
  }
  // Only a renewal names the secondary slot: then the partition does not hold the first record.
  const bool isSecondary =
      record.slot == BudgetLeaseSlot::Secondary && isFree(BudgetLeaseSlot::Secondary);
  const std::optional<BudgetLeaseSlot> slot =
      isSecondary ? std::optional(BudgetLeaseSlot::Secondary) : slotForNew();
  if (slot) {
    entry.slot = *slot;
    leases_.emplace(record.lease, std::move(entry));
  }
}

// Beside a lease that is still held there is no second one: two that both die count together for
// who decides by the log, and turns that go on then find no room.
std::optional<BudgetLeaseSlot> BudgetLeaseTable::slotForNew() const {
  const auto primary = inForce(BudgetLeaseSlot::Primary);
  if (primary == leases_.end()) {
    return BudgetLeaseSlot::Primary;
  }
  const bool hasEnded = primary->second.state == BudgetLeaseState::Ended;
  return hasEnded && isFree(BudgetLeaseSlot::Secondary) ? std::optional(BudgetLeaseSlot::Secondary)
                                                        : std::nullopt;
}

void BudgetLeaseTable::clearEnded(const Entry& cleared, Instant now) {
  const bool overlapped = isRemembered(cleared.overlappedAt, now);
  notePast(overlapped ? UnseenSpending::Both : spendingUnder(cleared.slot), now);
  for (auto& [id, lease] : leases_) {
    if (lease.state != BudgetLeaseState::Cleared) {
      lease.overlappedAt = now;
    }
  }
}

void BudgetLeaseTable::notePast(UnseenSpending spending, Instant now) {
  past_.at(static_cast<std::size_t>(spending)) = now;
}

bool BudgetLeaseTable::isRemembered(const std::optional<Instant>& moment, Instant now) const {
  return moment && now - *moment < knobs_.memory;
}

BudgetLeaseTable::Leases::const_iterator BudgetLeaseTable::inForce(BudgetLeaseSlot slot) const {
  return std::find_if(leases_.begin(), leases_.end(), [slot](const auto& entry) {
    return entry.second.state != BudgetLeaseState::Cleared && entry.second.slot == slot;
  });
}

bool BudgetLeaseTable::hasSlotFor(const std::string& ownLease) const {
  return slotOf(ownLease) || slotForNew();
}

bool BudgetLeaseTable::canMoveUp(const std::string& lease) const {
  return slotOf(lease) == BudgetLeaseSlot::Secondary && isFree(BudgetLeaseSlot::Primary);
}

UnseenSpending BudgetLeaseTable::unseenSpending(const std::string& ownLease, bool isTimely,
                                                std::uint64_t below, Instant now) const {
  UnseenSpending spending = UnseenSpending::None;
  for (const auto& lease : leases_) {
    if (isForeign(lease, ownLease, below)) {
      // Two may name the same slot: one was cleared behind `below`, and then the other moved up.
      const bool isOnly = spending == UnseenSpending::None;
      spending = isOnly ? spendingUnder(lease.second.slot) : UnseenSpending::Both;
    }
  }
  return isTimely ? spending : std::max(spending, lateSpending(ownLease, below, now));
}

UnseenSpending BudgetLeaseTable::lateSpending(const std::string& ownLease, std::uint64_t below,
                                              Instant now) const {
  const bool overlapped = std::any_of(leases_.begin(), leases_.end(), [&](const auto& lease) {
    return isForeign(lease, ownLease, below) && isRemembered(lease.second.overlappedAt, now);
  });
  UnseenSpending most = overlapped ? UnseenSpending::Both : UnseenSpending::None;
  for (const UnseenSpending spending :
       {UnseenSpending::Secondary, UnseenSpending::Primary, UnseenSpending::Both}) {
    if (isRemembered(past_.at(static_cast<std::size_t>(spending)), now)) {
      most = std::max(most, spending);
    }
  }
  return most;
}

std::optional<BudgetLease> BudgetLeaseTable::due(const std::string& ownLease,
                                                 const std::string& ownHolder, Instant now) const {
  for (const BudgetLeaseSlot slot : kSlots) {
    const auto lease = inForce(slot);
    if (lease == leases_.end() || lease->first == ownLease) {
      continue;
    }
    if (std::optional<BudgetLease> record = dueOf(*lease, ownHolder, now)) {
      return record;
    }
  }
  return std::nullopt;
}

std::optional<BudgetLease> BudgetLeaseTable::dueOf(const Leases::value_type& lease,
                                                   const std::string& ownHolder,
                                                   Instant now) const {
  const Entry& entry = lease.second;
  BudgetLease record{lease.first, entry.holder, BudgetLeaseState::Ended, entry.renewal, entry.slot};
  const Duration age = now - entry.since;
  if (entry.state == BudgetLeaseState::Held) {
    const bool isDead = entry.holder == ownHolder || age >= knobs_.expiry;
    return isDead ? std::optional(record) : std::nullopt;
  }
  record.state = BudgetLeaseState::Cleared;
  const bool isPast = age >= knobs_.longestProgramTime + knobs_.longestCall;
  return isPast ? std::optional(record) : std::nullopt;
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

void BudgetLeaseTable::forgetOld(Instant now) {
  std::erase_if(leases_, [&](const auto& entry) {
    return entry.second.state == BudgetLeaseState::Cleared &&
           now - entry.second.since >= knobs_.memory;
  });
}

std::uint64_t LeaseAllowance::partOf(double share) const {
  return static_cast<std::uint64_t>(share * static_cast<double>(budget_));
}

bool LeaseAllowance::allows(BudgetLeaseSlot slot, std::uint64_t ahead, std::uint64_t tokens) const {
  const LeaseShares& shares = knobs_.sharesOf(slot);
  const bool withinShare = ahead + tokens <= partOf(shares.share);
  return withinShare || (ahead == 0 && tokens <= partOf(shares.singleTurnShare));
}

std::uint64_t LeaseAllowance::mostSpentUnder(BudgetLeaseSlot slot,
                                             std::uint64_t largestTurn) const {
  const LeaseShares& shares = knobs_.sharesOf(slot);
  return std::max(partOf(shares.share), std::min(largestTurn, partOf(shares.singleTurnShare)));
}

std::uint64_t LeaseAllowance::mostSpent(UnseenSpending spending, std::uint64_t largestTurn) const {
  const std::uint64_t primary = mostSpentUnder(BudgetLeaseSlot::Primary, largestTurn);
  const std::uint64_t secondary = mostSpentUnder(BudgetLeaseSlot::Secondary, largestTurn);
  switch (spending) {
    case UnseenSpending::None:
      return 0;
    case UnseenSpending::Secondary:
      return secondary;
    case UnseenSpending::Primary:
      return primary;
    case UnseenSpending::Both:
      break;
  }
  return primary + secondary;
}

}  // namespace gorsetrail::ledger
