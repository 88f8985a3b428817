// Part of `Exchange`: dispatches to a replica, handles its response and failures, and retries.
#include <algorithm>
#include <utility>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"
#include "http/status.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr double kLatencySmoothingFactor = 0.2;

}  // namespace

void Exchange::send(const routing::ReplicaPtr& replica) {
  replica_ = replica;
  beginMeasurement();
  occupyReplica(replica);
  const std::string_view grant = context_.placement.onSent(*replica, context_.clock());
  if (!firstDispatchAt_) {
    firstDispatchAt_ = context_.clock();
    context_.metrics.onFirstDispatch(*firstDispatchAt_ - arrivedAt_);
  }
  ++context_.counters.dispatches;
  ++dispatchNumber_;
  dispatchedAt_ = context_.clock();
  headReceived_ = false;
  noAnswerRecorded_ = false;
  hasInvalidStatus_ = false;
  runHead_ = {};
  runHeaders_.clear();
  body_.clear();
  progress_.beginRun();
  Dispatch parameters;
  parameters.address = replica->entry.address;
  parameters.replicaId = replica->entry.id;
  parameters.timeLeft = timeLeft();
  parameters.priority = replicaPriority();
  parameters.lastEventId = progress_.lastEventId();
  parameters.tenant = checked_.tenantName();
  parameters.connectTimeLimit = context_.knobs.connectTimeLimit;
  recordDispatch();
  context_.log.logRoutine("dispatch", {{"request", request_.requestId},
                                       {"program", request_.programId},
                                       {"route", checked_.route->name},
                                       {"service", checked_.service},
                                       {"load", static_cast<std::uint64_t>(replica->load())},
                                       {"version", checked_.configuration->version.value()},
                                       {"replica", replica->entry.id},
                                       {"software_version", replica->entry.softwareVersion},
                                       {"in_flight", std::uint64_t{replica->inFlight}},
                                       {"number", dispatchNumber_},
                                       {"left_ms", wholeMilliseconds(parameters.timeLeft)},
                                       {"granted_as", grant.empty() ? "usual" : grant}});
  http::ResponseHandler handler;
  handler.acceptsInvalidStatus = true;
  const auto self = shared_from_this();
  const std::uint64_t number = dispatchNumber_;
  handler.isOwn = [self](unsigned status, const std::vector<http::Header>& headers) {
    return self->ownsAnswer(self->context_.wire.readReplicaHead(status, headers));
  };
  handler.onHead = [self, number](unsigned status, const std::vector<http::Header>& headers) {
    if (self->dispatchNumber_ == number) {
      self->onHead(status, headers);
    }
  };
  handler.onBody = [self, number](std::string_view part) {
    if (self->dispatchNumber_ == number) {
      self->onBody(part);
    }
  };
  handler.onDone = [self, number](const http::Response& /*response*/) {
    if (self->dispatchNumber_ == number) {
      self->onReplicaDone();
    }
  };
  handler.onFailure = [self, number](const http::Failure& failure) {
    if (self->dispatchNumber_ == number) {
      self->onReplicaFailure(failure);
    }
  };
  call_ = context_.client.send(context_.wire.makeReplicaRequest(request_, parameters),
                               std::move(handler));
  startNoDataTimer();
}

// Replicas name the request in their answers. A faulty one may send further bytes after an answer,
// and these arrive where the answer to the next request on the connection is due. Without an id, a
// promise that the request was not executed may be such bytes as well: an unsafe request would run
// twice. On a connection that has served no request before, a refusal without an id, as a proxy
// sends it, can only belong to this one.
bool Exchange::ownsAnswer(const ReplicaHead& head) const {
  if (!head.requestId.empty() || request_.requestId.empty()) {
    return head.requestId == request_.requestId;
  }
  const std::optional<Instant> openedAt = call_ ? call_->connectionOpenedAt() : std::nullopt;
  const bool isFirstOnConnection = !openedAt || *openedAt >= dispatchedAt_;
  const bool isSuccess = http::isFinalStatus(head.status) && head.status < kFirstFailureStatus;
  return isFirstOnConnection && !isSuccess;
}

void Exchange::onHead(unsigned status, const std::vector<http::Header>& headers) {
  if (ended_) {
    return;
  }
  headReceived_ = true;
  answerBeganAt_ = context_.clock();
  lastRunDataAt_ = replica_->lastDataAt = context_.clock();
  noteAnswer();
  if (!http::isFinalStatus(status)) {
    onInvalidStatus(status);
    return;
  }
  runHead_ = context_.wire.readReplicaHead(status, headers);
  runHeaders_ = context_.wire.clientHeaders(headers);
  if (!runHead_.notExecuted && status != kMisdirected) {
    mayHaveRun_ = true;
    const double answerTime = toMilliseconds(context_.clock() - dispatchedAt_);
    double& average = replica_->answerMilliseconds;
    average =
        average <= 0 ? answerTime : average + kLatencySmoothingFactor * (answerTime - average);
    replica_->failures = 0;
    replica_->suspectUntil = {};
  }
}

// The replica has answered, so that it is a failure of this request and not an end of the replica.
// Nothing else of the head is believed: it promises nothing, and its seal vouches for another
// status than the client gets.
void Exchange::onInvalidStatus(unsigned status) {
  hasInvalidStatus_ = true;
  mayHaveRun_ = true;
  runHead_ = {};
  runHead_.status = kBadGateway;
  context_.log.logImportant("replica_status_invalid", {{"request", request_.requestId},
                                                       {"program", request_.programId},
                                                       {"replica", replica_->entry.id},
                                                       {"status", std::uint64_t{status}}});
}

void Exchange::onBody(std::string_view part) {
  if (ended_) {
    return;
  }
  lastRunDataAt_ = replica_->lastDataAt = context_.clock();
  const bool passesEvents = isStreaming() && runHead_.eventStream && runHead_.status == kOk;
  if (!passesEvents) {
    body_ += part;
    noteHeldBytes();
    return;
  }
  const bool isFirstEvent = progress_.eventsReceived() == eventsBeforeDispatch_;
  if (progress_.receive(part)) {
    keepStreamHead();
    answerBeganAt_ = isFirstEvent ? context_.clock() : answerBeganAt_;
    if (keepStreamOrigin()) {
      releaseOutput();
    }
  }
  if (progress_.isEventTooLong()) {
    breakOffAnswer("event without end");
  } else {
    noteHeldBytes();
  }
}

void Exchange::noteHeldBytes() {
  if (ended_ || !call_) {
    return;
  }
  if (!heldAnswer_) {
    heldAnswer_ = context_.answerMemory.add([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->heldAnswer_.reset();
        self->breakOffAnswer("answer too large");
      }
    });
  }
  context_.answerMemory.update(*heldAnswer_, body_.size() + progress_.heldBytes());
}

void Exchange::releaseHeldBytes() {
  if (heldAnswer_) {
    context_.answerMemory.remove(*heldAnswer_);
    heldAnswer_.reset();
  }
}

void Exchange::breakOffAnswer(std::string_view reason) {
  if (ended_ || !call_) {
    return;
  }
  call_->cancel();
  onReplicaFailure({http::FailureStage::Broken, std::string(reason)});
}

void Exchange::onReplicaDone() {
  if (ended_) {
    return;
  }
  call_.reset();
  releaseHeldBytes();
  if (runHead_.notExecuted || runHead_.status == kMisdirected) {
    onReplicaRefusal();
    return;
  }
  recordOutcome(runHead_.status >= kServerError);
  const bool wasStream = isStreaming() && runHead_.eventStream && runHead_.status == kOk;
  if (!wasStream) {
    if (!hasInvalidStatus_) {
      recordServiceTime();
    }
    recordWholeAnswer();
    onCompleteResponse();
    return;
  }
  if (progress_.hasPartialEvent()) {
    onReplicaFailure({http::FailureStage::Broken, "stream ended with an incomplete event"});
    return;
  }
  recordServiceTime();
  recordWholeAnswer();
  releaseReplica();
  streamEnded_ = true;
  streamEndedAt_ = context_.clock();
  releaseOutput();
}

void Exchange::onReplicaRefusal() {
  const bool full = runHead_.status == kUnavailable;
  if (context_.serviceTimes != nullptr && runHead_.status != kMisdirected) {
    context_.serviceTimes->noteRejection(checked_.service, context_.clock());
  }
  replica_->fullUntil = context_.clock() + context_.knobs.refusedReplicaAvoidTime;
  context_.log.logRoutine("replica_refused", {{"request", request_.requestId},
                                              {"replica", replica_->entry.id},
                                              {"status", std::uint64_t{runHead_.status}}});
  recordNotExecuted();
  const bool hasEnded = runHead_.status == kMisdirected;  // A different replica uses the address.
  if (hasEnded) {
    runs_.recordUnreachable(replica_);
  }
  const RecoveryStep step = nextStep(abandonUnservedDispatch(!hasEnded));
  const bool retryWithheld = !hasEnded && isRetryWithheld(step);
  if (retryWithheld || (full && step == RecoveryStep::Refuse)) {
    onReplicasFull(retryWithheld);
    return;
  }
  switch (step) {
    case RecoveryStep::AbortStream:
      performStep(step, "replicas_refused_to_resume");
      break;
    case RecoveryStep::FailWithUnknownState:
      performStep(step, "replicas_refused_after_a_run");
      break;
    default:
      performStep(step, "replicas_refused");
  }
}

bool Exchange::isRetryWithheld(RecoveryStep step) {
  // Refusing a stream that the client resumes would waste the part that it already has.
  const bool canBeRefused = !mayHaveRun_ && request_.lastEventId.empty();
  return canBeRefused && step == RecoveryStep::TryAnotherReplica &&
         !context_.retryControl.mayDispatchAgain(checked_.service, context_.clock());
}

FailedDispatch Exchange::failedDispatch(bool mayHaveRunThere) const {
  FailedDispatch failed;
  failed.mayHaveRunThere = mayHaveRunThere;
  failed.mayHaveRun = mayHaveRun_;
  failed.streamBegun = streamBegun_;
  const bool isQuarantinedNow = isQuarantined();
  failed.mayRerun = !isQuarantinedNow && mayRerun();
  failed.mayTryAnotherReplica = !isQuarantinedNow && hasAttemptsLeft() && mayRunOnAnotherReplica();
  return failed;
}

FailedDispatch Exchange::abandonUnservedDispatch(bool isRunning) {
  excludedReplicas_.push_back(replica_);
  ++refusedDispatches_;
  FailedDispatch failed = failedDispatch(false);
  failed.mayRetrySameReplica = isRunning && replica_ == resumeReplica_ && hasAttemptsLeft();
  releaseReplica();
  return failed;
}

bool Exchange::hasAttemptsLeft() const {
  return refusedDispatches_ < context_.knobs.maximumRefusedTries && hasTimeForAnswer();
}

void Exchange::performStep(RecoveryStep step, const std::string& reason) {
  switch (step) {
    case RecoveryStep::Rerun:
      dispatchAgain();
      break;
    case RecoveryStep::TryAnotherReplica:
      ++context_.counters.retries;
      dispatch();
      break;
    case RecoveryStep::RetrySameReplica:
      scheduleRetryOnSameReplica();
      break;
    case RecoveryStep::Refuse:
      refuse({kUnavailable, reason, context_.knobs.retryAfterFull});
      break;
    case RecoveryStep::FailWithUnknownState:
      failWithUnknownState(kBadGateway, reason);
      break;
    case RecoveryStep::AbortStream:
      abortAnswer(reason);
      break;
  }
}

void Exchange::onCompleteResponse() {
  const bool failed = runHead_.status >= kServerError;
  if (failed && checked_.route->kind == routing::RouteKind::Safe) {
    runs_.recordRun(replica_, dispatchedAt_);
    excludedReplicas_.push_back(replica_);
  }
  releaseReplica();
  if (failed && checked_.route->kind == routing::RouteKind::Safe && mayRerun()) {
    dispatchAgain();
    return;
  }
  if (hasInvalidStatus_) {
    abortAnswer("replica_status_invalid");
    return;
  }
  if (streamHead_) {
    // The replica answered a resumed stream with a response that is not a stream. Events that are
    // held are part of the answer as well.
    abortAnswer("resume_answered_without_stream");
    return;
  }
  if (statusConsistentWith(runHead_.status, executionState()) != runHead_.status) {
    // The status implies "not executed", but the replica did not guarantee it by a header.
    failWithUnknownState(kBadGateway, "replica_status_without_its_promise");
    return;
  }
  wholeAnswerReceived_ = true;
  const bool isSuccess = runHead_.status < kFirstFailureStatus;
  if (!isSuccess || budget_ != BudgetState::Reserving) {
    sendWholeAnswer();
  }
}

void Exchange::sendWholeAnswer() {
  writer_->sendWhole({runHead_.status, runHeaders_, std::move(body_)});
  // A success that is no stream may hold as many tokens as were reserved.
  settleBudget(runHead_.status < kFirstFailureStatus ? request_.maximumTokens : 0);
  end(runHead_.status < kFirstFailureStatus ? "answered" : "answered_failure", {});
}

void Exchange::onStreamEnd() {
  keepStreamHead();  // The stream may be complete without an event.
  beginAnswerStream();
  if (!checked_.route->persisted) {
    onTurnStored(Success{});
    return;
  }
  streamEnded_ = false;  // So that `releaseOutput` does not handle the end a second time.
  endHeld_ = true;
  context_.retention.onHoldStarted();
  const Duration limit = context_.retention.holdLimit(timeLeft() - kAnswerMargin);
  holdTimer_ = context_.timers.startTimer(limit, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->onHoldTimeout();
    }
  });
  history_.text = request_.body.text().substr(0, historyBytes_);
  context_.ledger.storeTurn(
      {checked_.turnName, checked_.previousTurnName, std::move(history_),
       turnInput_.text() + progress_.recordedData(), checked_.turnZones()},
      limit, [self = shared_from_this()](const logstore::StoreResult<Success>& stored) {
        self->onTurnStored(stored);
      });
}

void Exchange::onTurnStored(const logstore::StoreResult<Success>& stored) {
  if (ended_) {
    return;
  }
  if (const auto* const error = std::get_if<logstore::StoreError>(&stored)) {
    abortAnswer("turn_not_stored_" + std::string(logstore::storeFaultName(error->fault)));
    return;
  }
  const Duration heldFor = context_.clock() - streamEndedAt_;
  const bool wasHeld = std::exchange(endHeld_, false);
  if (wasHeld && context_.retention.onHoldEnded(true, heldFor)) {
    context_.log.logImportant("turn_stored_late", {{"request", request_.requestId},
                                                   {"program", request_.programId},
                                                   {"held_ms", wholeMilliseconds(heldFor)}});
  }
  writer_->endStream();
  context_.metrics.onEndReleased(context_.clock() - streamEndedAt_);
  settleBudget(tokensHandedOut());
  end("answered", {});
}

void Exchange::onHoldTimeout() {
  if (!ended_) {
    abortAnswer("turn_not_stored_in_time");
  }
}

bool Exchange::mayRerun() const {
  if (!checked_.route->isIdempotent() || !hasTimeForAnswer()) {
    return false;
  }
  if (isStreaming() && resumes_ >= context_.knobs.maximumResumes) {
    return false;
  }
  return resumeReplica_ != nullptr || mayRunOnAnotherReplica();
}

bool Exchange::mayRunOnAnotherReplica() const {
  return runs_.mayRunOnAnotherReplica(checked_.route->maximumAttempts);
}

void Exchange::dispatchAgain() {
  if (endIfQuarantined()) {
    return;
  }
  ++context_.counters.retries;
  if (streamBegun_) {
    ++context_.counters.resumes;
  }
  ++resumes_;
  const bool resumes = resumeReplica_ && !context_.placement.exclusionOf(
                                             *resumeReplica_, placementSubject(), context_.clock());
  if (resumes) {
    sendIfInTime(resumeReplica_);
  } else if (mayRunOnAnotherReplica()) {
    dispatch();
  } else {
    // The previous replica may not be used any more, and the route allows no further one.
    abortAnswer("attempts_spent");
  }
}

void Exchange::scheduleRetryOnSameReplica() {
  context_.timers.runAfter(context_.knobs.refusedReplicaAvoidTime,
                           [weak = weak_from_this(), number = dispatchNumber_] {
                             const auto self = weak.lock();
                             if (self && !self->ended_ && self->dispatchNumber_ == number) {
                               self->dispatchAgain();
                             }
                           });
}

void Exchange::onReplicaFailure(const http::Failure& failure) {
  if (ended_) {
    return;
  }
  dropCall();
  releaseHeldBytes();
  followRestartedReplica();
  const bool requestWritten = failure.stage == http::FailureStage::Broken;
  mayHaveRun_ = mayHaveRun_ || requestWritten;
  recordReplicaFailure(failure.reason, requestWritten);
  if (!requestWritten) {
    recordNotExecuted();
    onRequestNotSent();
    return;
  }
  runs_.recordRun(replica_, dispatchedAt_);
  // An interrupted stream resumes at the same replica while that is running: it does not count as a
  // further replica, and its prompt cache is warm. Other requests try a different replica.
  recover(isStreaming());
}

// If the request may be running at this replica, it may go to another one only after a reachability
// check: connections also fail when the replica is overloaded or this node's link is saturated.
void Exchange::onRequestNotSent() {
  if (!runs_.mayStillBeRunningAt(replica_)) {
    abandonUnsentDispatch(false);
    return;
  }
  checkReplicaReachability([](Exchange& self, Reachability reach) {
    const bool isUnreachable = reach == Reachability::Unreachable;
    if (isUnreachable) {
      self.runs_.recordUnreachable(self.replica_);
    }
    self.abandonUnsentDispatch(!isUnreachable);
  });
}

void Exchange::abandonUnsentDispatch(bool isRunning) {
  if (!isRunning) {
    resumeReplica_ = nullptr;
  }
  const RecoveryStep step = nextStep(abandonUnservedDispatch(isRunning));
  performStep(step, step == RecoveryStep::Refuse ? "no_connection" : "replica_broke_off");
}

void Exchange::recover(bool resumeOnSameReplica) {
  resumeReplica_ = resumeOnSameReplica ? replica_ : nullptr;
  if (!resumeOnSameReplica) {
    excludedReplicas_.push_back(replica_);
  }
  releaseReplica();
  performStep(nextStep(failedDispatch(true)), interruptionReason("replica_broke_off"));
}

void Exchange::recordOutcome(bool failed) { replica_->outcomes.note(failed, context_.clock()); }

void Exchange::recordReplicaFailure(std::string_view reason, bool isRunLost) {
  if (isRunLost) {
    recordInterruption();
  }
  recordOutcome(true);
  const bool isFirst = replica_->failures == 0 || replica_->lastDataAt > replica_->failingSince;
  replica_->failingSince = isFirst ? context_.clock() : replica_->failingSince;
  ++replica_->failures;
  if (!headReceived_) {
    replica_->suspectUntil = context_.clock() + context_.knobs.suspicionTime;
  }
  const routing::QuarantineDecision counted = quarantineDecision();
  const std::uint64_t endsCounted = counted.endedReplicas + counted.uncertainReplicas;
  context_.log.logImportant("replica_failed",
                            {{"request", request_.requestId},
                             {"program", request_.programId},
                             {"tenant", checked_.tenantName()},
                             {"request_key", routing::textOf(requestKey())},
                             {"replica", replica_->entry.id},
                             {"run", runNumber_},
                             {"executed", isRunLost ? "maybe" : "no"},
                             {"replica_ended", std::uint64_t{replica_->hasEnded() ? 1U : 0U}},
                             {"ends_counted", endsCounted},
                             {"in_a_row", std::uint64_t{replica_->failures}},
                             {"after_ms", wholeMilliseconds(context_.clock() - dispatchedAt_)},
                             {"reason", reason}});
}

void Exchange::occupyReplica(const routing::ReplicaPtr& replica) {
  replica_ = replica;
  ++replica_->inFlight;
  if (hasTenantLoad()) {
    context_.tenantShares->ownLoads().beginRequest(checked_.service, checked_.tenant->name);
  }
}

void Exchange::releaseReplica() {
  if (replica_) {
    --replica_->inFlight;
    replica_.reset();
    if (hasTenantLoad()) {
      context_.tenantShares->ownLoads().endRequest(checked_.service, checked_.tenant->name);
    }
  }
}

bool Exchange::hasTenantLoad() const {
  return context_.tenantShares != nullptr && checked_.hasEngine && checked_.tenant != nullptr;
}

}  // namespace gorsetrail::edge
