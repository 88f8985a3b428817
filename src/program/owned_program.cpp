// Life of an owned program: record, close, stop, loss.
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

/// Request id of the mark; no caller can send it, since header fields have no control characters.
constexpr const char* kForgottenMark = "\x01 journal of the home zone was lost";

/// A program without calls and with all copies up to date only waits for its leases.
constexpr Duration kQuietTickInterval = seconds(1);
/// After that a repair leaves a replica that does not answer to a later one.
constexpr Duration kLongestRepair = seconds(5);

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
  isRepair_ = false;
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
    finishRepair(now);
    logStanding();
  }
  owner_.flush(now);
}

void OwnedProgram::adoptRecord(Instant now) {
  isLoaded_ = true;
  lastActivity_ = now;
  if (owner_.mayBeForgotten()) {
    markForgotten();
  }
  for (const JournalEntry& entry : owner_.record().entries) {
    journalBytes_ += textBytesOf(entry.body);
  }
  loggedThrough_ = owner_.record().entries.size();
  isEnded_ = owner_.record().closed;
  recordOrphans(ledger_.load(owner_.record()));
  isForgotten_ = ledger_.findRequest(requestDigestOf(kForgottenMark)) != nullptr;
  for (const CallAdmission& admission : std::exchange(arrivals_, {})) {
    takeArrival(admission);
  }
}

void OwnedProgram::markForgotten() {
  // Before anything else: a later owner finds a record that is not empty, and must know too. The
  // mark is a request that was not run, so it counts in no budget and no history.
  const CallNumber first(1);
  owner_.append(IntentEntry{first, BranchId{}, requestDigestOf(kForgottenMark),
                            contentDigestOf(kForgottenMark), false, 0, "[]"},
                true);
  owner_.append(OutcomeEntry{first, CallStatus::NotRun, 0, 0, {}}, true);
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

void OwnedProgram::onTick(Instant now) {
  if (isFinished_ || (isQuiet() && now < nextQuietTick_)) {
    return;
  }
  nextQuietTick_ = now + kQuietTickInterval;
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
      refuseCall(*call, staleEpochError(outcomeBeforeItStands(call->status)));
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
  isRepair_ = false;
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
  // A stop hands over: the copy that goes with this node must not be one of the last two.
  const bool isHandedOver = owner_.isQuiet() || now - stoppingSince_ >= knobs_.handoverTimeout;
  const bool mayStop = isStopping_ && ledger_.isIdle() && owner_.isSettled() && isHandedOver;
  if ((mayDrop || mayStop) && !isFinished_) {
    releaseAndFinish();
  }
}

void OwnedProgram::finishRepair(Instant now) {
  const bool isDone = owner_.isQuiet() || now - openedAt_ >= kLongestRepair;
  if (isRepair_ && !isFinished_ && isDone && ledger_.isIdle() && owner_.isSettled()) {
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
  stoppingSince_ = now;
  refuseQueues(nodeStoppingError());
  if (!isLoaded_) {
    owner_.release();
    leave(nodeStoppingError(), nodeStoppingError());
    return;
  }
  react(now);
}

bool OwnedProgram::isQuiet() const {
  return isLoaded_ && !isStopping_ && !isRepair_ && closers_.empty() && owner_.isQuiet() &&
         ledger_.isIdle();
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
