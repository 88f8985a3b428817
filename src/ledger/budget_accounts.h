/// \file Token budgets of programs, computed from the facts read so far. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"
#include "ledger/facts.h"

namespace gorsetrail::ledger {

/// Sums reservations and settlements by program. The log's order decides between requests that
/// reserve at the same time: each counts everything that stands before it.
class BudgetAccounts {
 public:
  void onReservation(const BudgetReservation& reservation, std::uint64_t offset, Instant now);
  void onSettlement(const BudgetSettlement& settlement, Instant now);

  /// \return tokens that all known requests of the program have used or may use.
  [[nodiscard]] std::uint64_t usedBy(const std::string& program) const;
  /// \return tokens that requests other than `request`, reserved below `offset`, have used or may
  /// use.
  [[nodiscard]] std::uint64_t usedBefore(const std::string& program, std::string_view request,
                                         std::uint64_t offset) const;
  /// \return the largest known reservation of the program; 0 for an unknown one.
  [[nodiscard]] std::uint64_t largestReservationOf(const std::string& program) const;
  /// Forgets programs of which nothing was heard since then.
  void forgetIdleSince(Instant moment);
  [[nodiscard]] std::size_t size() const { return accounts_.size(); }

 private:
  struct Entry {
    std::uint64_t offset = UINT64_MAX;  ///< Of the first reservation record.
    std::uint64_t reserved = 0;
    std::optional<std::uint64_t> settled;

    [[nodiscard]] std::uint64_t tokens() const { return settled.value_or(reserved); }
  };
  struct Account {
    std::unordered_map<std::string, Entry> entries;
    Instant lastHeard;
  };

  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace gorsetrail::ledger
