/// \file Which homes may have spent tokens that do not stand in a budget partition's log. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
  Duration validity = seconds(30);
  /// Others count a lease as ended so long after they read its last record.
  Duration expiry = seconds(36);
  /// Only programs that should be over within this spend under a lease.
  Duration longestProgramTime = seconds(10);
  /// A call is decided at most this long after its program's remaining time was told.
  Duration longestCall = seconds(4);
  /// Accounts are forgotten after so long, and so is what a cleared lease may have spent.
  Duration memory = seconds(300);
};

/// The leases of one partition as its log tells them, and how long ago this node read it. A lease
/// goes from held by way of ended to cleared:
/// - *held*: its holder may have spent up to `share` of any program's budget without a record;
/// - *ended*: the holder recorded all and gave it back, or its process is dead, or its validity is
///   over. Nothing more will be spent, but it is not known what was;
/// - *cleared*: so long after the end that every program that spent under it should be over. One
///   that is not over yet has begun later, and owes the lease nothing.
class BudgetLeaseTable {
 public:
  explicit BudgetLeaseTable(BudgetLeaseKnobs knobs) : knobs_(knobs) {}

  /// Records are to be told in the order of the log, so that all nodes come to the same states.
  void onRecord(const BudgetLease& record, Instant now);

  /// \param ownLease the lease of this node itself, whose spending it knows; empty: none.
  /// \param isTimely the program should not be over yet, so it began after cleared leases.
  /// \param beganAfter the program was timely at this moment, as far as is known.
  /// \return leases under which the program may have spent tokens unseen.
  [[nodiscard]] std::uint64_t unseenSpenders(const std::string& ownLease, bool isTimely,
                                             std::optional<Instant> beganAfter, Instant now) const;

  /// \return records that the home should append now: earlier lives of `ownHolder` and expired
  /// leases have ended, leases that ended long enough ago are cleared.
  [[nodiscard]] std::vector<BudgetLease> due(const std::string& ownLease,
                                             const std::string& ownHolder, Instant now) const;

  /// \return the state as last read; nothing for an unknown lease.
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

  BudgetLeaseKnobs knobs_;
  std::map<std::string, Entry> leases_;
};

/// What a lease lets its holder spend on a program with this budget.
class LeaseAllowance {
 public:
  LeaseAllowance(const BudgetLeaseKnobs& knobs, std::uint64_t budget)
      : knobs_(knobs), budget_(budget) {}

  /// \param ahead tokens of the program that are spent under the lease and not recorded.
  /// \return whether a turn of at most `tokens` fits as well.
  [[nodiscard]] bool allows(std::uint64_t ahead, std::uint64_t tokens) const;

  /// \param spenders leases that may have spent unseen.
  /// \param largestTurn the most that a turn of the program generates.
  /// \return the most that they may have spent together.
  [[nodiscard]] std::uint64_t mostSpentBy(std::uint64_t spenders, std::uint64_t largestTurn) const;

 private:
  [[nodiscard]] std::uint64_t shareOf(double share) const;

  const BudgetLeaseKnobs& knobs_;
  std::uint64_t budget_;
};

}  // namespace gorsetrail::ledger
