/// \file A ledger that reads and writes the shared log directly.
/// No node owns a program. Every node appends facts and reads the partitions it needs, and the
/// order of the log decides. So no failover is needed when a node dies, and no fencing when one was
/// paused.
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
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// A turn's own record, or why it is not available.
using TurnAnswer = std::variant<CompletedTurn, UnknownTurn, LedgerUnavailable>;

/// Settings of `ProgramLedger`.
struct LedgerKnobs {
  std::string zone;  ///< New turns are stored in this zone's partitions.
  LedgerPartitionsKnobs partitions;
  std::size_t cacheBytes = std::size_t{24} * 1024 * 1024;
  std::size_t maximumInlineHistoryBytes = std::size_t{32} * 1024;
  std::size_t maximumRecordBytes = std::size_t{256} * 1024;
  /// How long a turn waits for others to share its append. It delays the end of the answer.
  Duration turnWindow = milliseconds(8);
  BudgetPartitionKnobs budgets;
};

/// Implements `Ledger` by appending to the partitions of the log and reading them, with a cache of
/// turns. Serves as the coordinator's ledger behind `LedgerService`.
class ProgramLedger final : public Ledger {
 public:
  using TurnCallback = std::function<void(TurnAnswer)>;

  /// \param store, timers must outlive this object.
  ProgramLedger(logstore::RetryingStore& store, services::TimerService& timers,
                logstore::ClockFunction clock, LedgerKnobs knobs);

  // See `Ledger`. Turns are searched only in the preferred partition of the own or first allowed
  // zone.
  void findHistory(const TurnName& turn, HistoryCallback callback) override;
  void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) override;
  void reserve(const BudgetRequest& request, Duration timeLimit,
               ReservationCallback callback) override;
  void settle(BudgetSettlement settlement) override;
  [[nodiscard]] bool canStoreTurn(const TurnName& turn) override;
  [[nodiscard]] ReservationOutlook reservationOutlook(const std::string& program) override;
  [[nodiscard]] std::uint64_t knownTokenUse(const std::string& program) const override;
  [[nodiscard]] std::uint64_t possibleTokenUse(const std::string& program) const override {
    return knownTokenUse(program);
  }

  /// Finds a turn's own record in one partition. Calls back synchronously if it is cached.
  void findTurn(const TurnPlacement& placement, const std::string& turn, TurnCallback callback);
  /// Stores a turn's record in one partition.
  void storeRecord(const TurnPlacement& placement, CompletedTurn record, Duration timeLimit,
                   StoredCallback callback);
  /// \return the partition that holds the program's budget.
  BudgetPartition& budgetsOf(const std::string& program) {
    return budgetsAt(layout_.ofBudget(program));
  }
  BudgetPartition& budgetsAt(const logstore::PartitionAddress& address);
  /// The witnesses of this node's leases. Call it before the first other call.
  void setWitnessNodes(WitnessNodes& nodes) { witnessNodes_ = &nodes; }
  [[nodiscard]] const std::string& incarnation() const { return knobs_.budgets.incarnation; }
  [[nodiscard]] Instant now() const { return clock_(); }

  /// \return whether the turn is cached and can be found without the store.
  [[nodiscard]] bool isTurnCached(const std::string& turn) { return turns_.find(turn) != nullptr; }
  /// \return whether the store is likely to answer calls for the partition now.
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const {
    return store_.isLikelyAvailable(partition);
  }
  /// \return whether this node can probably decide reservations, by the log or under a lease.
  [[nodiscard]] bool canDecideReservations(const logstore::PartitionAddress& budgets);
  [[nodiscard]] const LedgerPartitions& layout() const { return layout_; }

  /// Removes idle accounts and old leases. Call it periodically.
  void sweep();
  /// \return the sums over all budget partitions.
  [[nodiscard]] BudgetCounters budgetCounters() const;
  /// \return the number of requests granted under leases and not recorded yet.
  [[nodiscard]] std::size_t unrecordedGrants() const;
  /// \return the number of settlements that this node has accepted and not recorded yet.
  [[nodiscard]] std::size_t unrecordedSettlements() const;

 private:
  struct Partition {
    std::shared_ptr<PartitionReader> reader;
    std::unique_ptr<logstore::AppendBatcher> batcher;
  };

  Partition& partitionAt(const logstore::PartitionAddress& address);
  void onRecord(PartitionReader* reader, std::uint64_t offset, std::string_view record);
  void cacheTurn(CompletedTurn turn, PartitionReader* reader, std::uint64_t offset);
  [[nodiscard]] TurnPlacement placementFor(const TurnZones& zones) const;
  void findBase(CompletedTurn turn, const TurnZones& zones, HistoryCallback callback);

  logstore::RetryingStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  LedgerKnobs knobs_;
  LedgerPartitions layout_;
  /// Turns being looked up, with the number of lookups. A read pass caches them even when the cache
  /// is full, so that every lookup terminates.
  std::unordered_map<std::string, std::uint32_t> lookupCounts_;
  std::map<logstore::PartitionAddress, Partition> partitions_;  ///< Created on first use.
  TurnCache turns_;
  std::map<logstore::PartitionAddress, std::unique_ptr<BudgetPartition>>
      budgets_;  ///< Created on first use.
  WitnessNodes* witnessNodes_ = nullptr;
};

}  // namespace gorsetrail::ledger
