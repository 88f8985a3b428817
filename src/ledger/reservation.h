/// \file The outcome of a budget reservation, with the figures that decided it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/call_trace.h"

namespace gorsetrail::ledger {

enum class ReservationOutcome : std::uint8_t {
  Granted,      ///< It fits the budget, and is recorded in the log or covered by a lease.
  Spent,        ///< It does not fit; it was settled with zero tokens.
  Unavailable,  ///< Undecided: its record may or may not be in the log.
};

/// Why a reservation is `Unavailable`. The numbers are part of the wire format.
enum class UndecidedReason : std::uint8_t {
  Unknown = 0,  ///< The replying node runs an older version that does not report it.
  /// It would fit, but the rest may have been spent under leases of other nodes.
  UnseenSpending = 1,
  DecidedTooLate = 2,     ///< The program's remaining time was received too long ago.
  NoLease = 3,            ///< No lease is held, and the store does not answer.
  LeaseInsufficient = 4,  ///< The lease does not cover the turn, and the store does not answer.
  AppendFailed = 5,       ///< The store did not accept the record.
  ReadFailed = 6,         ///< The record was appended, but earlier records could not be read.
  NoAnswer = 7,           ///< No node replied.
  NodesNotKnown = 8,      ///< The calling node has not received the list of nodes yet.
  UnsettledTurns = 9,     ///< It would fit if other turns of the program return what they reserved.
  /// Too few witnesses of the lease stored the grant, and the store does not answer.
  WitnessesUnavailable = 10,
};

/// \return the reason's stable name for log lines.
std::string_view undecidedReasonName(UndecidedReason reason);

/// Leases under which a program may have spent tokens without a record. Each value covers the
/// smaller ones. The numbers are part of the wire format.
enum class UnrecordedSpending : std::uint8_t { None = 0, Secondary = 1, Primary = 2, Both = 3 };

/// \return the stable name of the leases for log lines.
std::string_view unrecordedSpendingName(UnrecordedSpending spending);

/// Reply to a reservation, with the tokens that were counted against the budget.
struct ReservationReply {
  ReservationOutcome outcome = ReservationOutcome::Unavailable;
  /// Used or reserved by the program, including a granted reservation.
  std::uint64_t tokensUsed = 0;
  UndecidedReason reason = UndecidedReason::Unknown;  ///< Set if the outcome is `Unavailable`.
  /// Counted in addition to `tokensUsed`.
  UnrecordedSpending unseenLeases = UnrecordedSpending::None;
  std::uint64_t tokensUnseen = 0;  ///< Upper bound spent under `unseenLeases`.
  /// The part of `tokensUsed` that turns without a settlement may still return.
  std::uint64_t tokensUnsettled = 0;
  std::string grantedUnder{};              ///< The lease of a grant; empty: granted by the log.
  std::string partition{};                 ///< The program's budget partition.
  std::string repliedBy{};                 ///< The node that sent the reply; may be empty.
  std::vector<CoordinatorReport> asked{};  ///< In the order they were called.
};

}  // namespace gorsetrail::ledger
