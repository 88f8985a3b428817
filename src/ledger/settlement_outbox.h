/// \file Settlements that no coordinator has accepted yet. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/time.h"
#include "ledger/facts.h"
#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// Limits of `SettlementOutbox`.
struct SettlementOutboxKnobs {
  std::size_t maximumEntries = std::size_t{16} * 1024;
  std::size_t maximumBytes = std::size_t{4} * 1024 * 1024;
  /// Settlements are dropped after this time: the accounts that they belong to are forgotten then.
  Duration retention = seconds(300);
  std::size_t maximumInFlight = 32;  ///< Of each partition.
};

/// A settlement with the time of its request's end.
struct WaitingSettlement {
  BudgetSettlement settlement;
  Instant endedAt;
};

/// Keeps the settlements of this node's requests until a coordinator accepts them. A reservation
/// whose settlement is lost counts in full: a program whose turns were refused would be told that
/// its budget is spent.
class SettlementOutbox {
 public:
  explicit SettlementOutbox(SettlementOutboxKnobs knobs) : knobs_(knobs) {}

  /// Keeps a settlement. The oldest ones of the same partition make room for it.
  /// \return how many settlements were dropped for lack of room.
  std::size_t add(const logstore::PartitionAddress& partition, WaitingSettlement settlement);

  /// Takes one settlement of each partition that has none in flight, to probe its coordinator. The
  /// caller reports the result of each to `onResult`.
  [[nodiscard]] std::vector<WaitingSettlement> takeProbes();
  /// Reports the result of a settlement that was taken. One that was not accepted is to be added
  /// again.
  /// \return the settlements to send next: after each success two more, up to `maximumInFlight`, so
  /// that a coordinator that has just become reachable is not flooded.
  [[nodiscard]] std::vector<WaitingSettlement> onResult(const logstore::PartitionAddress& partition,
                                                        bool accepted);

  /// Drops settlements that are older than the retention. \return how many.
  std::size_t dropExpired(Instant now);

  /// \return settlements that wait, without those in flight.
  [[nodiscard]] std::size_t size() const { return entries_; }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Queue {
    std::deque<WaitingSettlement> waiting;
    std::size_t inFlight = 0;
  };

  [[nodiscard]] static std::size_t bytesOf(const BudgetSettlement& settlement);
  WaitingSettlement removeOldest(Queue& queue);
  std::vector<WaitingSettlement> take(Queue& queue, std::size_t count);

  SettlementOutboxKnobs knobs_;
  std::map<logstore::PartitionAddress, Queue> queues_;
  std::size_t entries_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::ledger
