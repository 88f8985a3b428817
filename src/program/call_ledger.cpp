#include "program/call_ledger.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::program {

std::vector<CallNumber> CallLedger::load(const ProgramRecord& record) {
  budget_ = BudgetLedger(record.limits);
  for (const JournalEntry& entry : record.entries) {
    if (const auto* intent = std::get_if<IntentEntry>(&entry.body)) {
      loadIntent(*intent, entry.sequence);
    } else if (const auto* outcome = std::get_if<OutcomeEntry>(&entry.body)) {
      loadOutcome(*outcome, entry.sequence, record);
    }
  }
  return underWay();
}

void CallLedger::loadIntent(const IntentEntry& intent, SequenceNumber position) {
  LedgerCall call;
  call.number = intent.call;
  call.branch = intent.branch;
  call.request = intent.request;
  call.content = intent.content;
  call.repeatable = intent.repeatable;
  call.intent = position;
  call.reserved.tokens = intent.reservedTokens;
  budget_.adopt(call.reserved);
  open(std::move(call));
}

void CallLedger::loadOutcome(const OutcomeEntry& outcome, SequenceNumber position,
                             const ProgramRecord& record) {
  LedgerCall* call = find(outcome.call);
  if (call == nullptr || call->state == LedgerState::Ended) {
    return;
  }
  call->state = LedgerState::Ended;
  call->status = outcome.status;
  call->outcome = position;
  budget_.settle(call->reserved, outcome);
  const auto* intent = bodyAt<IntentEntry>(record, call->intent);
  if (outcome.status == CallStatus::Completed && call->repeatable && intent != nullptr) {
    branches_[call->branch].history.extend(intent->messages, outcome.answer);
  }
}

LedgerCall& CallLedger::open(LedgerCall call) {
  byRequest_[call.request] = call.number;
  calls_.push_back(std::move(call));
  return calls_.back();
}

LedgerCall* CallLedger::find(CallNumber number) {
  if (number.value() == 0 || number.value() > calls_.size()) {
    return nullptr;
  }
  return &calls_[number.value() - 1];
}

LedgerCall* CallLedger::findRequest(const RequestDigest& request) {
  const auto position = byRequest_.find(request);
  return position == byRequest_.end() ? nullptr : find(position->second);
}

QueuedCall* CallLedger::findQueued(const RequestDigest& request) {
  for (auto& [id, branch] : branches_) {
    const auto position =
        std::find_if(branch.queue.begin(), branch.queue.end(),
                     [&](const QueuedCall& queued) { return queued.request == request; });
    if (position != branch.queue.end()) {
      return &*position;
    }
  }
  return nullptr;
}

std::vector<CallNumber> CallLedger::underWay() const {
  std::vector<CallNumber> numbers;
  for (const LedgerCall& call : calls_) {
    if (call.state != LedgerState::Ended) {
      numbers.push_back(call.number);
    }
  }
  return numbers;
}

bool CallLedger::isIdle() const {
  const bool hasQueue = std::any_of(branches_.begin(), branches_.end(), [](const auto& item) {
    return !item.second.queue.empty() || item.second.active != CallNumber{};
  });
  return !hasQueue;
}

}  // namespace gorsetrail::program
