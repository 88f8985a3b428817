/// \file Histories and budgets of programs, read and written straight in the shared log.
///
/// No node owns a program. Every node appends facts and reads the log of the program it is asked
/// about; the log's order decides. So there is nothing to take over when a node dies, and nothing
/// to fence when one was paused.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "ledger/budget_partition.h"
#include "ledger/facts.h"
#include "ledger/ledger.h"
#include "ledger/ledger_partitions.h"
#include "ledger/partition_reader.h"
#include "ledger/turn_cache.h"
#include "logstore/append_batcher.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// A turn's own record, or why there is none.
using TurnAnswer = std::variant<CompletedTurn, UnknownTurn, LedgerUnavailable>;

/// Sizes and times of the ledger.
struct LedgerKnobs {
  std::string zone;  ///< New turns stand in this zone's partitions.
  LedgerPartitionsKnobs partitions;
  std::size_t cacheBytes = std::size_t{24} * 1024 * 1024;
  std::size_t maximumInlineHistoryBytes = std::size_t{32} * 1024;
  std::size_t maximumRecordBytes = std::size_t{256} * 1024;
  /// How long turns wait for others that share their append: the end of an answer waits for it.
  Duration turnWindow = milliseconds(8);
  BudgetPartitionKnobs budgets;
};

class ProgramLedger final : public Ledger {
 public:
  using TurnCallback = std::function<void(TurnAnswer)>;

  /// \param store, timers outlive this object.
  ProgramLedger(logstore::PersistentStore& store, services::TimerService& timers,
                logstore::ClockFunction clock, LedgerKnobs knobs);

  // See `Ledger`. Turns are looked for in the own zone's partitions.
  void findHistory(const TurnName& turn, HistoryCallback callback) override;
  void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) override;
  void reserve(const BudgetRequest& request, Duration timeLimit,
               ReservationCallback callback) override;
  void settle(BudgetSettlement settlement) override;
  [[nodiscard]] bool takesTurn(const TurnName& turn) override;
  [[nodiscard]] ReservationOutlook reservationOutlook(const std::string& program) override;
  [[nodiscard]] std::uint64_t knownUse(const std::string& program) const override;

  /// Finds a turn's own record in one partition. Calls back at once when it is in memory.
  void findTurn(const TurnPlacement& placement, const std::string& turn, TurnCallback callback);
  /// Stores a turn's record in one partition.
  void storeRecord(const TurnPlacement& placement, CompletedTurn record, Duration timeLimit,
                   StoredCallback callback);
  /// \return the partition that holds the program's budget.
  BudgetPartition& budgetsOf(const std::string& program) {
    return budgetsAt(layout_.ofBudget(program));
  }
  BudgetPartition& budgetsAt(const logstore::PartitionAddress& address);

  /// \return whether the turn is in memory: it is found then without the store.
  [[nodiscard]] bool remembersTurn(const std::string& turn) { return turns_.find(turn) != nullptr; }
  /// \return whether the store is likely to answer calls for the partition now.
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const {
    return store_.answers(partition);
  }
  /// \return whether this node can probably decide reservations, by the log or by a lease.
  [[nodiscard]] bool decidesReservations(const logstore::PartitionAddress& budgets);
  [[nodiscard]] const LedgerPartitions& layout() const { return layout_; }

  /// Forgets accounts of programs long gone; call it now and then.
  void sweep();
  /// \return figures of all budget partitions together.
  [[nodiscard]] BudgetCounters budgetCounters() const;
  /// \return requests granted ahead whose records do not stand yet.
  [[nodiscard]] std::size_t unrecordedGrants() const;

 private:
  struct Partition {
    std::shared_ptr<PartitionReader> reader;
    std::unique_ptr<logstore::AppendBatcher> batcher;
  };

  Partition& partitionAt(const logstore::PartitionAddress& address);
  void onRecord(PartitionReader* reader, std::uint64_t offset, std::string_view record);
  void keepTurn(CompletedTurn turn, PartitionReader* reader, std::uint64_t offset);
  [[nodiscard]] TurnPlacement placementFor(const TurnZones& zones) const;
  void findBase(CompletedTurn turn, const TurnZones& zones, HistoryCallback callback);

  logstore::PersistentStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  LedgerKnobs knobs_;
  LedgerPartitions layout_;
  /// Turns that are being looked for, with the number of those who look: a pass keeps them even
  /// when memory is full, so that looking for one always ends.
  std::unordered_map<std::string, std::uint32_t> wanted_;
  std::map<logstore::PartitionAddress, Partition> partitions_;  ///< Made when used.
  TurnCache turns_;
  std::map<logstore::PartitionAddress, std::unique_ptr<BudgetPartition>> budgets_;  ///< Likewise.
};

}  // namespace gorsetrail::ledger
