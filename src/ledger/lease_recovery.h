/// \file Clears leases of other nodes with the help of their witnesses.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "ledger/budget_lease_table.h"
#include "ledger/facts.h"
#include "ledger/witness_nodes.h"
#include "logstore/retrying_store.h"

namespace gorsetrail::ledger {

/// How a recovery ended.
enum class LeaseRecoveryOutcome : std::uint8_t {
  Cleared,
  TooFewWitnesses,  ///< The lease counts until its retention is over, or more witnesses reply.
  WitnessesLost,    ///< The lease counts until its retention is over.
  StoreFailed,      ///< The grants or the clearing may not be recorded.
};
/// \return a stable snake_case name for log lines.
[[nodiscard]] std::string_view leaseRecoveryOutcomeName(LeaseRecoveryOutcome outcome);

/// Settings of `LeaseRecovery`.
struct LeaseRecoveryKnobs {
  Duration sealTimeLimit = milliseconds(300);
  /// Pause before the next try after a failure, doubled after each further one.
  Duration firstPause = milliseconds(500);
  Duration longestPause = seconds(8);
};

/// Clears a lease without its holder: seals it at its witnesses, records the grants that they hold,
/// then appends its clearing. The order matters: once the lease is cleared nobody counts its share,
/// so that all grants must precede the clearing in the log.
class LeaseRecovery {
 public:
  /// Access to the partition's log.
  struct Log {
    std::function<bool(const BudgetReservation&)> isRecorded;
    /// Appends a reservation that was granted under the lease; calls back with success when its
    /// record stands.
    std::function<void(const BudgetLease&, const BudgetReservation&,
                       std::function<void(bool appended)>)>
        append;
    /// Appends the clearing and reads it.
    std::function<void(const BudgetLease&, std::function<void(bool appended)>)> appendLease;
  };
  /// \param recovered number of grants that were not recorded before.
  using OnEnd = std::function<void(const BudgetLease& lease, LeaseRecoveryOutcome outcome,
                                   std::size_t recovered)>;

  /// \param nodes outlives this object. \param onEnd is called at the end of each try.
  LeaseRecovery(WitnessNodes& nodes, logstore::ClockFunction clock, Log log, OnEnd onEnd,
                LeaseRecoveryKnobs knobs = {})
      : nodes_(nodes),
        clock_(std::move(clock)),
        log_(std::move(log)),
        onEnd_(std::move(onEnd)),
        knobs_(knobs) {}

  /// \return whether the lease has witnesses, and no try failed a moment ago.
  [[nodiscard]] bool canStart(const BudgetLease& lease) const;
  /// Starts a try, or joins the one that runs. Calls back once, never synchronously.
  void recover(const BudgetLease& lease, std::function<void(bool cleared)> callback);
  /// Forgets failures of leases for which the function returns false.
  void keepOnly(const std::function<bool(const std::string& lease)>& isActive);

 private:
  struct Try {
    bool isRunning = false;
    Instant nextAt{};
    Duration pause{};
    std::vector<std::function<void(bool cleared)>> waiting;
  };

  void recordGrants(const BudgetLease& lease, const std::vector<BudgetReservation>& grants);
  void clear(const BudgetLease& lease, std::size_t recovered);
  void end(const BudgetLease& lease, LeaseRecoveryOutcome outcome, std::size_t recovered);

  WitnessNodes& nodes_;
  logstore::ClockFunction clock_;
  Log log_;
  OnEnd onEnd_;
  LeaseRecoveryKnobs knobs_;
  std::map<std::string, Try> tries_;  ///< By lease.
};

}  // namespace gorsetrail::ledger
