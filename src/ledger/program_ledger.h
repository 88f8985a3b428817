/// \file Histories and budgets of programs, on top of the shared log.
///
/// No node owns a program. Every node appends facts and reads the log of the program it is asked
/// about; the log's order decides. So there is nothing to take over when a node dies, and nothing
/// to fence when one was paused.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "ledger/budget_accounts.h"
#include "ledger/facts.h"
#include "ledger/partition_reader.h"
#include "ledger/turn_cache.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// A turn's inputs and outputs with all before it.
struct History {
  std::string text;
};
/// The log was read to its end after the question: there is no such turn.
struct UnknownTurn {};
/// The log could not be read: nothing can be said.
struct LedgerUnavailable {
  std::string reason;
};
using HistoryAnswer = std::variant<History, UnknownTurn, LedgerUnavailable>;

/// What became of a reservation.
enum class ReservationOutcome : std::uint8_t {
  Granted,      ///< It stands in the log and fits the budget.
  Spent,        ///< It does not fit; it was given back.
  Unavailable,  ///< The log did not answer: it may stand or not.
};

/// Sizes and times of the ledger.
struct LedgerKnobs {
  std::uint32_t topics = 32;             ///< Topics for turns, and as many for budgets.
  std::uint32_t partitionsPerTopic = 8;  ///< As the store has them.
  std::size_t cacheBytes = std::size_t{24} * 1024 * 1024;
  std::size_t maximumInlineHistoryBytes = std::size_t{32} * 1024;
  std::size_t maximumRecordBytes = std::size_t{256} * 1024;
  /// Settlements wait this long for an append that takes them along.
  Duration settlementDelay = milliseconds(300);
  Duration accountLifetime = seconds(300);
};

class ProgramLedger {
 public:
  using HistoryCallback = std::function<void(HistoryAnswer)>;
  using StoredCallback = std::function<void(logstore::StoreResult<Success>)>;
  using ReservationCallback = std::function<void(ReservationOutcome)>;

  /// \param store, timers outlive this object.
  ProgramLedger(logstore::PersistentStore& store, services::TimerService& timers,
                logstore::ClockFunction clock, LedgerKnobs knobs);

  /// Finds the history up to and with a turn. Calls back at once when it is in memory.
  void findHistory(const std::string& turn, HistoryCallback callback);

  /// Stores a turn that follows `previous` (empty: none), whose history was found before. When it
  /// calls back with success, every node finds the turn, whatever fails afterwards.
  void storeTurn(const std::string& turn, const std::string& previous, std::string addition,
                 Duration timeLimit, StoredCallback callback);

  /// Reserves tokens of a program's budget in the log.
  void reserve(const BudgetReservation& reservation, std::uint64_t budget, Duration timeLimit,
               ReservationCallback callback);
  /// Gives back what a reservation did not use. Returns at once; the record follows soon.
  void settle(BudgetSettlement settlement);
  /// \return whether a turn can probably be stored and its tokens reserved now.
  [[nodiscard]] bool isWritable(const std::string& turn, const std::string& program);
  /// \return tokens that the program has used or may use, as far as this node knows.
  [[nodiscard]] std::uint64_t knownUse(const std::string& program) const;

  /// Forgets accounts of programs long gone; call it now and then.
  void sweep();

 private:
  struct Partition {
    logstore::PartitionAddress address;
    std::shared_ptr<PartitionReader> reader;
    std::vector<std::string> pendingSettlements;
    bool flushScheduled = false;
  };

  Partition& turnPartition(const std::string& turn);
  Partition& budgetPartition(const std::string& program);
  Partition& partitionAt(std::uint32_t index, const char* topicPrefix);
  void onRecord(std::uint32_t index, std::uint64_t offset, std::string_view record);
  void keepTurn(CompletedTurn turn, std::uint32_t index, std::uint64_t offset);
  void findBase(CompletedTurn turn, HistoryCallback callback);
  void decideReservation(const BudgetReservation& reservation, std::uint64_t budget,
                         std::uint64_t offset, const ReservationCallback& callback);
  void flushSettlements(std::uint32_t index);
  [[nodiscard]] std::uint32_t turnIndex(const std::string& turn) const;
  [[nodiscard]] std::uint32_t budgetIndex(const std::string& program) const;
  [[nodiscard]] std::uint32_t partitionCount() const;

  logstore::PersistentStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  LedgerKnobs knobs_;
  /// Turns that are being looked for, with the number of those who look: a pass keeps them even
  /// when memory is full, so that looking for one always ends.
  std::unordered_map<std::string, std::uint32_t> wanted_;
  std::vector<std::unique_ptr<Partition>> partitions_;  ///< Turns, then budgets; made when used.
  TurnCache turns_;
  BudgetAccounts accounts_;
};

}  // namespace gorsetrail::ledger
