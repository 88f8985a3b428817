/// \file A ledger that sends its calls to the coordinators of the partitions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/circuit_breaker.h"
#include "ledger/call_trace.h"
#include "ledger/ledger.h"
#include "ledger/ledger_message.h"
#include "ledger/ledger_partitions.h"
#include "ledger/ledger_service.h"
#include "ledger/rendezvous_selector.h"
#include "ledger/settlement_outbox.h"
#include "ledger/witness_nodes.h"
#include "logstore/adaptive_retry_policy.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// Transport for ledger calls to other nodes.
class LedgerPeers {
 public:
  virtual ~LedgerPeers() = default;
  /// \return the nodes that may be coordinators now, including this one.
  [[nodiscard]] virtual std::vector<NodeCandidate> candidates() const = 0;
  /// \return whether the list of nodes is known. Before that no call is made: a node that took
  /// itself for the coordinator of all partitions would read the whole store.
  [[nodiscard]] virtual bool isNodeListKnown() const = 0;
  /// Probes a node for liveness. Calls back once, never synchronously.
  virtual void checkAlive(const std::string& address, Duration limit,
                          std::function<void(bool alive)> callback) = 0;
  /// Calls back once, never synchronously; without a value if no reply came.
  virtual void call(const std::string& address, const LedgerRequest& request, Duration timeLimit,
                    std::function<void(std::optional<LedgerReply>)> callback) = 0;
};

struct RoutedLedgerKnobs {
  std::string ownAddress;          ///< This node's address for ledger calls.
  std::string zone;                ///< Zone in which new turns are stored.
  std::vector<std::string> zones;  ///< All zones that may hold turns.
  /// Region of each zone. A zone without an entry counts as being in every region.
  std::map<std::string, std::string, std::less<>> regionOfZone;
  LedgerPartitionsKnobs partitions;
  std::size_t maximumInlineHistoryBytes = std::size_t{32} * 1024;
  Duration findTimeLimit = milliseconds(1500);
  /// A turn that is not stored after this time is also stored in its second partition.
  Duration secondPartitionDelay = milliseconds(600);
  bool usesSecondPartitions = true;
  Duration settleTimeLimit = milliseconds(1500);
  SettlementOutboxKnobs outbox;
  /// Accepted settlements are kept for this time and sent again if their coordinator turns out to
  /// have died: it may not have recorded them. A death is noticed with the next call to its
  /// address.
  Duration acceptedSettlementRetention = seconds(10);
  std::size_t maximumAcceptedSettlements = 4096;  ///< Kept for that; the oldest are dropped.
  /// How often a settlement is tried again while no coordinator accepts one.
  Duration settleRetryInterval = milliseconds(500);
  Duration accountRetention = seconds(300);
  /// Delay before a coordinator that has not replied is probed: adapted to measured reply times,
  /// within these bounds.
  logstore::AdaptiveRetrySettings pace{milliseconds(60), milliseconds(800), 3.0, milliseconds(15),
                                       milliseconds(400)};
  /// A call unanswered for this long, and for longer than usual, counts as a store failure of the
  /// partition.
  Duration storeFailureDelay = milliseconds(500);
  /// Minimum interval between liveness probes of a call.
  Duration livenessProbeInterval = milliseconds(150);
  Duration livenessProbeTimeout = milliseconds(100);
  /// How long a coordinator's report that it cannot decide reservations is used. In that time a
  /// turn is dispatched only after its reservation was granted, which costs one round trip.
  Duration undecidedReportLifetime = seconds(2);
  /// Called when a node becomes suspected (`suspected`), and when it replies again.
  std::function<void(const std::string& address, bool suspected)> onSuspicionChanged;
  /// Called when settlements are dropped, whose reservations then count in full.
  std::function<void(std::size_t count, std::string_view reason)> onSettlementsDropped;
  /// Called when a settlement of an earlier request was accepted.
  std::function<void(const BudgetSettlement& settlement, Duration afterEnd)> onSettledLate;
};

/// Monotonic counters of ledger calls.
struct RoutedLedgerCounters {
  std::uint64_t calls = 0;
  std::uint64_t passedOn = 0;     ///< Repeats of a call at another node.
  std::uint64_t failed = 0;       ///< Ended without an answer from a coordinator or the store.
  std::uint64_t settledLate = 0;  ///< Settlements accepted at a later try.
  std::uint64_t settlementsDropped = 0;  ///< See `onSettlementsDropped`.
};

/// The deciding reply of a call, with the responses of all nodes called.
struct CallResult {
  LedgerReply reply;
  std::string repliedBy;                 ///< The node that sent the reply; empty if none did.
  std::vector<CoordinatorReport> asked;  ///< In the order they were called.
  bool coordinatorAlive = false;         ///< A coordinator replied or answered a liveness probe.
};

/// Sends each call to the partition's coordinator, then to the next one if the first fails.
/// - A coordinator that is slow but answers liveness probes is waited for, because it waits for the
///   store or reads the partition. Calling the next one as well would make both write, and each
///   read what the other wrote.
/// - This node reads the partition itself only if no coordinator is alive. If one is alive and
///   cannot get an answer, the store is failing, and reads of whole partitions by hundreds of nodes
///   would saturate the store after it recovers. Calls that only append are tried by this node in
///   any case.
/// - Calling several coordinators is safe: they append facts, which may be repeated, and the order
///   of the log decides. A coordinator only saves store calls by batching appends and caching.
/// - Partitions of confined turns are read only by nodes of their region, so neither coordinators
///   elsewhere nor this node, if elsewhere, read them.
class RoutedLedger final : public Ledger {
 public:
  /// \param service serves this node's own calls. All references must outlive this object.
  RoutedLedger(LedgerService& service, LedgerPeers& peers, services::TimerService& timers,
               logstore::ClockFunction clock, RoutedLedgerKnobs knobs, std::uint64_t seed);

  void findHistory(const TurnName& turn, HistoryCallback callback) override;
  void storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) override;
  void reserve(const BudgetRequest& request, Duration timeLimit,
               ReservationCallback callback) override;
  void settle(BudgetSettlement settlement) override;
  [[nodiscard]] bool canStoreTurn(const TurnName& turn) override;
  [[nodiscard]] ReservationOutlook reservationOutlook(const std::string& program) override;
  [[nodiscard]] std::uint64_t knownTokenUse(const std::string& program) const override;
  [[nodiscard]] std::uint64_t possibleTokenUse(const std::string& program) const override;

  /// Replaces the zones and regions after the settings were reloaded. Calls in flight keep their
  /// target partitions.
  void setZones(std::vector<std::string> zones,
                std::map<std::string, std::string, std::less<>> regionOfZone);
  /// \return whether the node is suspected, because it recently failed to answer.
  [[nodiscard]] bool isSuspect(const std::string& address) const {
    return selector_.isSuspect(address, clock_());
  }
  /// Maintains the leases of the budget partitions whose first coordinator is this node, and
  /// releases the others. Call it about once a second.
  void maintainLeases();
  /// Releases all leases. Call it before a planned stop.
  void releaseLeases();
  /// Removes idle programs. Call it periodically.
  void sweep();
  [[nodiscard]] const RoutedLedgerCounters& counters() const { return counters_; }
  /// \return settlements that no coordinator has accepted yet.
  [[nodiscard]] std::size_t settlementsWaiting() const { return outbox_.size(); }

 private:
  using CallResultCallback = std::function<void(CallResult)>;
  struct Call;
  /// The other nodes as witnesses of this node's leases.
  class Witnesses final : public WitnessNodes {
   public:
    explicit Witnesses(RoutedLedger& ledger) : ledger_(ledger) {}
    [[nodiscard]] std::vector<std::string> preferredFor(const std::string& lease) const override;
    void call(const std::string& address, const LedgerRequest& request, Duration timeLimit,
              std::function<void(std::optional<LedgerReply>)> callback) override;

   private:
    RoutedLedger& ledger_;
  };
  struct KnownUse {
    std::uint64_t tokens = 0;
    std::uint64_t possibleTokens = 0;
    Instant updatedAt;
  };

  void startCall(LedgerRequest request, const logstore::PartitionAddress& partition,
                 const std::string& preferredZone, Duration timeLimit, CallResultCallback callback);
  /// Calls back asynchronously with a failure.
  void failAsync(LedgerReply reply, CallResultCallback callback);
  void updateKnownUse(const std::string& program, std::uint64_t budget, const LedgerReply& reply);
  void sendSettlement(const WaitingSettlement& settlement, bool isLate);
  void keepSettlement(const logstore::PartitionAddress& partition, WaitingSettlement settlement);
  void scheduleSettlementRetry();
  void keepAcceptedSettlement(const WaitingSettlement& settlement,
                              const logstore::PartitionAddress& partition,
                              const std::string& coordinator);
  /// Sends the settlements again that a process accepted which may have died.
  void resendSettlementsOf(const std::string& coordinator);
  void onIncarnation(const std::string& coordinator, const std::string& incarnation);
  void reportDroppedSettlements(std::size_t count, std::string_view reason);
  void callNext(const std::shared_ptr<Call>& call);
  [[nodiscard]] bool hasNext(const Call& call) const;
  void onReply(const std::shared_ptr<Call>& call, const std::string& coordinator, Instant sentAt,
               std::optional<LedgerReply> reply);
  static void recordResponse(Call& call, const std::string& coordinator, Instant now,
                             const std::optional<LedgerReply>& reply);
  void finish(const std::shared_ptr<Call>& call, LedgerReply reply);
  /// Partitions that are searched in parallel.
  using Wave = std::vector<TurnPlacement>;
  struct Search;
  [[nodiscard]] std::vector<Wave> wavesFor(const TurnZones& zones) const;
  void searchNext(const std::shared_ptr<Search>& search);
  void onSearched(const std::shared_ptr<Search>& search, const TurnPlacement& placement,
                  CallResult result);
  [[nodiscard]] bool inSameRegion(std::string_view zone, std::string_view other) const;
  /// \return the partition in which new turns restricted to these zones are stored.
  [[nodiscard]] TurnPlacement placementFor(const TurnZones& zones, std::uint32_t choice) const;
  [[nodiscard]] std::vector<NodeCandidate> candidatesFor(const TurnPlacement* placement) const;
  struct StoreOperation;
  void storeIn(std::uint32_t choice, const std::shared_ptr<StoreOperation>& operation);
  void storeInOtherPartition(std::uint32_t choice,
                             const std::shared_ptr<StoreOperation>& operation);
  void onStored(std::uint32_t choice, const std::shared_ptr<StoreOperation>& operation,
                const LedgerReply& reply);
  void onTurnFound(LedgerReply reply, const TurnZones& zones, HistoryCallback callback);
  void scheduleLivenessProbe(const std::shared_ptr<Call>& call, Duration probeDelay);
  void onReplyOverdue(const std::shared_ptr<Call>& call, Duration probeDelay);
  void onLivenessResult(const std::shared_ptr<Call>& call, Duration probeDelay, bool alive);
  void suspect(const std::string& coordinator);
  void recordPartitionFailure(const logstore::PartitionAddress& partition);
  void updateUndecidedReport(const Call& call, const LedgerReply& reply);
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const;

  LedgerService& service_;
  LedgerPeers& peers_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  RoutedLedgerKnobs knobs_;
  LedgerPartitions layout_;
  RendezvousSelector selector_;
  Witnesses witnesses_{*this};
  logstore::AdaptiveRetryPolicy pacer_;
  RoutedLedgerCounters counters_;
  SettlementOutbox outbox_;
  bool settlementRetryScheduled_ = false;
  /// A settlement that its coordinator may not have recorded yet.
  struct AcceptedSettlement {
    logstore::PartitionAddress partition;
    WaitingSettlement settlement;
    std::string coordinator;
    Instant acceptedAt;
  };
  std::deque<AcceptedSettlement> acceptedSettlements_;         ///< The oldest first.
  std::unordered_map<std::string, std::string> incarnations_;  ///< Last one of each coordinator.
  std::unordered_map<std::string, KnownUse> knownUse_;
  /// Circuit breakers of the partitions whose last call failed.
  std::map<logstore::PartitionAddress, engine::CircuitBreaker> breakers_;
  /// When a coordinator last reported that it cannot decide reservations of the partition.
  std::map<logstore::PartitionAddress, Instant> undecidedReportedAt_;
};

}  // namespace gorsetrail::ledger
