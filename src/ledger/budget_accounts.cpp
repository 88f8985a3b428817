#include "ledger/budget_accounts.h"

#include <algorithm>

namespace gorsetrail::ledger {

void BudgetAccounts::onReservation(const BudgetReservation& reservation, std::uint64_t offset,
                                   Instant now) {
  Account& account = accounts_[reservation.program];
  account.lastHeard = now;
  Entry& entry = account.entries[reservation.request];
  entry.offset = std::min(entry.offset, offset);
  entry.reserved = std::max(entry.reserved, reservation.tokens);
}

void BudgetAccounts::onSettlement(const BudgetSettlement& settlement, Instant now) {
  Account& account = accounts_[settlement.program];
  account.lastHeard = now;
  account.entries[settlement.request].settled = settlement.tokens;
}

std::uint64_t BudgetAccounts::usedBy(const std::string& program) const {
  return usedBefore(program, {}, UINT64_MAX);
}

std::uint64_t BudgetAccounts::usedBefore(const std::string& program, std::string_view request,
                                         std::uint64_t offset) const {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return 0;
  }
  std::uint64_t total = 0;
  for (const auto& [id, entry] : found->second.entries) {
    if (id != request && entry.offset < offset) {
      total += entry.tokens();
    }
  }
  return total;
}

std::uint64_t BudgetAccounts::largestReservationOf(const std::string& program) const {
  const auto found = accounts_.find(program);
  std::uint64_t largest = 0;
  if (found != accounts_.end()) {
    for (const auto& [id, entry] : found->second.entries) {
      largest = std::max(largest, entry.reserved);
    }
  }
  return largest;
}

void BudgetAccounts::forgetIdleSince(Instant moment) {
  for (auto account = accounts_.begin(); account != accounts_.end();) {
    account = account->second.lastHeard < moment ? accounts_.erase(account) : std::next(account);
  }
}

}  // namespace gorsetrail::ledger
