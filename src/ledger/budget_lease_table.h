/// \file Which homes may have spent tokens that do not stand in a budget partition's log. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/reservation.h"

namespace gorsetrail::ledger {

/// Of a program's budget: what a lease lets its holder spend ahead of the records.
struct LeaseShares {
  double share = 0.0;
  /// A single turn may be larger than `share`, up to this share, when nothing else is ahead.
  double singleTurnShare = 0.0;
};

/// Knobs of budget leases. The shares and times are part of the format: what one node spends by
/// them, the others count by them. Note 0011 has the arithmetic.
struct BudgetLeaseKnobs {
  bool enabled = true;
  LeaseShares primary{0.45, 0.7};
  /// Beside both shares 0.4 of the budget is left to who counts both; the median program uses 0.21
  /// to 0.23 of its budget in all (note 0011). Its single turn fits the primary share.
  LeaseShares secondary{0.15, 0.15};
  /// A holder spends under its lease for so long after it asked for the last record of it.
  Duration validity = seconds(20);
  /// Others count a lease as ended so long after they read its last record.
  Duration expiry = seconds(24);
  /// Only programs that should be over within this, and are not yet, spend under a lease.
  Duration longestProgramTime = seconds(10);
  /// A call is decided at most this long after its program's remaining time was told.
  Duration longestCall = seconds(4);
  /// Accounts are forgotten after so long, and so is what a cleared lease may have spent.
  Duration memory = seconds(300);

  [[nodiscard]] const LeaseShares& sharesOf(BudgetLeaseSlot slot) const {
    return slot == BudgetLeaseSlot::Primary ? primary : secondary;
  }
};

/// Above the offset of any record.
inline constexpr std::uint64_t kEverythingRead = UINT64_MAX;

/// The leases of one partition as its log tells them, and how long ago this node read it.
///
/// A lease goes from held by way of ended to cleared:
/// - *held*: its holder may have spent up to its slot's share of any timely program's budget
/// unseen;
/// - *ended*: its holder's process is dead, or its validity is over. Nothing more will be spent,
///   but it is not known what was;
/// - *cleared*: it was given back after all under it was recorded, and owes nothing; or it ended so
///   long ago that every program that spent under it should be over by now. One that is not over
///   yet has begun later and owes it nothing.
/// Two leases are in force at most: the record of a new one enters the primary slot, or the
/// secondary one while the lease in the primary slot has ended, or is void. A renewal of the
/// secondary lease moves it up when the primary slot is free. The log's order decides, so all
/// readers agree. So a program can have spent under two leases at most, those that were uncleared
/// at one time: a later one is taken when the program should be over, and then it spends under
/// none.
class BudgetLeaseTable {
 public:
  explicit BudgetLeaseTable(BudgetLeaseKnobs knobs) : knobs_(knobs) {}

  /// Records are to be told in the order of the log, so that all nodes come to the same states.
  void onRecord(const BudgetLease& record, std::uint64_t offset, Instant now);

  /// \param ownLease the lease of this node itself, whose spending it knows; empty: none.
  /// \param isTimely the program should not be over yet.
  /// \param below only the spending recorded below this offset is counted otherwise:
  /// `kEverythingRead`, or for a reservation the offset of its record. What was spent under a lease
  /// is recorded before its end, so a lease that was cleared at `below` or behind it counts;
  /// without this, grants recorded between the reservation and the lease's end are counted by
  /// nobody. \return under which leases the program may have spent tokens unseen.
  [[nodiscard]] UnseenSpending unseenSpending(const std::string& ownLease, bool isTimely,
                                              std::uint64_t below, Instant now) const;

  /// \return whether `ownLease` is in force, or its first record would enter a slot.
  [[nodiscard]] bool hasSlotFor(const std::string& ownLease) const;
  /// \return whether a renewal would move the lease from the secondary to the primary slot.
  [[nodiscard]] bool canMoveUp(const std::string& lease) const;

  /// \return the record that the home should append now: that an earlier life of `ownHolder` or an
  /// expired lease has ended, or that one which ended long enough ago is cleared.
  [[nodiscard]] std::optional<BudgetLease> due(const std::string& ownLease,
                                               const std::string& ownHolder, Instant now) const;

  /// \return the state as last read; nothing for an unknown or void lease.
  [[nodiscard]] std::optional<BudgetLeaseState> stateOf(const std::string& lease) const;
  /// \return the slot of a lease that is in force.
  [[nodiscard]] std::optional<BudgetLeaseSlot> slotOf(const std::string& lease) const;

  /// Forgets leases that were cleared long ago.
  void forgetOld(Instant now);
  [[nodiscard]] std::size_t size() const { return leases_.size(); }

 private:
  struct Entry {
    std::string holder;
    BudgetLeaseState state = BudgetLeaseState::Held;
    Instant since;  ///< When the state, or the newest record of a held lease, was read.
    std::uint64_t clearedAt = kEverythingRead;  ///< Offset of the record that cleared it.
    std::uint64_t renewal = 0;
    BudgetLeaseSlot slot = BudgetLeaseSlot::Primary;
    /// When a lease beside it was cleared that had ended: late programs may have spent under both.
    std::optional<Instant> overlappedAt;
  };
  using Leases = std::map<std::string, Entry>;

  /// \return the lease in the slot that is held or ended, or the end.
  [[nodiscard]] Leases::const_iterator inForce(BudgetLeaseSlot slot) const;
  [[nodiscard]] bool isFree(BudgetLeaseSlot slot) const { return inForce(slot) == leases_.end(); }
  /// \return the slot that the first record of a lease enters; nothing: the record is void.
  [[nodiscard]] std::optional<BudgetLeaseSlot> slotForNew() const;
  void onNewLease(const BudgetLease& record, std::uint64_t offset, Instant now);
  void clearEnded(const Entry& cleared, Instant now);
  void notePast(UnseenSpending spending, Instant now);
  [[nodiscard]] bool isRemembered(const std::optional<Instant>& moment, Instant now) const;
  /// \return whether the lease of another node was not cleared by a record below the offset.
  [[nodiscard]] static bool isForeign(const Leases::value_type& lease, const std::string& ownLease,
                                      std::uint64_t below) {
    return lease.first != ownLease && lease.second.clearedAt >= below;
  }
  [[nodiscard]] UnseenSpending lateSpending(const std::string& ownLease, std::uint64_t below,
                                            Instant now) const;
  [[nodiscard]] std::optional<BudgetLease> dueOf(const Leases::value_type& lease,
                                                 const std::string& ownHolder, Instant now) const;

  BudgetLeaseKnobs knobs_;
  Leases leases_;
  /// When a lease that had ended, or a pair of them, was last cleared; by `UnseenSpending`.
  std::array<std::optional<Instant>, 4> past_;
};

/// What leases let their holders spend on a program with this budget.
class LeaseAllowance {
 public:
  LeaseAllowance(const BudgetLeaseKnobs& knobs, std::uint64_t budget)
      : knobs_(knobs), budget_(budget) {}

  /// \param ahead tokens of the program that are spent under the lease and not recorded.
  /// \return whether a turn of at most `tokens` fits under a lease of the slot as well.
  [[nodiscard]] bool allows(BudgetLeaseSlot slot, std::uint64_t ahead, std::uint64_t tokens) const;

  /// \param largestTurn the most that a turn of the program generates, as far as is known.
  /// \return the most that may have been spent under the leases, less what a larger turn was above
  /// `largestTurn`: the rule allows one turn above the budget.
  [[nodiscard]] std::uint64_t mostSpent(UnseenSpending spending, std::uint64_t largestTurn) const;

 private:
  [[nodiscard]] std::uint64_t partOf(double share) const;
  [[nodiscard]] std::uint64_t mostSpentUnder(BudgetLeaseSlot slot, std::uint64_t largestTurn) const;

  const BudgetLeaseKnobs& knobs_;
  std::uint64_t budget_;
};

}  // namespace gorsetrail::ledger
