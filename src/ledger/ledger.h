/// \file Interface for the conversation histories and token budgets of programs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/reservation.h"
#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// The inputs and outputs of a turn and of all turns before it.
struct History {
  std::string text;
  /// The earlier turn that this turn's record extends; empty: the record holds the whole history.
  std::string base;
  std::size_t baseBytes = 0;  ///< Length of the base's history at the start of `text`.
};
/// The turn does not exist: the log was read to its end after the lookup began.
struct UnknownTurn {};
/// A partition that may hold the turn but could not be read to its end.
struct UnreadPartition {
  std::string partition;
  std::uint32_t choice = 0;  ///< See `TurnPlacement`.
  std::string reason;
  std::vector<CoordinatorReport> asked{};  ///< In the order they were called.
  bool coordinatorLives = false;           ///< A coordinator replied or answered a liveness probe.
};
/// The log could not be read, so it is unknown whether the turn exists.
struct LedgerUnavailable {
  std::string reason;
  std::vector<UnreadPartition> unread{};  ///< In search order.
};
using HistoryAnswer = std::variant<History, UnknownTurn, LedgerUnavailable>;

/// Whether reservations of a budget partition are expected to be decided.
enum class ReservationOutlook : std::uint8_t {
  /// No recent failure.
  Likely,
  /// The last one failed, or the store does not answer this node. The coordinator's lease may still
  /// decide.
  Uncertain,
  /// Several failed recently; the coordinator's lease may still decide.
  Unlikely,
};

/// Zones that may store a turn, nearest first; empty: no restriction.
using TurnZones = std::vector<std::string>;

/// Identifies a turn.
struct TurnName {
  std::string request;
  TurnZones zones{};
};

/// A completed turn to be stored, with the history it extends.
struct TurnToStore {
  std::string request;   ///< Id of the client's request; identifies the turn.
  std::string previous;  ///< The preceding turn; empty: none.
  History before;        ///< History of `previous`.
  std::string addition;  ///< The turn's own input and output.
  TurnZones zones{};
};

/// \return the history of `base` extended by the text that the record of a later turn adds.
History extendHistory(History base, const std::string& baseRequest, const std::string& piece);

/// \return the turn's record. It holds the history since `before.base` if that fits
/// `maximumInlineHistoryBytes`, else only the turn's addition with `previous` as its base.
CompletedTurn makeCompletedTurn(TurnToStore turn, std::size_t maximumInlineHistoryBytes);

/// Access to histories and budgets. Every asynchronous method calls back exactly once, within its
/// time limit.
class Ledger {
 public:
  using HistoryCallback = std::function<void(HistoryAnswer)>;
  using StoredCallback = std::function<void(logstore::StoreResult<Success>)>;
  using ReservationCallback = std::function<void(ReservationReply)>;

  virtual ~Ledger() = default;
  /// Finds the history up to and including a turn.
  virtual void findHistory(const TurnName& turn, HistoryCallback callback) = 0;
  /// Stores a turn durably: after success every node can find it.
  virtual void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) = 0;
  /// Reserves tokens of a program's budget; see `ReservationReply`.
  virtual void reserve(const BudgetRequest& request, Duration timeLimit,
                       ReservationCallback callback) = 0;
  /// Returns the unused part of a reservation. Returns immediately; the record is appended later.
  virtual void settle(BudgetSettlement settlement) = 0;
  /// \return whether storing a turn is likely to succeed now.
  [[nodiscard]] virtual bool canStoreTurn(const TurnName& turn) = 0;
  /// \return whether a reservation for the program is likely to be decided now.
  [[nodiscard]] virtual ReservationOutlook reservationOutlook(const std::string& program) = 0;
  /// \return tokens used or reserved by the program, as far as this node knows.
  [[nodiscard]] virtual std::uint64_t knownTokenUse(const std::string& program) const = 0;
  /// \return tokens that may count against the program's budget, as far as this node knows: those
  /// of `knownTokenUse`, and what dead nodes may have spent. Says nothing about what the program
  /// did.
  [[nodiscard]] virtual std::uint64_t possibleTokenUse(const std::string& program) const = 0;
};

}  // namespace gorsetrail::ledger
