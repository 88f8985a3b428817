/// \file Facts about programs as they stand in the shared log.
///
/// A fact is true for good and may stand in the log more than once: it is named by the request it
/// is about, so reading it twice changes nothing. No fact needs an owner, a lease or a fence.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"

namespace gorsetrail::ledger {

/// A turn whose answer was made whole. Its history is that of `base` (when there is one) followed
/// by `history`: inputs and outputs in order, up to and with this turn's.
struct CompletedTurn {
  std::string request;  ///< Id of the client's request; names the turn.
  std::string base;     ///< An earlier turn, or empty.
  std::string history;
};

/// Before the first token of a request leaves, the most it can generate is reserved.
struct BudgetReservation {
  std::string request;
  std::string program;
  std::uint64_t tokens = 0;
};

/// The request has ended: it handed out this many tokens, at most what was reserved.
struct BudgetSettlement {
  std::string request;
  std::string program;
  std::uint64_t tokens = 0;
};

using Fact = std::variant<CompletedTurn, BudgetReservation, BudgetSettlement>;

/// \return the record of a fact.
std::string encodeFact(const Fact& fact);

/// Verifies and decodes a record. Errors: `InvalidFrame`.
Result<Fact> decodeFact(std::string_view record);

}  // namespace gorsetrail::ledger
