/// \file What requests need to know and to keep of programs: histories and budgets.
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

/// A turn's inputs and outputs with all before it.
struct History {
  std::string text;
  /// The turn's own record goes on from this earlier turn; empty: it holds everything.
  std::string base;
  std::size_t baseBytes = 0;  ///< Length of the base's history at the start of `text`.
};
/// The log was read to its end after the question: there is no such turn.
struct UnknownTurn {};
/// A partition that a turn may stand in and that could not be read to its end.
struct UnreadPartition {
  std::string partition;
  std::uint32_t choice = 0;  ///< See `TurnPlacement`.
  std::string reason;
  std::vector<CoordinatorWord> asked{};  ///< In the order they were asked.
  bool coordinatorLives = false;         ///< One replied, or answered a liveness probe.
};
/// The log could not be read: nothing can be said.
struct LedgerUnavailable {
  std::string reason;
  std::vector<UnreadPartition> unread{};  ///< In the order they were searched.
};
using HistoryAnswer = std::variant<History, UnknownTurn, LedgerUnavailable>;

/// Whether a reservation of a partition's budgets can be expected to be decided.
enum class ReservationOutlook : std::uint8_t {
  Likely,    ///< Nothing speaks against it.
  Doubtful,  ///< The last one failed, or the store does not answer here: a home's lease may decide.
  Unlikely,  ///< Several failed a moment ago; likewise.
};

/// Zones whose nodes may hold a turn, nearest first; empty: the turn may be held anywhere.
using TurnZones = std::vector<std::string>;

/// Names a turn.
struct TurnName {
  std::string request;
  TurnZones zones{};
};

/// A turn whose answer was made whole, with what it goes on from.
struct TurnToStore {
  std::string request;   ///< Names the turn.
  std::string previous;  ///< The turn before; empty: none.
  History before;        ///< History of `previous`, as it was found.
  std::string addition;  ///< The turn's own input and output.
  TurnZones zones{};
};

/// \return the history of `base` with the piece that a later turn's record adds to it.
History appendPiece(History base, const std::string& baseTurn, const std::string& piece);

/// \return the turn's record: with the whole history while that is short, else with what came
/// after an earlier turn.
CompletedTurn completedTurnOf(TurnToStore turn, std::size_t maximumInlineHistoryBytes);

/// Histories and budgets. Every call calls back once; none of them waits longer than its limit.
class Ledger {
 public:
  using HistoryCallback = std::function<void(HistoryAnswer)>;
  using StoredCallback = std::function<void(logstore::StoreResult<Success>)>;
  using ReservationCallback = std::function<void(ReservationReply)>;

  virtual ~Ledger() = default;
  /// Finds the history up to and with a turn.
  virtual void findHistory(const TurnName& turn, HistoryCallback callback) = 0;
  /// Stores a turn. After success every node finds the turn, whatever fails afterwards.
  virtual void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) = 0;
  /// Reserves tokens of a program's budget in the log.
  virtual void reserve(const BudgetRequest& request, Duration timeLimit,
                       ReservationCallback callback) = 0;
  /// Gives back what a reservation did not use. Returns at once; the record follows soon.
  virtual void settle(BudgetSettlement settlement) = 0;
  /// \return whether a turn can probably be stored now.
  [[nodiscard]] virtual bool takesTurn(const TurnName& turn) = 0;
  /// \return whether tokens of the program can probably be reserved now.
  [[nodiscard]] virtual ReservationOutlook reservationOutlook(const std::string& program) = 0;
  /// \return tokens that the program has used or may use, as far as this node knows.
  [[nodiscard]] virtual std::uint64_t knownUse(const std::string& program) const = 0;
};

}  // namespace gorsetrail::ledger
