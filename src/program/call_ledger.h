/// \file Calls of one program tree: their order by branch, their request ids, and how each ended.
#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "program/budget_ledger.h"
#include "program/history.h"
#include "program/program_service.h"

namespace gorsetrail::program {

/// State of a call that has a number.
enum class LedgerState : std::uint8_t {
  IntentPending,   ///< Not repeatable: waits until the intent stands on a quorum.
  Dispatched,      ///< Admitted; the outcome is awaited.
  OutcomePending,  ///< The outcome is written, but does not stand yet.
  Ended,           ///< The outcome stands.
};

/// One numbered call.
struct LedgerCall {
  CallNumber number;
  BranchId branch;
  RequestDigest request;
  ContentDigest content;
  bool repeatable = true;
  LedgerState state = LedgerState::Dispatched;
  CallStatus status = CallStatus::Unknown;
  SequenceNumber intent;   ///< Position of the intent.
  SequenceNumber outcome;  ///< Position of the outcome; 0 before.
  BudgetReservation reserved;
  CallHandle handle;                  ///< 0 when nobody here waits for it.
  std::vector<CallHandle> followers;  ///< The same request, asked again meanwhile.
  Instant waitingSince;               ///< Since when the quorum is awaited.
};

/// A call that waits for its turn in its branch.
struct QueuedCall {
  CallAdmission admission;
  RequestDigest request;
  std::vector<CallHandle> followers;
};

/// One line of calls: at most one of them runs at a time.
struct Branch {
  BranchHistory history;
  CallNumber active;  ///< 0 when none.
  std::deque<QueuedCall> queue;
};

/// Index over the calls of one program. It decides nothing by itself.
class CallLedger {
 public:
  /// Rebuilds calls, histories and budget from a journal.
  /// \return the numbers of the intents without an outcome.
  std::vector<CallNumber> load(const ProgramRecord& record);

  /// Numbers a call; its intent is at `intent`.
  LedgerCall& open(LedgerCall call);
  [[nodiscard]] LedgerCall* find(CallNumber number);
  /// \return the latest call with that request id, or null.
  [[nodiscard]] LedgerCall* findRequest(const RequestDigest& request);
  [[nodiscard]] QueuedCall* findQueued(const RequestDigest& request);
  [[nodiscard]] CallNumber nextNumber() const {
    return CallNumber(static_cast<std::uint32_t>(calls_.size() + 1));
  }
  Branch& branch(BranchId id) { return branches_[id]; }
  [[nodiscard]] std::unordered_map<BranchId, Branch>& branches() { return branches_; }
  [[nodiscard]] BudgetLedger& budget() { return budget_; }
  [[nodiscard]] const BudgetLedger& budget() const { return budget_; }
  /// \return the calls whose outcome does not stand yet.
  [[nodiscard]] std::vector<CallNumber> underWay() const;
  /// \return whether no call runs or waits.
  [[nodiscard]] bool isIdle() const;

 private:
  void loadIntent(const IntentEntry& intent, SequenceNumber position);
  void loadOutcome(const OutcomeEntry& outcome, SequenceNumber position,
                   const ProgramRecord& record);

  std::vector<LedgerCall> calls_;  ///< Call number n is at n - 1.
  std::unordered_map<RequestDigest, CallNumber> byRequest_;
  std::unordered_map<BranchId, Branch> branches_;
  BudgetLedger budget_;
};

/// \return the entry body at a position; null if it is of another type.
template <class Body>
const Body* bodyAt(const ProgramRecord& record, SequenceNumber position) {
  if (position.value() == 0 || position.value() > record.entries.size()) {
    return nullptr;
  }
  return std::get_if<Body>(&record.entries[position.value() - 1].body);
}

}  // namespace gorsetrail::program
