/// \file Token budgets of the programs of one partition, reserved through the log or under a lease.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ledger/budget_accounts.h"
#include "ledger/budget_lease_table.h"
#include "ledger/facts.h"
#include "ledger/grant_replication.h"
#include "ledger/lease_recovery.h"
#include "ledger/ledger.h"
#include "ledger/partition_reader.h"
#include "logstore/append_batcher.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// Settings of `BudgetPartition`.
struct BudgetPartitionKnobs {
  BudgetLeaseKnobs leases;
  std::string holder;       ///< Address of this node, the same after a restart.
  std::string incarnation;  ///< Unique to this process. Empty: it never holds a lease.
  /// How long the record of a reservation or a lease waits for others to share its append.
  Duration reservationWindow = milliseconds(20);
  /// Likewise for a settlement's record.
  Duration settlementWindow = milliseconds(300);
  /// Grants under the lease are recorded in batches at this interval.
  Duration recordingInterval = milliseconds(300);
  /// Settlements kept for the store; the caller is told when one more does not fit.
  std::size_t maximumUnrecordedSettlements = 8192;
  /// For this long after its reservation became known, a turn without a settlement may still be
  /// settled: it has not ended, or a node keeps its settlement for the store. Covers the longest
  /// programs that leases are used for; requests of others that last longer count as used then.
  Duration unsettledTurnTime = seconds(10);
  /// Accounts without a record for this long are removed by `sweep`.
  Duration accountRetention = seconds(300);
  /// The witnesses of a lease: with three, one may be lost without effect on grants or recovery.
  std::size_t witnessesPerLease = 3;
  Duration witnessChoiceTimeLimit = milliseconds(60);
  /// While no node agrees to be a witness, a lease is taken without one only after this time: a
  /// node that has just started does not know the others, and may die before its lease is replaced.
  Duration witnessPatience = seconds(3);
  /// Of a call to a witness. While the store answers, a grant that waits longer is decided by the
  /// log.
  Duration witnessTimeLimit = milliseconds(150);
  /// A lease whose witnesses have failed, or are fewer than there could be, is replaced at most
  /// this often; less often while that brings no more of them, as beside nodes of earlier builds.
  Duration witnessReplacementPause = seconds(3);
  Duration longestWitnessReplacementPause = seconds(60);
  Duration witnessCheckInterval = seconds(5);
  /// A coordinator recovers a lease that another node holds so long after it first saw it: the
  /// holder should have released it by then, if it lives.
  Duration foreignLeasePatience = milliseconds(1500);
  /// Minimum interval between recoveries of held leases of a partition that reservations cause.
  Duration recoveryInterval = seconds(1);
  LeaseRecoveryKnobs recovery;
  /// Called at the end of each try to clear a lease with the help of its witnesses.
  std::function<void(const logstore::PartitionAddress&, const BudgetLease&, LeaseRecoveryOutcome,
                     std::size_t recoveredGrants)>
      onLeaseRecovery;
  /// Called when a grant of another process's lease, which only its witnesses knew, was recorded.
  std::function<void(const logstore::PartitionAddress&, const BudgetLease&,
                     const BudgetReservation&)>
      onGrantRecovered;
  /// Called when this process's lease of the partition is acquired, changes its slot or is dropped.
  std::function<void(const logstore::PartitionAddress&, const BudgetLease&)> onOwnLease;
};

/// Monotonic counters of reservation outcomes.
struct BudgetCounters {
  /// Reservations granted under a primary lease before being recorded.
  std::uint64_t grantedUnderPrimaryLease = 0;
  /// Reservations granted under a secondary lease before being recorded.
  std::uint64_t grantedUnderSecondaryLease = 0;
  std::uint64_t grantedByLog = 0;
  /// Refused because the recorded spending leaves too little of the budget.
  std::uint64_t spent = 0;
  /// Refused only because turns without a settlement, or a lease of another node, may have spent
  /// tokens.
  std::uint64_t uncertain = 0;
  /// Refused because the program's remaining time was received more than `maxDecisionDelay` ago.
  std::uint64_t decidedTooLate = 0;
  /// Grants under a lease that too few witnesses stored: decided by the log or refused.
  std::uint64_t notWitnessed = 0;
  std::uint64_t recoveredLeases = 0;  ///< Of other processes, cleared with their witnesses' help.
};

/// Grants, records and settles reservations, and acquires and releases this node's lease. The order
/// of steps keeps each budget safe (model: spec/budget_lease.pml):
/// 1. without a lease, a reservation is granted by the records below its own offset. Each other
///    node's lease that is not cleared there counts with the maximum its holder may have spent,
///    even if later records were read;
/// 2. a lease is used only after its own record and everything below it were read. So every
///    decision by a later record counts the lease, and every earlier decision is known. The larger
///    share of the primary slot is likewise used only after the record that promoted the lease was
///    read;
/// 3. a grant counts against the lease until it is recorded and everything below its record was
///    read;
/// 4. a lease is released only after everything spent under it is recorded.
/// If the partition has witnesses, a grant is used only after a majority of those that the lease's
/// record names has stored it, and other nodes can clear the lease (`LeaseRecovery`, model:
/// spec/lease_witness.pml).
class BudgetPartition {
 public:
  using ReservationReplyCallback = std::function<void(ReservationReply)>;

  /// \param store, timers must outlive this object. \param witnesses likewise; null: leases have
  /// none.
  BudgetPartition(logstore::RetryingStore& store, services::TimerService& timers,
                  logstore::ClockFunction clock, logstore::PartitionAddress address,
                  BudgetPartitionKnobs knobs, WitnessNodes* witnesses = nullptr);

  /// Calls back once: immediately if a lease without witnesses decides or the store is known to be
  /// unavailable. A
  /// reservation that does not fit stays in the log; the caller settles it with zero tokens unless
  /// another coordinator has granted it.
  void reserve(const BudgetRequest& request, Duration timeLimit, ReservationReplyCallback callback);
  /// Returns the unused part of a reservation. The record is appended later, and again until the
  /// store has accepted it.
  /// \return false if too many settlements wait for the store; this one is not kept then.
  bool settle(const BudgetSettlement& settlement);

  /// \return tokens used or reserved by all known requests of the program.
  [[nodiscard]] std::uint64_t tokensUsedBy(const std::string& program) const {
    return accounts_.tokensUsedBy(program);
  }

  /// Acquires and renews this node's lease, and ends and clears leases of others. Call it
  /// periodically while this node is the partition's coordinator.
  void maintainLease();
  /// Records all grants, then releases the lease. Call it periodically while this node is not the
  /// partition's coordinator.
  void releaseLease();
  [[nodiscard]] bool holdsLease() const;
  [[nodiscard]] std::optional<BudgetLeaseSlot> heldLeaseSlot() const {
    return holdsLease() ? std::optional(lease_->slot) : std::nullopt;
  }
  /// \return whether the request was granted under the lease and is not recorded yet.
  [[nodiscard]] bool isUnrecorded(const std::string& request) const {
    return unrecordedGrants_.contains(request);
  }
  /// \return the number of requests granted under the lease and not recorded yet.
  [[nodiscard]] std::size_t unrecordedGrants() const { return unrecordedGrants_.size(); }
  /// \return the number of settlements that are not recorded yet, without those of unrecorded
  /// grants.
  [[nodiscard]] std::size_t unrecordedSettlements() const { return unrecordedSettlements_.size(); }
  [[nodiscard]] const BudgetCounters& counters() const { return counters_; }

  /// Removes idle accounts and old leases. Call it periodically.
  void sweep();

 private:
  /// A request granted under the lease whose record is not in the log yet.
  struct UnrecordedGrant {
    BudgetReservation reservation;
    std::optional<BudgetSettlement> settlement;
    bool recording = false;
    /// Set while the grant's lease has witnesses; they may forget it when it is recorded.
    std::shared_ptr<GrantReplication> replication;
    std::uint64_t number = 0;    ///< In `replication`.
    bool isReplicating = false;  ///< Too few witnesses have stored it yet: it is not used.
  };
  /// A settlement whose record is not in the log yet.
  struct UnrecordedSettlement {
    BudgetSettlement settlement;
    bool recording = false;
  };
  struct Lease {
    std::string id;
    Instant validUntil;
    BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;  ///< As of the newest record read.
    std::shared_ptr<GrantReplication> replication;    ///< Null: the lease has no witnesses.
  };
  /// A reservation that waits for its decision.
  struct PendingReservation {
    BudgetRequest request;
    Instant askedAt;
    Instant deadline;
    ReservationReplyCallback callback;
    // Leases of others that were recovered for it.
    bool hasRecoveredEnded = false;
    bool hasRecoveredHeld = false;
  };

  void onRecord(std::uint64_t offset, std::string_view record);
  /// \return the reply of a grant; nothing if the lease does not cover the request.
  [[nodiscard]] std::optional<ReservationReply> replyUnderLease(const BudgetRequest& request) const;
  /// \return whether the lease decides.
  bool reserveUnderLease(PendingReservation& pending);
  void countGrantUnderLease();
  void onReplicated(PendingReservation pending, const ReservationReply& reply, bool stored);
  void decideWithoutLease(PendingReservation pending);
  void reserveInLog(PendingReservation pending);
  void onDecidedByLog(PendingReservation pending, const ReservationReply& reply);
  /// Recovers leases of others if the reservation may be granted without them: those that have
  /// ended first, since a lease that is held may be in use.
  /// \return whether it waits for that.
  bool recoverLeasesFor(PendingReservation& pending, const ReservationReply& reply);
  /// \return whether a reservation that was refused for unseen spending fits if only these leases
  /// of others count.
  [[nodiscard]] bool fitsBeside(const std::vector<BudgetLease>& leases,
                                const BudgetRequest& request, std::uint64_t tokensUsed) const;
  ReservationReply decideByLog(const BudgetRequest& request, Instant askedAt, std::uint64_t offset);
  /// The maximum that other nodes may have spent of a program's budget without a record.
  struct UnrecordedTokens {
    UnrecordedSpending leases = UnrecordedSpending::None;
    std::uint64_t maxTokens = 0;
    std::uint64_t permanentTokens = 0;  ///< The part that will not become known any more.
  };
  /// \param below see `BudgetLeaseTable::foreignLeases`.
  [[nodiscard]] UnrecordedTokens maxUnrecordedByOthers(const BudgetRequest& request,
                                                       std::uint64_t below) const;
  /// \return the reply for a request that neither a lease nor the store can decide.
  [[nodiscard]] ReservationReply undecidedReply(const BudgetRequest& request) const;
  /// \return known tokens of the program's other requests.
  [[nodiscard]] std::uint64_t tokensUsedByOthers(const BudgetReservation& reservation) const {
    return accounts_.tokensUsedBefore(reservation.program, reservation.request, kMaxOffset);
  }
  [[nodiscard]] std::uint64_t unrecordedTokensOf(const std::string& program) const;
  void scheduleRecording();
  void recordGrants();
  void onRecorded(const std::string& request, bool withSettlement,
                  const logstore::StoreResult<std::uint64_t>& result);
  void removeGrant(const std::string& request);
  /// Appends the record of a settlement, which is kept until the store has accepted it.
  void recordSettlement(const BudgetSettlement& settlement, Duration window);
  void appendSettlement(const std::string& request, Duration window);
  void onSettlementAppended(const std::string& request,
                            const logstore::StoreResult<std::uint64_t>& result);
  void recordSettlements();
  void appendLease(const BudgetLease& record, std::function<void(bool appended)> onRead);
  void acquireOrRenewLease();
  void acquireLease();
  /// \return whether a lease may be taken with these witnesses.
  [[nodiscard]] bool hasWaitedFor(const std::vector<WitnessProcess>& witnesses);
  void appendOwnLease(const std::vector<WitnessProcess>& witnesses);
  void onLeaseRecordRead(const std::string& id, const std::vector<WitnessProcess>& witnesses,
                         Instant askedAt);
  [[nodiscard]] bool shouldReplaceWitnesses() const;
  /// \return whether a recovery runs or was started.
  bool recoverForeignLeases();
  [[nodiscard]] bool isRecoveryDue(const BudgetLease& lease) const;
  [[nodiscard]] LeaseRecovery::Log recoveryLog();
  [[nodiscard]] bool isRenewalDue() const;
  void advanceOtherLeases();
  /// Releases the lease as soon as all grants are recorded.
  void releaseOnceRecorded();
  void checkWitnesses();
  void dropLease();
  void reportOwnLease(BudgetLeaseState state) const;
  [[nodiscard]] std::string leaseId() const;
  [[nodiscard]] std::string ownLease() const { return lease_ ? lease_->id : std::string(); }

  logstore::RetryingStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  logstore::PartitionAddress address_;
  BudgetPartitionKnobs knobs_;
  std::shared_ptr<PartitionReader> reader_;
  std::unique_ptr<logstore::AppendBatcher> batcher_;
  BudgetAccounts accounts_;
  BudgetLeaseTable leases_;
  WitnessNodes* witnessNodes_;
  std::unique_ptr<LeaseRecovery> recovery_;             ///< Null without `witnessNodes_`.
  Instant lastRecoveryAt_{};                            ///< Of a held lease, for a reservation.
  std::map<std::string, Instant> foreignLeasesSeenAt_;  ///< While this node is the coordinator.
  /// Those of the next lease, once chosen; its record may be appended several times.
  std::optional<std::vector<WitnessProcess>> chosenWitnesses_;
  bool isReplacingLease_ = false;               ///< It is released to get other witnesses.
  std::optional<Instant> lacksWitnessesSince_;  ///< While it holds no lease.
  Instant leaseAcquiredAt_{};
  Duration replacementPause_{};  ///< Until the current lease may be replaced.
  Instant witnessesCheckedAt_{};
  std::optional<Lease> lease_;
  std::uint64_t leaseNumber_ = 1;    ///< Of the current lease, or of the next one.
  std::uint64_t renewal_ = 0;        ///< Of the newest lease record requested.
  bool leaseAppendPending_ = false;  ///< A record of the own lease is being appended.
  bool transitionPending_ = false;   ///< Likewise for another node's lease.
  bool isCoordinator_ = false;
  bool releasing_ = false;  ///< The lease is being released: no more grants under it.
  bool recordingScheduled_ = false;
  std::unordered_map<std::string, UnrecordedSettlement> unrecordedSettlements_;  ///< By request id.
  std::unordered_map<std::string, UnrecordedGrant> unrecordedGrants_;            ///< By request id.
  std::unordered_map<std::string, std::vector<std::string>> unrecordedByProgram_;
  BudgetCounters counters_;
};

}  // namespace gorsetrail::ledger
