/// \file Records about programs in the shared log, and their encoding.
/// A fact stays true once written and is keyed by its request or lease id, so appending or reading
/// it twice has no further effect. Any node may append any fact: no ownership or fencing is needed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::ledger {

/// A completed turn. Its full history is that of `base` (if any) followed by `history`: all inputs
/// and outputs in order, including this turn's.
struct CompletedTurn {
  std::string request;  ///< Id of the client's request; identifies the turn.
  std::string base;     ///< Request id of an earlier turn, or empty.
  std::string history;
};

/// Reserves the maximum number of tokens that a request can generate. Made before its first token
/// is sent.
struct BudgetReservation {
  std::string request;
  std::string program;
  std::uint64_t tokens = 0;
};

/// A reservation to be decided against the program's budget.
struct BudgetRequest {
  BudgetReservation reservation;
  std::uint64_t budget = 0;  ///< Tokens of the whole program.
  /// The program's declared remaining time: zero if it is overdue, nothing if it was not declared.
  std::optional<Duration> programTimeLeft;
};

/// A finished request with the tokens it actually generated, at most the reserved number.
struct BudgetSettlement {
  std::string request;
  std::string program;
  std::uint64_t tokens = 0;
};

/// States of a budget lease; transitions only go forwards.
enum class BudgetLeaseState : std::uint8_t {
  Held,     ///< The holder may spend before recording, see `BudgetLeaseTable`.
  Ended,    ///< The holder will not spend under it any more.
  Cleared,  ///< No program that started after this record can have spent under it.
};

/// A partition has at most one lease in each slot. The slots allow different shares of a budget.
enum class BudgetLeaseSlot : std::uint8_t {
  Primary,
  Secondary,  ///< Taken while the primary lease has ended and is not cleared.
};

/// A process that stores the grants of a lease until they are recorded, see `LeaseWitness`.
struct WitnessProcess {
  std::string address;
  std::string incarnation;  ///< Differs between the processes of an address.
};

/// A state change of a lease. A lease lets a partition's coordinator grant reservations before
/// recording them.
struct BudgetLease {
  std::string lease;   ///< Unique over all partitions and processes.
  std::string holder;  ///< Address of the holding node; its earlier processes are dead.
  BudgetLeaseState state = BudgetLeaseState::Held;
  /// Held: increases with each record of the lease. Ended: the newest renewal known to the writer;
  /// the end is void if a newer renewal precedes it in the log.
  std::uint64_t renewal = 0;
  /// The slot known to the writer, for readers whose log no longer contains the lease's first
  /// record. The order of the log decides which slot a new lease takes.
  BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;
  /// A majority of them stores each grant before it is used. Fixed by the lease's first record;
  /// empty: nobody but the holder knows of its grants before they are recorded.
  std::vector<WitnessProcess> witnesses{};
};

using Fact = std::variant<CompletedTurn, BudgetReservation, BudgetSettlement, BudgetLease>;

std::string encodeFact(const Fact& fact);

/// Verifies and decodes a record. Errors: `InvalidFrame`.
Result<Fact> decodeFact(std::string_view record);

}  // namespace gorsetrail::ledger
