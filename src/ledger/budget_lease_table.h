/// \file Which homes may have spent tokens that do not stand in a budget partition's log. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "ledger/facts.h"

namespace gorsetrail::ledger {

/// Knobs of budget leases. The shares and times are part of the format: what one node spends by
/// them, the others count by them. Note 0011 has the arithmetic.
struct BudgetLeaseKnobs {
  bool enabled = true;
  /// Of a program's budget: what one lease may spend ahead of the records.
  double share = 0.45;
  /// A single turn may be larger than `share`, up to this share, when nothing else is ahead.
  double singleTurnShare = 0.7;
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
};

/// The leases of one partition as its log tells them, and how long ago this node read it.
///
/// A lease goes from held by way of ended to cleared:
/// - *held*: its holder may have spent up to `share` of any timely program's budget unseen;
/// - *ended*: its holder's process is dead, or its validity is over. Nothing more will be spent,
///   but it is not known what was;
/// - *cleared*: all under it was recorded, or it ended so long ago that every program that spent
///   under it should be over by now. One that is not over yet has begun later and owes it nothing.
/// Only one lease is in force at a time: while one is not cleared, the record of another is void.
/// So a program can have spent under one lease at most: a later one is taken when the program
/// should be over, and programs that should be over spend under none.
class BudgetLeaseTable {
 public:
  explicit BudgetLeaseTable(BudgetLeaseKnobs knobs) : knobs_(knobs) {}

  /// Records are to be told in the order of the log, so that all nodes come to the same states.
  void onRecord(const BudgetLease& record, Instant now);

  /// \param ownLease the lease of this node itself, whose spending it knows; empty: none.
  /// \param isTimely the program should not be over yet.
  /// \return whether the program may have spent tokens under a lease unseen.
  [[nodiscard]] bool mayHaveSpentUnseen(const std::string& ownLease, bool isTimely,
                                        Instant now) const;

  /// \return whether no lease but `ownLease` is in force, so that one may be taken.
  [[nodiscard]] bool isFreeFor(const std::string& ownLease) const;

  /// \return the record that the home should append now: that an earlier life of `ownHolder` or an
  /// expired lease has ended, or that one which ended long enough ago is cleared.
  [[nodiscard]] std::optional<BudgetLease> due(const std::string& ownLease,
                                               const std::string& ownHolder, Instant now) const;

  /// \return the state as last read; nothing for an unknown or void lease.
  [[nodiscard]] std::optional<BudgetLeaseState> stateOf(const std::string& lease) const;

  /// Forgets leases that were cleared long ago.
  void forgetOld(Instant now);
  [[nodiscard]] std::size_t size() const { return leases_.size(); }

 private:
  struct Entry {
    std::string holder;
    BudgetLeaseState state = BudgetLeaseState::Held;
    Instant since;  ///< When the state, or the newest record of a held lease, was read.
    std::uint64_t renewal = 0;
  };
  using Leases = std::map<std::string, Entry>;

  /// \return the lease that is held or ended, or the end.
  [[nodiscard]] Leases::const_iterator inForce() const;

  BudgetLeaseKnobs knobs_;
  Leases leases_;
};

/// What a lease lets its holder spend on a program with this budget.
class LeaseAllowance {
 public:
  LeaseAllowance(const BudgetLeaseKnobs& knobs, std::uint64_t budget)
      : knobs_(knobs), budget_(budget) {}

  /// \param ahead tokens of the program that are spent under the lease and not recorded.
  /// \return whether a turn of at most `tokens` fits as well.
  [[nodiscard]] bool allows(std::uint64_t ahead, std::uint64_t tokens) const;

  /// \param largestTurn the most that a turn of the program generates, as far as is known.
  /// \return the most that may have been spent under the lease, less what a larger turn was above
  /// `largestTurn`: the rule allows one turn above the budget.
  [[nodiscard]] std::uint64_t mostSpent(std::uint64_t largestTurn) const;

 private:
  [[nodiscard]] std::uint64_t shareOf(double share) const;

  const BudgetLeaseKnobs& knobs_;
  std::uint64_t budget_;
};

}  // namespace gorsetrail::ledger
