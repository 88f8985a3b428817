/// \file The budget leases of one partition: which nodes may have spent tokens that are not
/// recorded in its log. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/reservation.h"

namespace gorsetrail::ledger {

/// The fractions (0 to 1) of a program's budget that a lease holder may spend before it records the
/// reservations.
struct LeaseShares {
  double share = 0.0;
  /// The limit for a single turn while the program has no other unrecorded tokens under the lease.
  double singleTurnShare = 0.0;
};

/// Limits and times of budget leases. All nodes must use the same shares and times: what a holder
/// may spend is what the other nodes count against the budget. docs/design/0011-budget-leases.md
/// derives the values.
struct BudgetLeaseKnobs {
  bool enabled = true;
  LeaseShares primary{0.45, 0.7};
  /// The shares leave 0.4 of the budget to a node that counts both leases. The median program uses
  /// 0.21 to 0.23 of its budget in all (note 0011). The secondary lease's single turn must fit the
  /// primary share.
  LeaseShares secondary{0.15, 0.15};
  /// The holder may spend under its lease until this long after it requested the last record of it.
  Duration validity = seconds(20);
  /// Other nodes treat a lease as ended this long after they read its last record. Longer than
  /// `validity`, so that the holder stops first.
  Duration expiry = seconds(24);
  /// A lease is used only for programs whose remaining time is positive and at most this.
  Duration maxRemainingProgramTime = seconds(10);
  /// The maximum time between the receipt of a program's remaining time and the decision by the
  /// log.
  Duration maxDecisionDelay = seconds(4);
  /// How long a lease that has ended counts before it is cleared. A program that was stopped may
  /// come back in this time, with new time to run.
  Duration retention = seconds(300);

  /// \return how long after the end of a lease a program that spent under it should be over, by the
  /// time that it declared then.
  [[nodiscard]] Duration longestProgramTime() const {
    return maxRemainingProgramTime + maxDecisionDelay;
  }

  [[nodiscard]] const LeaseShares& sharesOf(BudgetLeaseSlot slot) const {
    return slot == BudgetLeaseSlot::Primary ? primary : secondary;
  }
};

/// Adds a lease of the slot to those under which tokens may have been spent. Two leases can name
/// the same slot: one was cleared at or after the offset in question, and the other was promoted
/// then.
void addSpendingUnder(BudgetLeaseSlot slot, UnrecordedSpending& spending);

/// The leases of other nodes under which a program may have spent tokens without a record.
struct ForeignLeases {
  UnrecordedSpending all = UnrecordedSpending::None;
  /// Those of `all` whose spending will not become known any more.
  UnrecordedSpending permanent = UnrecordedSpending::None;
};

/// An offset above that of any record.
inline constexpr std::uint64_t kMaxOffset = UINT64_MAX;

/// The state machine of the budget leases of one partition, driven by the records in its log. A
/// lease passes through these states in order:
/// - *held*: the holder may have spent up to its slot's share of the budget of any program, without
///   a record;
/// - *ended*: the holder's process is dead, or the lease has expired. Nothing more will be spent,
///   but the amount already spent is unknown;
/// - *cleared*: the holder released the lease after it had recorded everything spent under it, or
///   the lease ended so long ago that no program that spent under it comes back.
/// At most two leases are active (not cleared). The record of a new lease takes the primary slot,
/// or the secondary slot if the primary lease has ended; otherwise the record is void. A renewal
/// promotes the secondary lease once the primary slot is free. The order of the log decides, so all
/// readers agree.
///
/// A program's declared time does not tell whether it began before a lease ended: a program that
/// was stopped may come back and declare new time. So an ended lease counts against every program.
class BudgetLeaseTable {
 public:
  explicit BudgetLeaseTable(BudgetLeaseKnobs knobs) : knobs_(knobs) {}

  /// Applies a record. Call it in the order of the log, so that all nodes reach the same states.
  void applyRecord(const BudgetLease& record, std::uint64_t offset, Instant now);

  /// \param ownLease this node's lease, which is not counted because its spending is known; empty:
  /// none.
  /// \param firstRecord offset of the program's first reservation in the log; nothing: it has none.
  /// \param below all spending recorded below this offset is counted elsewhere: `kMaxOffset`, or
  /// for a reservation the offset of its own record. A lease that was released at or after `below`
  /// still counts, because the grants recorded between the reservation and the end of the lease
  /// would otherwise be counted by nobody.
  [[nodiscard]] ForeignLeases foreignLeases(const std::string& ownLease,
                                            std::optional<std::uint64_t> firstRecord,
                                            std::uint64_t below, Instant now) const;
  /// \return the active leases that `ownLease` is not, as their newest records tell.
  [[nodiscard]] std::vector<BudgetLease> activeForeignLeases(const std::string& ownLease) const;
  /// The lease's witnesses are lost: what was granted under it will not become known any more.
  void onWitnessesLost(const std::string& lease);
  /// \return whether a lease of another node is held or ended.
  [[nodiscard]] bool hasActiveForeignLease(const std::string& ownLease) const;

  /// \return whether `ownLease` is active, or its first record would take a slot.
  [[nodiscard]] bool hasSlotFor(const std::string& ownLease) const;
  /// \return whether a renewal would promote the lease from the secondary to the primary slot.
  [[nodiscard]] bool canPromote(const std::string& lease) const;

  /// \return the record that the partition's coordinator should append next, if any: the end of a
  /// lease of an earlier process of `ownHolder` or of an expired lease, or the clearing of a lease
  /// that ended long enough ago.
  [[nodiscard]] std::optional<BudgetLease> nextTransition(const std::string& ownLease,
                                                          const std::string& ownHolder,
                                                          Instant now) const;

  /// \return the last state read; nothing for an unknown or void lease.
  [[nodiscard]] std::optional<BudgetLeaseState> stateOf(const std::string& lease) const;
  /// \return the slot of an active lease.
  [[nodiscard]] std::optional<BudgetLeaseSlot> slotOf(const std::string& lease) const;

  /// Removes leases that were cleared longer than the retention ago.
  void evictCleared(Instant now);
  [[nodiscard]] std::size_t size() const { return leases_.size(); }

 private:
  struct Entry {
    std::string holder;
    BudgetLeaseState state = BudgetLeaseState::Held;
    Instant updatedAt;  ///< When the state, or the newest record of a held lease, was read.
    std::uint64_t clearedOffset = kMaxOffset;  ///< Offset of the record that cleared it.
    std::uint64_t renewal = 0;
    BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;
    /// Offset of the record that ended it; nothing if it was not ended or its holder released it.
    std::optional<std::uint64_t> endedOffset;
    std::vector<WitnessProcess> witnesses;
    bool areWitnessesLost = false;  ///< As far as this node knows.
  };
  using Leases = std::map<std::string, Entry>;

  /// \return the held or ended lease in the slot, or the end iterator.
  [[nodiscard]] Leases::const_iterator activeLease(BudgetLeaseSlot slot) const;
  [[nodiscard]] bool isSlotFree(BudgetLeaseSlot slot) const {
    return activeLease(slot) == leases_.end();
  }
  /// \return the slot that the first record of a lease takes; nothing if the record is void.
  [[nodiscard]] std::optional<BudgetLeaseSlot> slotForNewLease() const;
  void addLease(const BudgetLease& record, std::uint64_t offset, Instant now);
  /// \return whether the lease belongs to another node and was not cleared by a record below the
  /// offset.
  [[nodiscard]] static bool isUnclearedForeign(const Leases::value_type& lease,
                                               const std::string& ownLease, std::uint64_t below) {
    return lease.first != ownLease && lease.second.clearedOffset >= below;
  }
  [[nodiscard]] std::optional<BudgetLease> nextTransitionOf(const Leases::value_type& lease,
                                                            const std::string& ownHolder,
                                                            Instant now) const;

  BudgetLeaseKnobs knobs_;
  Leases leases_;
};

/// Computes how many tokens of a program with the given budget may be spent under leases.
class LeaseAllowance {
 public:
  LeaseAllowance(const BudgetLeaseKnobs& knobs, std::uint64_t budget)
      : knobs_(knobs), budget_(budget) {}

  /// \param unrecorded tokens of the program that were granted under the lease and are not recorded
  /// yet.
  /// \return whether a further turn of at most `tokens` is covered by a lease of the slot.
  [[nodiscard]] bool allows(BudgetLeaseSlot slot, std::uint64_t unrecorded,
                            std::uint64_t tokens) const;

  /// \param largestTurn upper bound of the tokens of one turn of the program, as far as known.
  /// \return the maximum that may have been spent under the leases. The part of a single turn above
  /// `largestTurn` is left out, because a program may exceed its budget by one turn.
  [[nodiscard]] std::uint64_t maxSpent(UnrecordedSpending spending,
                                       std::uint64_t largestTurn) const;

 private:
  [[nodiscard]] std::uint64_t tokensOfShare(double share) const;
  [[nodiscard]] std::uint64_t maxSpentUnder(BudgetLeaseSlot slot, std::uint64_t largestTurn) const;

  const BudgetLeaseKnobs& knobs_;
  std::uint64_t budget_;
};

}  // namespace gorsetrail::ledger
