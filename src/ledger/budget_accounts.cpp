#include "ledger/budget_accounts.h"

#include <algorithm>

namespace gorsetrail::ledger {

BudgetAccounts::RequestUsage& BudgetAccounts::addReservation(Account& account,
                                                             const BudgetReservation& reservation,
                                                             Instant now) {
  account.lastUpdatedAt = now;
  RequestUsage& usage = account.usageByRequest[reservation.request];
  usage.reserved = std::max(usage.reserved, reservation.tokens);
  usage.reservedAt = usage.reservedAt.value_or(now);
  return usage;
}

void BudgetAccounts::applyReservation(const BudgetReservation& reservation, std::uint64_t offset,
                                      Instant now) {
  Account& account = accounts_[reservation.program];
  RequestUsage& usage = addReservation(account, reservation, now);
  usage.offset = std::min(usage.offset, offset);
  usage.recordOffset = std::min(usage.recordOffset, offset);
  account.firstRecord = std::min(offset, account.firstRecord.value_or(offset));
}

void BudgetAccounts::applyGrant(const BudgetReservation& reservation, Instant now) {
  addReservation(accounts_[reservation.program], reservation, now).offset = 0;
}

void BudgetAccounts::revokeGrant(const BudgetReservation& reservation) {
  const auto account = accounts_.find(reservation.program);
  if (account == accounts_.end()) {
    return;
  }
  const auto usage = account->second.usageByRequest.find(reservation.request);
  if (usage == account->second.usageByRequest.end()) {
    return;
  }
  if (usage->second.recordOffset == UINT64_MAX && !usage->second.settled) {
    account->second.usageByRequest.erase(usage);
  } else if (usage->second.settled.value_or(0) == 0) {
    usage->second.offset = usage->second.recordOffset;
  }
}

const BudgetAccounts::RequestUsage* BudgetAccounts::find(const std::string& program,
                                                         const std::string& request) const {
  const auto account = accounts_.find(program);
  if (account == accounts_.end()) {
    return nullptr;
  }
  const auto usage = account->second.usageByRequest.find(request);
  return usage == account->second.usageByRequest.end() ? nullptr : &usage->second;
}

bool BudgetAccounts::isRecorded(const BudgetReservation& reservation) const {
  const RequestUsage* const usage = find(reservation.program, reservation.request);
  return usage != nullptr && usage->recordOffset != UINT64_MAX;
}

bool BudgetAccounts::isRecorded(const BudgetSettlement& settlement) const {
  const RequestUsage* const usage = find(settlement.program, settlement.request);
  return usage != nullptr && usage->recordedSettlement >= settlement.tokens;
}

void BudgetAccounts::onSettlementRecorded(const BudgetSettlement& settlement) {
  RequestUsage& usage = accounts_[settlement.program].usageByRequest[settlement.request];
  usage.recordedSettlement = std::max(usage.recordedSettlement, std::optional(settlement.tokens));
}

void BudgetAccounts::applySettlement(const BudgetSettlement& settlement, Instant now) {
  Account& account = accounts_[settlement.program];
  account.lastUpdatedAt = now;
  RequestUsage& usage = account.usageByRequest[settlement.request];
  usage.settled = std::max(usage.settled.value_or(0), settlement.tokens);
  usage.offset = settlement.tokens > 0 ? 0 : usage.offset;
}

std::uint64_t BudgetAccounts::tokensUsedBy(const std::string& program) const {
  return tokensUsedBefore(program, {}, UINT64_MAX);
}

std::uint64_t BudgetAccounts::tokensUsedBefore(const std::string& program, std::string_view request,
                                               std::uint64_t offset) const {
  return useBefore(program, request, offset, Instant::min()).counted;
}

TokenUse BudgetAccounts::useBefore(const std::string& program, std::string_view request,
                                   std::uint64_t offset, Instant unsettledSince) const {
  TokenUse use;
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return use;
  }
  for (const auto& [id, usage] : found->second.usageByRequest) {
    if (id != request && usage.offset < offset) {
      use.counted += usage.tokens();
      const bool maySettle = !usage.settled && usage.reservedAt >= unsettledSince;
      use.unsettled += maySettle ? usage.reserved : 0;
    }
  }
  return use;
}

std::optional<std::uint64_t> BudgetAccounts::firstRecordOf(const std::string& program) const {
  const auto found = accounts_.find(program);
  return found == accounts_.end() ? std::nullopt : found->second.firstRecord;
}

std::uint64_t BudgetAccounts::largestReservationOf(const std::string& program) const {
  const auto found = accounts_.find(program);
  std::uint64_t largest = 0;
  if (found != accounts_.end()) {
    for (const auto& [id, usage] : found->second.usageByRequest) {
      largest = std::max(largest, usage.reserved);
    }
  }
  return largest;
}

void BudgetAccounts::evictIdleSince(Instant cutoff) {
  for (auto account = accounts_.begin(); account != accounts_.end();) {
    account =
        account->second.lastUpdatedAt < cutoff ? accounts_.erase(account) : std::next(account);
  }
}

}  // namespace gorsetrail::ledger
