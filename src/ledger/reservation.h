/// \file What became of a reservation of a program's budget, and by which figures.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/call_trace.h"

namespace gorsetrail::ledger {

/// What became of a reservation.
enum class ReservationOutcome : std::uint8_t {
  Granted,      ///< It fits the budget, and stands in the log or under a lease.
  Spent,        ///< It does not fit; it was given back.
  Unavailable,  ///< The log did not answer: it may stand or not.
};

/// Why a reservation is `Unavailable`. The numbers are part of the wire format.
enum class UndecidedReason : std::uint8_t {
  Unknown = 0,            ///< The node that replied does not tell: an older version.
  UnseenSpending = 1,     ///< It would fit, but leases of others may have spent the rest unseen.
  DecidedTooLate = 2,     ///< The program's remaining time was told too long ago.
  NoLease = 3,            ///< No lease is held, and the store does not answer.
  LeaseInsufficient = 4,  ///< The lease does not cover the turn, and the store does not answer.
  AppendFailed = 5,       ///< The store did not take the record.
  ReadFailed = 6,         ///< The record stands, but what stands before it could not be read.
  NoAnswer = 7,           ///< No node that was asked replied.
  NodesNotKnown = 8,      ///< The asking node has not listed the others yet.
};

/// \return the reason's stable name, for log lines.
std::string_view undecidedReasonName(UndecidedReason reason);

/// Leases under which a program may have spent tokens unseen; each value includes those before it.
/// The numbers are part of the wire format.
enum class UnseenSpending : std::uint8_t { None = 0, Secondary = 1, Primary = 2, Both = 3 };

/// \return the stable name of the leases, for log lines.
std::string_view unseenSpendingName(UnseenSpending spending);

/// A reservation's outcome with the figures that decided it.
struct ReservationReply {
  ReservationOutcome outcome = ReservationOutcome::Unavailable;
  /// What the program has used or may use, a granted reservation included.
  std::uint64_t tokensUsed = 0;
  UndecidedReason reason = UndecidedReason::Unknown;   ///< Only where it is `Unavailable`.
  UnseenSpending unseenLeases = UnseenSpending::None;  ///< Counted besides `tokensUsed`.
  std::uint64_t tokensUnseen = 0;                      ///< The most spent under `unseenLeases`.
  std::string partition{};                             ///< That holds the program's budget.
  std::string repliedBy{};               ///< The node whose word this is; may be empty.
  std::vector<CoordinatorWord> asked{};  ///< In the order they were asked.
};

}  // namespace gorsetrail::ledger
