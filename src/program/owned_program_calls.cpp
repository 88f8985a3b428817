// Calls of an owned program: from arrival to the standing outcome.
#include <utility>

#include "program/owned_program.h"
#include "program/program_errors.h"

namespace gorsetrail::program {

void OwnedProgram::takeArrival(const CallAdmission& admission) {
  const RequestDigest request = requestDigestOf(admission.idempotencyKey);
  if (answerFromLedger(admission, request)) {
    return;
  }
  if (isClosing_ || owner_.record().closed) {
    refuse(admission.handle, programClosedError());
    return;
  }
  if (isForgotten_ && !admission.repeatable) {
    refuse(admission.handle, journalLostError(identity_.key.homeZone));
    return;
  }
  Branch& branch = ledger_.branch(branchIdOf(admission.branchPath));
  if (branch.queue.size() >= knobs_.maximumQueuedCallsPerBranch) {
    refuse(admission.handle, queueFullError(knobs_.maximumQueuedCallsPerBranch));
    return;
  }
  branch.queue.push_back(QueuedCall{admission, request, {}});
}

bool OwnedProgram::answerFromLedger(const CallAdmission& admission, const RequestDigest& request) {
  if (QueuedCall* queued = ledger_.findQueued(request)) {
    if (queued->admission.content != admission.content) {
      refuse(admission.handle, requestConflictError());
    } else if (queued->followers.size() >= knobs_.maximumQueuedCallsPerBranch) {
      refuse(admission.handle, queueFullError(knobs_.maximumQueuedCallsPerBranch));
    } else {
      queued->followers.push_back(admission.handle);
    }
    return true;
  }
  LedgerCall* call = ledger_.findRequest(request);
  if (call == nullptr) {
    return false;
  }
  if (call->content != admission.content) {
    refuse(admission.handle, requestConflictError());
    return true;
  }
  // What certainly did not run may run under the same id; what may have run only if repeatable.
  const bool hasOutcome =
      call->state == LedgerState::Ended || call->state == LedgerState::OutcomePending;
  const bool mayRunAgain =
      hasOutcome && call->status != CallStatus::Completed &&
      (call->status == CallStatus::NotRun || (call->repeatable && admission.repeatable));
  if (mayRunAgain) {
    return false;
  }
  if (call->state != LedgerState::Ended) {
    joinCallUnderWay(admission, *call);
  } else if (call->status == CallStatus::Completed) {
    const auto* outcome = bodyAt<OutcomeEntry>(owner_.record(), call->outcome);
    commands_.push(CallReplayed{admission.handle, outcome == nullptr ? "" : outcome->answer});
  } else {
    refuse(admission.handle, endedWithoutAnswerError(call->status));
  }
  return true;
}

void OwnedProgram::joinCallUnderWay(const CallAdmission& admission, LedgerCall& call) {
  if (call.followers.size() >= knobs_.maximumQueuedCallsPerBranch) {
    refuse(admission.handle, queueFullError(knobs_.maximumQueuedCallsPerBranch));
  } else {
    call.followers.push_back(admission.handle);
  }
}

void OwnedProgram::writeOutcome(LedgerCall& call, OutcomeEntry outcome) {
  ledger_.budget().settle(call.reserved, outcome);
  call.status = outcome.status;
  call.state = LedgerState::OutcomePending;
  journalBytes_ += outcome.answer.size();
  call.outcome = owner_.append(std::move(outcome), true);
}

void OwnedProgram::advanceStanding() {
  for (auto& [id, branch] : ledger_.branches()) {
    if (LedgerCall* call = ledger_.find(branch.active)) {
      advanceCall(*call, branch);
    }
  }
}

void OwnedProgram::advanceCall(LedgerCall& call, Branch& branch) {
  const SequenceNumber standing = owner_.standingThrough();
  if (call.state == LedgerState::IntentPending && call.intent <= standing) {
    // Only now: had it been dispatched earlier, a takeover whose quorum does not show the intent
    // would take the same request for a new one.
    call.state = LedgerState::Dispatched;
    admitted(call);
  } else if (call.state == LedgerState::OutcomePending && call.outcome <= standing) {
    endCall(call, branch);
  }
}

void OwnedProgram::admitted(const LedgerCall& call) {
  const DispatchId dispatch{identity_.program, owner_.epoch(), call.number, AttemptNumber(1)};
  commands_.push(CallAdmitted{call.handle, dispatch, ledger_.budget().tokensUsed()});
}

void OwnedProgram::endCall(LedgerCall& call, Branch& branch) {
  call.state = LedgerState::Ended;
  branch.active = CallNumber{};
  const auto* outcome = bodyAt<OutcomeEntry>(owner_.record(), call.outcome);
  const auto* intent = bodyAt<IntentEntry>(owner_.record(), call.intent);
  const bool isCompleted = call.status == CallStatus::Completed;
  if (isCompleted && call.repeatable) {
    branch.history.extend(intent->messages, outcome->answer);
  }
  if (call.handle != CallHandle{}) {
    commands_.push(OutcomeRecorded{call.handle, Durability::ZoneQuorum});
    call.handle = CallHandle{};
  }
  for (const CallHandle follower : std::exchange(call.followers, {})) {
    if (isCompleted) {
      commands_.push(CallReplayed{follower, outcome->answer});
    } else {
      refuse(follower, endedWithoutAnswerError(call.status));
    }
  }
}

void OwnedProgram::pump(BranchId id, Branch& branch, Instant now) {
  while (branch.active == CallNumber{} && !branch.queue.empty()) {
    QueuedCall queued = std::move(branch.queue.front());
    branch.queue.pop_front();
    if (const std::optional<Error> refusal = refusalOf(queued, now)) {
      refuseQueued(queued, *refusal);
      continue;
    }
    startCall(id, branch, std::move(queued), now);
  }
}

std::optional<Error> OwnedProgram::refusalOf(const QueuedCall& queued, Instant now) const {
  if (queued.admission.deadline <= now) {
    return queueDeadlineError();
  }
  if (journalBytes_ > knobs_.maximumProgramBytes) {
    return programFullError(knobs_.maximumProgramBytes);
  }
  return std::nullopt;
}

void OwnedProgram::startCall(BranchId id, Branch& branch, QueuedCall queued, Instant now) {
  const CallAdmission& admission = queued.admission;
  // An application request is no turn of the conversation: it stands beside the history.
  Result<std::string> addition = admission.messages;
  if (admission.repeatable) {
    addition = branch.history.additionOf(admission.messages);
  }
  if (!succeeded(addition)) {
    refuseQueued(queued, errorOf(addition));
    return;
  }
  const BudgetReservation worstCase{admission.maximumTokens, admission.deadline - now};
  if (const Result<Success> reserved = ledger_.budget().reserve(worstCase); !succeeded(reserved)) {
    refuseQueued(queued, errorOf(reserved));
    return;
  }
  LedgerCall call;
  call.number = ledger_.nextNumber();
  call.branch = id;
  call.request = queued.request;
  call.content = admission.content;
  call.repeatable = admission.repeatable;
  call.reserved = worstCase;
  call.handle = admission.handle;
  call.followers = std::move(queued.followers);
  call.waitingSince = now;
  call.state = call.repeatable ? LedgerState::Dispatched : LedgerState::IntentPending;
  journalBytes_ += valueOf(addition).size();
  call.intent =
      owner_.append(IntentEntry{call.number, id, call.request, call.content, call.repeatable,
                                worstCase.tokens, std::move(valueOf(addition))},
                    !call.repeatable);
  branch.active = call.number;
  const LedgerCall& opened = ledger_.open(std::move(call));
  if (opened.repeatable) {
    admitted(opened);
  }
}

bool OwnedProgram::recordOutcome(CallHandle handle, const CallOutcome& outcome, Instant now) {
  lastActivity_ = now;
  for (auto& [id, branch] : ledger_.branches()) {
    LedgerCall* call = ledger_.find(branch.active);
    if (call == nullptr || call->handle != handle || call->state != LedgerState::Dispatched) {
      continue;
    }
    const auto used = std::chrono::duration_cast<milliseconds>(outcome.used);
    call->waitingSince = now;
    writeOutcome(*call, OutcomeEntry{call->number, outcome.status, outcome.usedTokens,
                                     static_cast<std::uint32_t>(used.count()), outcome.answer});
    react(now);
    return true;
  }
  return false;
}

void OwnedProgram::expireCalls(Instant now) {
  for (auto& [id, branch] : ledger_.branches()) {
    expireQueue(branch, now);
    if (LedgerCall* call = ledger_.find(branch.active)) {
      expireCall(*call, now);
    }
  }
}

void OwnedProgram::expireQueue(Branch& branch, Instant now) {
  std::deque<QueuedCall> kept;
  for (QueuedCall& queued : branch.queue) {
    if (queued.admission.deadline <= now) {
      refuseQueued(queued, queueDeadlineError());
    } else {
      kept.push_back(std::move(queued));
    }
  }
  branch.queue = std::move(kept);
}

void OwnedProgram::expireCall(LedgerCall& call, Instant now) {
  if (now - call.waitingSince < knobs_.quorumTimeout) {
    return;
  }
  if (call.state == LedgerState::IntentPending) {
    // The intent may stand by now, but only this node could dispatch it, and it will not: "not
    // run" is true. The journal says so too before the branch goes on.
    refuseCall(call, quorumUnavailableError(RunOutcome::NotRun));
    writeOutcome(call, OutcomeEntry{call.number, CallStatus::NotRun, 0, 0, {}});
  } else if (call.state == LedgerState::OutcomePending) {
    refuseCall(call, quorumUnavailableError(outcomeBeforeItStands(call.status)));
  }
}

}  // namespace gorsetrail::program
