/// \file What a program tree may still use: worst cases are reserved before dispatch, and settled
/// by what was used.
#pragma once

#include <cstdint>

#include "base/result.h"
#include "base/time.h"
#include "program/journal_interface.h"

namespace gorsetrail::program {

/// Worst case of one call.
struct BudgetReservation {
  std::uint32_t tokens = 0;
  Duration time{};
};

/// Calls, tokens and seconds of one program with all its sub-agents. A limit of 0 does not limit.
class BudgetLedger {
 public:
  explicit BudgetLedger(const BudgetLimits& limits = {}) : limits_(limits) {}

  /// Takes the worst case out of the budget.
  /// \return `BudgetExceeded`, which names the limit, if it does not fit; then nothing is taken.
  Result<Success> reserve(const BudgetReservation& worstCase);
  /// Replaces a reservation by what was used. A call that did not run gives back its place too.
  void settle(const BudgetReservation& worstCase, const OutcomeEntry& outcome);

  [[nodiscard]] std::uint32_t callsMade() const { return calls_; }
  [[nodiscard]] std::uint64_t tokensUsed() const { return tokensUsed_; }
  /// Takes over an intent read from a journal, even beyond the limit.
  void adopt(const BudgetReservation& worstCase);

 private:
  BudgetLimits limits_;
  std::uint32_t calls_ = 0;
  std::uint64_t tokensUsed_ = 0;
  std::uint64_t tokensReserved_ = 0;
  Duration timeUsed_{};
  Duration timeReserved_{};
};

}  // namespace gorsetrail::program
