#include "program/owned_program.h"

#include <algorithm>
#include <utility>

#include "program/program_errors.h"

namespace gorsetrail::program {
namespace {

std::uint64_t textBytesOf(const EntryBody& body) {
  if (const auto* intent = std::get_if<IntentEntry>(&body)) {
    return intent->messages.size();
  }
  const auto* outcome = std::get_if<OutcomeEntry>(&body);
  return outcome == nullptr ? 0 : outcome->answer.size();
}

/// What is true of a call whose outcome was written but is not known to stand.
RunOutcome knownOutcome(CallStatus status) {
  return status == CallStatus::NotRun ? RunOutcome::NotRun : RunOutcome::OutcomeUnknown;
}

}  // namespace

OwnedProgram::OwnedProgram(const ProgramOwner::Identity& identity,
                           const ReplicaGroups::Group& group, const ProgramKnobs& knobs,
                           const PeerLiveness& liveness, CommandQueue& commands, Instant now)
    : identity_(identity),
      knobs_(knobs),
      liveness_(liveness),
      commands_(commands),
      owner_(identity, group, knobs, liveness, commands, now),
      openedAt_(now),
      lastActivity_(now) {}

void OwnedProgram::refuse(CallHandle handle, const Error& error) {
  if (handle != CallHandle{}) {
    commands_.push(CallRefused{handle, error});
  }
}

void OwnedProgram::admit(const CallAdmission& admission, Instant now) {
  lastActivity_ = now;
  if (isLoaded_) {
    takeArrival(admission);
  } else if (arrivals_.size() >= knobs_.maximumQueuedCallsPerBranch) {
    refuse(admission.handle, queueFullError(knobs_.maximumQueuedCallsPerBranch));
  } else {
    arrivals_.push_back(admission);
  }
  react(now);
}

void OwnedProgram::takeArrival(const CallAdmission& admission) {
  const RequestDigest request = requestDigestOf(admission.idempotencyKey);
  if (answerFromLedger(admission, request)) {
    return;
  }
  if (isClosing_ || owner_.record().closed) {
    refuse(admission.handle, programClosedError());
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

void OwnedProgram::onSealReply(NodeId from, const SealReply& reply, Instant now) {
  owner_.onSealReply(from, reply, now);
  react(now);
}

void OwnedProgram::onAppendReply(NodeId from, const AppendReply& reply, Instant now) {
  owner_.onAppendReply(from, reply, now);
  react(now);
}

void OwnedProgram::react(Instant now) {
  if (isFinished_) {
    return;
  }
  if (owner_.phase() == OwnerPhase::Elsewhere) {
    owner_.release();  // Else replicas that promised this candidate would send callers back here.
    const Error error = ownedElsewhereError(liveness_.callerAddressOf(owner_.liveOwner()));
    leave(error, error);
    return;
  }
  if (owner_.phase() == OwnerPhase::Lost) {
    loseOwnership();
    return;
  }
  if (!isLoaded_ && owner_.isReady()) {
    adoptRecord(now);
  }
  if (isLoaded_) {
    advanceStanding();
    for (auto& [id, branch] : ledger_.branches()) {
      pump(id, branch, now);
    }
    closeWhenIdle(now);
    finishClosing(now);
    logStanding();
  }
  owner_.flush(now);
}

void OwnedProgram::adoptRecord(Instant now) {
  isLoaded_ = true;
  lastActivity_ = now;
  for (const JournalEntry& entry : owner_.record().entries) {
    journalBytes_ += textBytesOf(entry.body);
  }
  loggedThrough_ = owner_.record().entries.size();
  isEnded_ = owner_.record().closed;
  recordOrphans(ledger_.load(owner_.record()));
  for (const CallAdmission& admission : std::exchange(arrivals_, {})) {
    takeArrival(admission);
  }
}

void OwnedProgram::recordOrphans(const std::vector<CallNumber>& orphans) {
  // Only the owner that wrote an intent may dispatch it, and that owner is fenced. Whether it did
  // dispatch is not known here, so the call is never dispatched by a takeover; a repeatable
  // request may be asked again and becomes a new call. The worst case stays spent.
  for (const CallNumber number : orphans) {
    LedgerCall& call = *ledger_.find(number);
    ledger_.branch(call.branch).active = number;
    OutcomeEntry outcome{number, CallStatus::Unknown, call.reserved.tokens, 0, {}};
    writeOutcome(call, std::move(outcome));
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

void OwnedProgram::onTick(Instant now) {
  if (isFinished_) {
    return;
  }
  owner_.onTick(now);
  if (!isLoaded_ && now - openedAt_ >= knobs_.quorumTimeout) {
    const Error error = quorumUnavailableError(RunOutcome::NotRun);
    owner_.release();
    leave(error, error);
    return;
  }
  expireCalls(now);
  react(now);
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
    refuseCall(call, quorumUnavailableError(knownOutcome(call.status)));
  }
}

void OwnedProgram::refuseCall(LedgerCall& call, const Error& error) {
  refuse(std::exchange(call.handle, CallHandle{}), error);
  for (const CallHandle follower : std::exchange(call.followers, {})) {
    refuse(follower, error);
  }
}

void OwnedProgram::refuseQueued(const QueuedCall& queued, const Error& error) {
  refuse(queued.admission.handle, error);
  for (const CallHandle follower : queued.followers) {
    refuse(follower, error);
  }
}

void OwnedProgram::refuseQueues(const Error& error) {
  for (auto& [id, branch] : ledger_.branches()) {
    for (const QueuedCall& queued : std::exchange(branch.queue, {})) {
      refuseQueued(queued, error);
    }
  }
  for (const CallAdmission& admission : std::exchange(arrivals_, {})) {
    refuse(admission.handle, error);
  }
}

void OwnedProgram::leave(const Error& queuedError, const Error& pendingError) {
  refuseQueues(queuedError);
  for (const CallHandle closer : std::exchange(closers_, {})) {
    refuse(closer, pendingError);
  }
  isFinished_ = true;
}

void OwnedProgram::loseOwnership() {
  for (auto& [id, branch] : ledger_.branches()) {
    LedgerCall* call = ledger_.find(branch.active);
    if (call == nullptr) {
      continue;
    }
    if (call->state == LedgerState::IntentPending) {
      refuseCall(*call, staleEpochError(RunOutcome::NotRun));
    } else if (call->state == LedgerState::OutcomePending) {
      refuseCall(*call, staleEpochError(knownOutcome(call->status)));
    } else {
      // The back end still works on it; its caller is refused when it ends (`recordOutcome`).
      call->handle = CallHandle{};
      refuseCall(*call, staleEpochError(RunOutcome::OutcomeUnknown));
    }
  }
  const Error notRun = staleEpochError(RunOutcome::NotRun);
  leave(notRun, notRun);
}

void OwnedProgram::close(CallHandle handle, Instant now) {
  closers_.push_back(handle);
  if (!isClosing_) {
    isClosing_ = true;
    closingSince_ = now;
  }
  react(now);
}

void OwnedProgram::closeWhenIdle(Instant now) {
  const bool isIdle = ledger_.isIdle();
  if (isIdle && !isStopping_ && now - lastActivity_ >= knobs_.idleLease) {
    isClosing_ = true;
  }
  if (!isClosing_ || isEnded_ || closeEntry_) {
    return;
  }
  refuseQueues(programClosedError());
  if (owner_.record().entries.empty()) {
    const Error error = programNotFoundError();
    owner_.release();
    leave(error, error);
  } else if (isIdle) {
    closeEntry_ = owner_.append(CloseEntry{}, true);
  }
}

void OwnedProgram::finishClosing(Instant now) {
  if (closeEntry_ && !isEnded_ && *closeEntry_ <= owner_.standingThrough()) {
    isEnded_ = true;
    lastActivity_ = now;
    closers_.clear();
    commands_.push(ProgramEnded{identity_.program});
  } else if (isEnded_ && !closers_.empty()) {
    closers_.clear();
    commands_.push(ProgramEnded{identity_.program});
  } else if (!closers_.empty() && closeEntry_ && now - closingSince_ >= knobs_.quorumTimeout) {
    for (const CallHandle closer : std::exchange(closers_, {})) {
      refuse(closer, quorumUnavailableError(RunOutcome::NotRun));
    }
  }
  const bool mayDrop = isEnded_ && now - lastActivity_ >= knobs_.closedRetention;
  const bool mayStop = isStopping_ && ledger_.isIdle() && owner_.isSettled();
  if ((mayDrop || mayStop) && !isFinished_) {
    releaseAndFinish();
  }
}

void OwnedProgram::releaseAndFinish() {
  owner_.release();
  isFinished_ = true;
}

void OwnedProgram::logStanding() {
  const std::uint64_t standing = owner_.standingThrough().value();
  if (standing <= loggedThrough_) {
    return;
  }
  const auto& entries = owner_.record().entries;
  const auto first = entries.begin() + static_cast<std::ptrdiff_t>(loggedThrough_);
  const auto last = entries.begin() + static_cast<std::ptrdiff_t>(standing);
  commands_.push(AppendToLog{identity_.program, identity_.key, {first, last}});
  loggedThrough_ = standing;
}

void OwnedProgram::beginStop(Instant now) {
  isStopping_ = true;
  refuseQueues(nodeStoppingError());
  if (!isLoaded_) {
    owner_.release();
    leave(nodeStoppingError(), nodeStoppingError());
    return;
  }
  react(now);
}

bool OwnedProgram::hasCallsUnderWay() const {
  return !arrivals_.empty() || !closers_.empty() || !ledger_.isIdle();
}

std::optional<ProgramSummary> OwnedProgram::summary() const {
  if (!isLoaded_) {
    return std::nullopt;
  }
  const ProgramRecord& record = owner_.record();
  return ProgramSummary{identity_.key,
                        owner_.epoch(),
                        ledger_.budget().callsMade(),
                        ledger_.budget().tokensUsed(),
                        record.closed,
                        renderHistory(record.entries, BranchId{})};
}

}  // namespace gorsetrail::program
