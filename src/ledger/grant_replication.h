/// \file Copies the grants of one lease to its witnesses before they are used.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "ledger/facts.h"
#include "ledger/witness_nodes.h"

namespace gorsetrail::ledger {

/// Sends each grant of a lease to all witnesses and reports when a majority has stored it (model:
/// spec/lease_witness.pml). A witness receives one call at a time, with all grants that have come
/// up meanwhile, so a slow one receives fewer and larger calls.
class GrantReplication : public std::enable_shared_from_this<GrantReplication> {
 public:
  using Callback = std::function<void(bool stored)>;

  /// \param nodes outlives this object. \param timeLimit of a call.
  GrantReplication(WitnessNodes& nodes, std::string lease, std::vector<WitnessProcess> witnesses,
                   Duration timeLimit);

  /// Calls back once, never synchronously: whether a majority has stored the grant. If not, some
  /// may have stored it all the same.
  /// \return the grant's number.
  std::uint64_t replicate(const BudgetReservation& reservation, Callback callback);
  /// Calls the witnesses without a grant, unless they are being called.
  void check();
  /// The grant is recorded or was given up; witnesses may forget it.
  void release(std::uint64_t number) { unrecorded_.erase(number); }

  [[nodiscard]] const std::vector<WitnessProcess>& witnesses() const { return witnesses_; }
  /// \return whether a majority of the witnesses answered their last call.
  [[nodiscard]] bool hasMajority() const;
  /// \return whether a witness is lost for good, or did not answer its last call.
  [[nodiscard]] bool isImpaired() const;

 private:
  struct Witness {
    std::vector<LeaseGrant> queue;
    bool isCalled = false;
    bool hasFailed = false;  ///< The last call.
    bool isLost = false;     ///< It restarted, or another node sealed the lease.
  };
  struct Pending {
    std::size_t stored = 0;
    std::size_t failed = 0;
    Callback callback;
  };

  void callNext(std::size_t index);
  void call(std::size_t index);
  void onReply(std::size_t index, const std::vector<std::uint64_t>& numbers,
               const std::optional<LedgerReply>& reply);
  void countVote(std::uint64_t number, bool isStored);

  WitnessNodes& nodes_;
  std::string lease_;
  std::vector<WitnessProcess> witnesses_;
  std::vector<Witness> states_;  ///< Of `witnesses_`.
  Duration timeLimit_;
  std::uint64_t nextNumber_ = 1;
  std::set<std::uint64_t> unrecorded_;
  std::unordered_map<std::uint64_t, Pending> pending_;  ///< By grant number.
};

/// Asks nodes to become witnesses of a lease.
/// \param count the most that are chosen. \param callback is called once with those that agreed
/// within the limit; it may be none. Called immediately if there is no other node.
void chooseWitnesses(WitnessNodes& nodes, const std::string& lease, std::size_t count,
                     Duration timeLimit, std::function<void(std::vector<WitnessProcess>)> callback);

/// What the witnesses of a sealed lease replied.
struct SealedLease {
  bool isComplete = false;  ///< Enough of them: no further grant of the lease can be used.
  /// All grants that were or will be used and may not be recorded, if complete.
  std::vector<BudgetReservation> grants;
  bool isLost = false;  ///< So many have restarted that it cannot become complete any more.
};

/// Seals a lease at its witnesses. Calls back once, never synchronously.
void sealLease(WitnessNodes& nodes, const std::string& lease,
               const std::vector<WitnessProcess>& witnesses, Duration timeLimit,
               std::function<void(SealedLease)> callback);

}  // namespace gorsetrail::ledger
