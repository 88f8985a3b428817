#include "ledger/lease_recovery.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "ledger/grant_replication.h"

namespace gorsetrail::ledger {

std::string_view leaseRecoveryOutcomeName(LeaseRecoveryOutcome outcome) {
  switch (outcome) {
    case LeaseRecoveryOutcome::Cleared:
      return "cleared";
    case LeaseRecoveryOutcome::TooFewWitnesses:
      return "too_few_witnesses";
    case LeaseRecoveryOutcome::WitnessesLost:
      return "witnesses_lost";
    case LeaseRecoveryOutcome::StoreFailed:
      break;
  }
  return "store_failed";
}

bool LeaseRecovery::canStart(const BudgetLease& lease) const {
  const auto found = tries_.find(lease.lease);
  return !lease.witnesses.empty() &&
         (found == tries_.end() || found->second.isRunning || found->second.nextAt <= clock_());
}

void LeaseRecovery::recover(const BudgetLease& lease, std::function<void(bool cleared)> callback) {
  Try& attempt = tries_[lease.lease];
  attempt.waiting.push_back(std::move(callback));
  if (std::exchange(attempt.isRunning, true)) {
    return;
  }
  sealLease(nodes_, lease.lease, lease.witnesses, knobs_.sealTimeLimit,
            [this, lease](const SealedLease& sealed) {
              if (sealed.isComplete) {
                recordGrants(lease, sealed.grants);
              } else {
                end(lease,
                    sealed.isLost ? LeaseRecoveryOutcome::WitnessesLost
                                  : LeaseRecoveryOutcome::TooFewWitnesses,
                    0);
              }
            });
}

void LeaseRecovery::recordGrants(const BudgetLease& lease,
                                 const std::vector<BudgetReservation>& grants) {
  std::vector<BudgetReservation> missing;
  std::copy_if(grants.begin(), grants.end(), std::back_inserter(missing),
               [this](const BudgetReservation& grant) { return !log_.isRecorded(grant); });
  if (missing.empty()) {
    clear(lease, 0);
    return;
  }
  struct Progress {
    std::size_t awaited = 0;
    bool hasFailed = false;
  };
  auto progress = std::make_shared<Progress>(Progress{missing.size(), false});
  for (const BudgetReservation& grant : missing) {
    log_.append(lease, grant, [this, lease, progress, count = missing.size()](bool appended) {
      progress->hasFailed = progress->hasFailed || !appended;
      if (--progress->awaited > 0) {
        return;
      }
      if (progress->hasFailed) {
        end(lease, LeaseRecoveryOutcome::StoreFailed, 0);
      } else {
        clear(lease, count);
      }
    });
  }
}

void LeaseRecovery::clear(const BudgetLease& lease, std::size_t recovered) {
  BudgetLease record = lease;
  record.state = BudgetLeaseState::Cleared;
  log_.appendLease(record, [this, lease, recovered](bool appended) {
    end(lease, appended ? LeaseRecoveryOutcome::Cleared : LeaseRecoveryOutcome::StoreFailed,
        recovered);
  });
}

void LeaseRecovery::end(const BudgetLease& lease, LeaseRecoveryOutcome outcome,
                        std::size_t recovered) {
  const bool isCleared = outcome == LeaseRecoveryOutcome::Cleared;
  Try& attempt = tries_[lease.lease];
  const auto waiting = std::exchange(attempt.waiting, {});
  attempt.isRunning = false;
  if (isCleared) {
    tries_.erase(lease.lease);
  } else {
    attempt.pause = std::clamp(attempt.pause * 2, knobs_.firstPause, knobs_.longestPause);
    attempt.nextAt =
        outcome == LeaseRecoveryOutcome::WitnessesLost ? Instant::max() : clock_() + attempt.pause;
  }
  onEnd_(lease, outcome, recovered);
  for (const auto& callback : waiting) {
    callback(isCleared);
  }
}

void LeaseRecovery::keepOnly(const std::function<bool(const std::string& lease)>& isActive) {
  std::erase_if(tries_, [&isActive](const auto& entry) {
    return !entry.second.isRunning && !isActive(entry.first);
  });
}

}  // namespace gorsetrail::ledger
