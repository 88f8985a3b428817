/// \file Calls between nodes to the home of a ledger's partition, and their replies.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/ledger_partitions.h"
#include "ledger/reservation.h"

namespace gorsetrail::ledger {

/// Asks for a turn's own record in one of the partitions that it may stand in.
struct FindTurnRequest {
  TurnPlacement placement;
  std::string turn;
};
struct StoreTurnRequest {
  TurnPlacement placement;
  CompletedTurn record;
  Duration timeLimit{};
};
struct ReserveRequest {
  BudgetRequest budget;
  Duration timeLimit{};
};
struct SettleRequest {
  BudgetSettlement settlement;
};
using LedgerRequest =
    std::variant<FindTurnRequest, StoreTurnRequest, ReserveRequest, SettleRequest>;

/// How a call ended.
enum class LedgerOutcome : std::uint8_t {
  Unavailable,  ///< Nothing can be said: the store or the home did not answer.
  Done,         ///< Found, stored, granted or noted.
  UnknownTurn,  ///< The partition was read to its end: no such turn there.
  BudgetSpent,
  Rejected,  ///< It will never succeed.
};

/// Reply to any call; fields that do not belong to the call are empty.
struct LedgerReply {
  LedgerOutcome outcome = LedgerOutcome::Unavailable;
  std::string base;              ///< Of the turn that was found.
  std::string history;           ///< Of the turn that was found.
  std::uint64_t tokensUsed = 0;  ///< By the program, after a reservation.
  std::string reason;            ///< Why it failed.
  /// After a reservation or settlement: the home holds a lease, or the store answers it. Where it
  /// does not, a turn is not dispatched beside its reservation.
  bool decidesReservations = true;
  // Only after a reservation; see `ReservationReply`.
  UndecidedReason undecided = UndecidedReason::Unknown;
  UnseenSpending unseenLeases = UnseenSpending::None;
  std::uint64_t tokensUnseen = 0;
};

std::string encodeLedgerRequest(const LedgerRequest& request);
/// Errors: `InvalidFrame`.
Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes);
std::string encodeLedgerReply(const LedgerReply& reply);
/// Errors: `InvalidFrame`.
Result<LedgerReply> decodeLedgerReply(std::string_view bytes);

}  // namespace gorsetrail::ledger
