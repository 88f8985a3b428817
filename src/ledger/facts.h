/// \file Facts about programs as they stand in the shared log.
///
/// A fact is true for good and may stand in the log more than once: it is named by the request it
/// is about, so reading it twice changes nothing. No fact needs an owner, a lease or a fence.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/time.h"

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

/// Asks for a reservation.
struct BudgetRequest {
  BudgetReservation reservation;
  std::uint64_t budget = 0;  ///< Tokens of the whole program.
  /// Until the program should be over, zero when that has passed; nothing when it was not told.
  std::optional<Duration> programTimeLeft;
};

/// The request has ended: it handed out this many tokens, at most what was reserved.
struct BudgetSettlement {
  std::string request;
  std::string program;
  std::uint64_t tokens = 0;
};

/// How far a budget lease has come; it only goes forwards.
enum class BudgetLeaseState : std::uint8_t {
  Held,     ///< Its holder may spend ahead of the records, see `BudgetLeaseTable`.
  Ended,    ///< Its holder will not spend under it any more.
  Cleared,  ///< No program that began after this was recorded can have spent under it.
};

/// Each partition has one lease of each slot at most; they differ in what they allow.
enum class BudgetLeaseSlot : std::uint8_t {
  Primary,
  Secondary,  ///< Taken while the lease in the primary slot has ended and is not cleared.
};

/// A home may spend tokens of each program of the partition before their reservations stand.
struct BudgetLease {
  std::string lease;   ///< Unique id.
  std::string holder;  ///< Address of the home; its earlier processes are dead.
  BudgetLeaseState state = BudgetLeaseState::Held;
  /// Held: rises with each record of the lease. Ended: that of the newest record known; the end is
  /// void when a newer one stands before it.
  std::uint64_t renewal = 0;
  /// As far as the writer knows: for readers whose partition does not hold the lease's first record
  /// any more. The log's order decides which slot a new lease enters.
  BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;
};

using Fact = std::variant<CompletedTurn, BudgetReservation, BudgetSettlement, BudgetLease>;

/// \return the record of a fact.
std::string encodeFact(const Fact& fact);

/// Verifies and decodes a record. Errors: `InvalidFrame`.
Result<Fact> decodeFact(std::string_view record);

}  // namespace gorsetrail::ledger
