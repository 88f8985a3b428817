/// \file Calls to the coordinator of a ledger partition, their replies, and the encoding of both.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/lease_witness.h"
#include "ledger/ledger_partitions.h"
#include "ledger/reservation.h"

namespace gorsetrail::ledger {

/// Looks up a turn's own record in one of the partitions that may hold it.
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
using LedgerRequest = std::variant<FindTurnRequest, StoreTurnRequest, ReserveRequest, SettleRequest,
                                   StoreGrantsRequest, SealLeaseRequest>;

/// Outcome of a call.
enum class LedgerOutcome : std::uint8_t {
  Unavailable,  ///< Undecided: the store or the coordinator did not answer.
  Done,         ///< Found, stored, granted or settled.
  UnknownTurn,  ///< The partition was read to its end and does not hold the turn.
  BudgetSpent,
  Rejected,  ///< Retrying cannot succeed.
};

/// Reply to any call. Fields that do not apply to the call are empty.
struct LedgerReply {
  LedgerOutcome outcome = LedgerOutcome::Unavailable;
  std::string base;              ///< Of the turn that was found.
  std::string history;           ///< Of the turn that was found.
  std::uint64_t tokensUsed = 0;  ///< After a reservation: used or reserved by the program.
  std::string reason;            ///< Why it failed.
  /// After a reservation or settlement: whether the coordinator holds a lease or can reach the
  /// store. If not, a turn is dispatched only after its reservation was granted.
  bool canDecideReservations = true;
  // After a reservation; see `ReservationReply`.
  UndecidedReason undecided = UndecidedReason::Unknown;
  UnrecordedSpending unseenLeases = UnrecordedSpending::None;
  std::uint64_t tokensUnseen = 0;
  std::uint64_t tokensUnsettled = 0;
  std::string grantedUnder{};
  // Of a witness.
  std::string incarnation{};
  std::vector<LeaseGrant> grants{};  ///< Those of a sealed lease that it holds.
};

std::string encodeLedgerRequest(const LedgerRequest& request);
/// Errors: `InvalidFrame`.
Result<LedgerRequest> decodeLedgerRequest(std::string_view bytes);
std::string encodeLedgerReply(const LedgerReply& reply);
/// Errors: `InvalidFrame`.
Result<LedgerReply> decodeLedgerReply(std::string_view bytes);

}  // namespace gorsetrail::ledger
