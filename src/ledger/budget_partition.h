/// \file Budgets of the programs of one partition: decided by its log, or ahead of it by a lease.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ledger/budget_accounts.h"
#include "ledger/budget_lease_table.h"
#include "ledger/facts.h"
#include "ledger/ledger.h"
#include "ledger/partition_reader.h"
#include "logstore/append_batcher.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::ledger {

/// Knobs of `BudgetPartition`.
struct BudgetPartitionKnobs {
  BudgetLeaseKnobs leases;
  std::string holder;  ///< Address of this node, the same in all its lives.
  std::string life;    ///< Of this process; no other has the same. Empty: it never holds a lease.
  Duration reservationWindow = milliseconds(20);
  Duration settlementWindow = milliseconds(300);
  /// What was granted ahead is recorded after this, together with what came meanwhile.
  Duration recordingPeriod = milliseconds(300);
  Duration accountLifetime = seconds(300);
  /// Told when this process's lease of the partition begins, changes its slot or is dropped.
  std::function<void(const logstore::PartitionAddress&, const BudgetLease&)> onOwnLease;
};

/// What became of reservations; all only rise.
struct BudgetCounters {
  std::uint64_t grantedAhead = 0;           ///< Under a primary lease, before their record.
  std::uint64_t grantedAheadSecondary = 0;  ///< Likewise, under a secondary one.
  std::uint64_t grantedByLog = 0;
  std::uint64_t spent = 0;
  /// Not granted only because an earlier home may have spent tokens unseen.
  std::uint64_t uncertain = 0;
  /// Not granted because the program's remaining time was told longer ago than `longestCall`.
  std::uint64_t decidedTooLate = 0;
};

/// Order of steps, and why it is safe (spec/budget_lease.pml):
/// 1. without a lease, a reservation is granted by what stands before its own record in the log;
///    each other home's lease that is not cleared there counts at the most that its holder may have
///    spent unseen, whatever was read behind it;
/// 2. a lease is used only after its own record stood in the log and everything before it was read.
///    So whoever decides by a later record counts the lease, and what was decided before is known.
///    The larger share of the primary slot is used likewise: after the record that moved it up;
/// 3. what was spent ahead counts against the lease until its record stands and everything before
///    that record was read;
/// 4. a lease is given back only after everything spent under it was recorded.
class BudgetPartition {
 public:
  using ReservationReplyCallback = std::function<void(ReservationReply)>;

  /// \param store, timers outlive this object.
  BudgetPartition(logstore::PersistentStore& store, services::TimerService& timers,
                  logstore::ClockFunction clock, logstore::PartitionAddress address,
                  BudgetPartitionKnobs knobs);

  /// Calls back once; at once when a lease decides, or the store is known not to answer. A
  /// reservation that does not fit stays standing: only who asked knows whether another home has
  /// granted it, and gives it back if not.
  void reserve(const BudgetRequest& request, Duration timeLimit, ReservationReplyCallback callback);
  void settle(const BudgetSettlement& settlement);

  /// \return tokens that all known requests of the program have used or may use.
  [[nodiscard]] std::uint64_t usedBy(const std::string& program) const {
    return accounts_.usedBy(program);
  }

  /// To be called now and then while this node is the partition's home: takes, renews and clears
  /// leases.
  void keepLease();
  /// To be called now and then while it is not: records what was spent ahead, then gives the lease
  /// back.
  void giveLeaseBack();
  [[nodiscard]] bool holdsLease() const;
  /// \return the slot of the lease held.
  [[nodiscard]] std::optional<BudgetLeaseSlot> leaseSlot() const {
    return holdsLease() ? std::optional(lease_->slot) : std::nullopt;
  }
  /// \return whether the request was granted ahead and its record does not stand yet.
  [[nodiscard]] bool isAhead(const std::string& request) const { return ahead_.contains(request); }
  /// \return requests granted ahead whose records do not stand yet.
  [[nodiscard]] std::size_t unrecorded() const { return ahead_.size(); }
  [[nodiscard]] const BudgetCounters& counters() const { return counters_; }

  /// Forgets accounts of programs long gone; call it now and then.
  void sweep();

 private:
  /// A request that was granted before its record stands.
  struct Ahead {
    BudgetReservation reservation;
    std::optional<BudgetSettlement> settlement;
    bool recording = false;
  };
  struct Lease {
    std::string id;
    Instant validUntil;
    BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;  ///< As of the newest record that was read.
  };

  void onRecord(std::uint64_t offset, std::string_view record);
  /// \return nothing when the lease can't decide.
  std::optional<ReservationReply> reserveAhead(const BudgetRequest& request);
  void reserveInLog(const BudgetRequest& request, Duration timeLimit,
                    ReservationReplyCallback callback);
  ReservationReply decideByLog(const BudgetRequest& request, Instant askedAt, std::uint64_t offset);
  /// What others may have spent of a program's budget without a record.
  struct UnseenTokens {
    UnseenSpending leases = UnseenSpending::None;
    std::uint64_t most = 0;
  };
  /// \param below see `BudgetLeaseTable::unseenSpending`.
  [[nodiscard]] UnseenTokens mostSpentUnseen(const BudgetRequest& request,
                                             std::uint64_t below) const;
  /// \return the reply that neither a lease nor the store can decide the request.
  [[nodiscard]] ReservationReply undecidable(const BudgetRequest& request) const;
  /// \return tokens of the program's other requests, as far as they are known.
  [[nodiscard]] std::uint64_t usedBesides(const BudgetReservation& wanted) const {
    return accounts_.usedBefore(wanted.program, wanted.request, kEverythingRead);
  }
  [[nodiscard]] std::uint64_t spentAhead(const std::string& program) const;
  void scheduleRecording();
  void recordAhead();
  void onRecorded(const std::string& request, bool withSettlement,
                  const logstore::StoreResult<std::uint64_t>& result);
  void forgetAhead(const std::string& request);
  void appendSettlement(const BudgetSettlement& settlement);
  void appendLease(const BudgetLease& record, std::function<void(bool stands)> onRead);
  void takeLease();
  void onLeaseRead(const std::string& id, Instant askedAt);
  [[nodiscard]] bool isRenewalDue() const;
  void endAndClearOthers();
  void dropLease();
  void tellOwnLease(BudgetLeaseState state) const;
  [[nodiscard]] std::string leaseId() const;
  [[nodiscard]] std::string ownLease() const { return lease_ ? lease_->id : std::string(); }

  logstore::PersistentStore& store_;
  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  logstore::PartitionAddress address_;
  BudgetPartitionKnobs knobs_;
  std::shared_ptr<PartitionReader> reader_;
  std::unique_ptr<logstore::AppendBatcher> batcher_;
  BudgetAccounts accounts_;
  BudgetLeaseTable leases_;
  std::optional<Lease> lease_;
  std::uint64_t leaseNumber_ = 1;  ///< Of the lease held, or of the next one.
  std::uint64_t renewal_ = 0;      ///< Of the newest record asked for.
  bool leaseAsked_ = false;        ///< A record of it is on its way.
  bool clearing_ = false;          ///< Records about other leases are on their way.
  bool keepsLease_ = false;        ///< This node is the partition's home.
  bool givingBack_ = false;        ///< Nothing more is spent under the lease.
  bool recordingScheduled_ = false;
  std::unordered_map<std::string, Ahead> ahead_;  ///< By request.
  std::unordered_map<std::string, std::vector<std::string>> aheadByProgram_;
  BudgetCounters counters_;
};

}  // namespace gorsetrail::ledger
