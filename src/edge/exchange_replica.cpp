// The part of `Exchange` at a replica: sending, its answer, its failures, and trying again.
#include <algorithm>
#include <utility>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr unsigned kFirstFailureStatus = 300;
constexpr double kShareOfNewestAnswer = 0.2;

}  // namespace

void Exchange::dispatch() {
  const bool keepsPrompts = hasEngine_ && !request_.programId.empty();
  routing::ReplicaQuery query;
  query.service = service_;
  query.affinityKey = keepsPrompts ? programName_ : turnName_;
  query.promptTokens = keepsPrompts ? request_.promptTokens : 0;
  query.tried = &tried_;
  query.isConnected = [this](const routing::Replica& replica) {
    return context_.client.hasIdleConnection(replica.entry.address);
  };
  const routing::ReplicaPtr replica =
      context_.selector.choose(context_.replicas, query, context_.clock());
  if (replica && isAdmitted(*replica)) {
    send(replica);
    return;
  }
  if (replica) {
    refuse(kUnavailable, "replicas_busy", context_.knobs.retryAfterOverload);
    return;
  }
  if (mayHaveRun_ && !streamBegun_) {
    failUnknown(kBadGateway, "no_replica_left");
  } else if (streamBegun_) {
    breakOff("no_replica_left");
  } else {
    refuse(kUnavailable, "no_replica_free", context_.knobs.retryAfterFull);
  }
}

routing::WorkStage Exchange::stage() const {
  const std::uint64_t known = context_.ledger.knownUse(programName_);
  const double budget = static_cast<double>(request_.tokenBudget.value_or(0));
  if (budget > 0 && static_cast<double>(known) > context_.knobs.runawayShare * budget) {
    return routing::WorkStage::Runaway;
  }
  const bool begun = !request_.previousTurn.empty() || known > request_.maximumTokens;
  return begun ? routing::WorkStage::Continuing : routing::WorkStage::FirstTurn;
}

std::uint32_t Exchange::urgency() const {
  const bool isLate =
      request_.programTimeLeft && *request_.programTimeLeft <= context_.clock() - arrivedAt_;
  return isLate ? tenant::kLeastUrgentPriority : std::min(priority_, tenant::kLeastUrgentPriority);
}

bool Exchange::isAdmitted(const routing::Replica& replica) const {
  // What has begun anywhere goes on: turning it away would waste the work and promise too much.
  const bool canBeRefused = hasEngine_ && isStreaming() && !mayHaveRun_ && !streamBegun_;
  return !canBeRefused || context_.admission.admits(replica, stage(), priority_);
}

void Exchange::send(const routing::ReplicaPtr& replica) {
  replica_ = replica;
  ++replica_->inFlight;
  if (!firstDispatchAt_) {
    firstDispatchAt_ = context_.clock();
    context_.metrics.onFirstDispatch(*firstDispatchAt_ - arrivedAt_);
  }
  ++context_.counters.dispatches;
  ++dispatchNumber_;
  dispatchedAt_ = context_.clock();
  headSeen_ = false;
  muteNoted_ = false;
  head_ = {};
  body_.clear();
  splitter_.dropPartialEvent();
  Dispatch how;
  how.address = replica->entry.address;
  how.replicaId = replica->entry.id;
  how.timeLeft = timeLeft();
  how.priority = urgency();
  how.lastEventId = lastEventId_;
  how.tenant = tenant_ == nullptr ? std::string() : tenant_->name;
  how.connectTimeLimit = context_.knobs.connectTimeLimit;
  context_.log.routine("dispatch", {{"request", request_.requestId},
                                    {"program", request_.programId},
                                    {"route", route_->name},
                                    {"service", service_},
                                    {"load", static_cast<std::uint64_t>(replica->load())},
                                    {"version", configuration_->version.value()},
                                    {"replica", replica->entry.id},
                                    {"in_flight", std::uint64_t{replica->inFlight}},
                                    {"number", dispatchNumber_},
                                    {"left_ms", wholeMilliseconds(how.timeLeft)}});
  http::ResponseHandler handler;
  const auto self = shared_from_this();
  const std::uint64_t number = dispatchNumber_;
  handler.isOwn = [self](unsigned status, const std::vector<http::Header>& headers) {
    const ReplicaHead head = self->context_.wire.readReplicaHead(status, headers);
    return head.requestId.empty() || head.requestId == self->request_.requestId;
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
  call_ = context_.client.send(context_.wire.makeReplicaRequest(request_, how), std::move(handler));
  watchSilence();
}

void Exchange::watchSilence() {
  context_.timers.runAfter(context_.knobs.silence,
                           [weak = weak_from_this(), number = dispatchNumber_] {
                             const auto self = weak.lock();
                             if (self && self->dispatchNumber_ == number && self->call_) {
                               self->onSilence();
                             }
                           });
}

// A replica without power, or behind a cut, says nothing: only a connection that does not come up
// tells it from one that works.
void Exchange::onSilence() {
  if (!headSeen_ && !muteNoted_ && context_.clock() - dispatchedAt_ >= context_.knobs.mute) {
    muteNoted_ = true;
    noteOutcome(true);
  }
  const Instant heardAt = std::max(replica_->heardAt, dispatchedAt_);
  if (context_.clock() - heardAt < context_.knobs.silence) {
    watchSilence();
    return;
  }
  context_.client.checkReachable(
      replica_->entry.address, context_.knobs.reachabilityLimit,
      [weak = weak_from_this(), number = dispatchNumber_, heardAt](bool reachable) {
        const auto self = weak.lock();
        if (!self || self->dispatchNumber_ != number || !self->call_) {
          return;
        }
        const bool heardSince = self->replica_->heardAt > heardAt;
        if (reachable || heardSince) {
          self->watchSilence();
        } else {
          self->onUnreachable();
        }
      });
}

void Exchange::onUnreachable() {
  call_->cancel();
  call_.reset();
  mayHaveRun_ = true;
  headSeen_ = false;  // What it said before is no sign of life.
  suspectReplica("silent, and takes no connection");
  ranOn_.push_back(replica_);
  recover(true, false);
}

void Exchange::onHead(unsigned status, const std::vector<http::Header>& headers) {
  if (ended_) {
    return;
  }
  headSeen_ = true;
  replica_->heardAt = context_.clock();
  head_ = context_.wire.readReplicaHead(status, headers);
  if (!streamBegun_) {
    replicaHeaders_ = context_.wire.clientHeaders(headers);
  }
  if (!head_.notExecuted && status != kMisdirected) {
    mayHaveRun_ = true;
    const double took = toMilliseconds(context_.clock() - dispatchedAt_);
    double& usual = replica_->answerMilliseconds;
    usual = usual <= 0 ? took : usual + kShareOfNewestAnswer * (took - usual);
    replica_->failures = 0;
    replica_->suspectUntil = {};
  }
}

void Exchange::onBody(std::string_view part) {
  if (ended_) {
    return;
  }
  replica_->heardAt = context_.clock();
  const bool passesEvents = isStreaming() && head_.eventStream && head_.status == kOk;
  if (!passesEvents) {
    body_ += part;
    return;
  }
  takeEvents(splitter_.feed(part));
}

void Exchange::takeEvents(const std::vector<StreamEvent>& events) {
  for (const StreamEvent& event : events) {
    ++eventsTaken_;
    if (!event.id.empty()) {
      lastEventId_ = event.id;
    }
    output_ += event.text;
    turnAddition_ += event.data;
    turnAddition_.push_back('\n');
  }
  if (!events.empty()) {
    releaseOutput();
  }
}

void Exchange::onReplicaDone() {
  if (ended_) {
    return;
  }
  call_.reset();
  if (head_.notExecuted || head_.status == kMisdirected) {
    onReplicaRefusal();
    return;
  }
  noteOutcome(head_.status >= kServerError);
  const bool wasStream = isStreaming() && head_.eventStream && head_.status == kOk;
  if (!wasStream) {
    onWholeAnswer();
    return;
  }
  if (splitter_.hasPartialEvent()) {
    onReplicaFailure({http::FailureStage::Broken, "the stream ended amid an event"});
    return;
  }
  releaseReplica();
  streamEnded_ = true;
  streamEndedAt_ = context_.clock();
  releaseOutput();
}

void Exchange::onReplicaRefusal() {
  const bool full = head_.status == kUnavailable;
  replica_->fullUntil = context_.clock() + context_.knobs.fullTime;
  context_.log.routine("replica_refused", {{"request", request_.requestId},
                                           {"replica", replica_->entry.id},
                                           {"status", std::uint64_t{head_.status}}});
  tried_.push_back(replica_);
  releaseReplica();
  ++refusedTries_;
  if (refusedTries_ < context_.knobs.maximumRefusedTries && timeLeft() > kAnswerMargin) {
    ++context_.counters.retries;
    dispatch();
    return;
  }
  if (streamBegun_) {
    breakOff("replicas_refused_to_resume");
  } else if (!ranOn_.empty()) {
    failUnknown(kBadGateway, "replicas_refused_after_a_run");
  } else {
    refuse(kUnavailable, full ? "replicas_full" : "replicas_refused",
           context_.knobs.retryAfterFull);
  }
}

void Exchange::onWholeAnswer() {
  const bool failed = head_.status >= kServerError;
  if (failed && route_->kind == routing::RouteKind::Safe) {
    ranOn_.push_back(replica_);
    tried_.push_back(replica_);
  }
  releaseReplica();
  if (failed && route_->kind == routing::RouteKind::Safe && mayRunAgain()) {
    runAgain();
    return;
  }
  if (streamBegun_) {
    // A resumed stream was answered with something else than a stream.
    breakOff("resume_answered_without_stream");
    return;
  }
  writer_->sendWhole({head_.status, replicaHeaders_, std::move(body_)});
  settleBudget(0);
  end(head_.status < kFirstFailureStatus ? "answered" : "answered_failure", {});
}

void Exchange::onStreamEnd() {
  if (!streamBegun_) {
    // A whole stream without a single event.
    streamBegun_ = true;
    writer_->beginStream(head_.status, replicaHeaders_);
  }
  if (!route_->persisted) {
    onStored(Success{});
    return;
  }
  streamEnded_ = false;  // The end is on its way; `releaseOutput` must not start it again.
  const Duration limit = std::max(Duration::zero(), timeLeft() - kAnswerMargin);
  context_.ledger.storeTurn(
      {turnName_, previousTurnName_, before_, ownInput_ + turnAddition_}, limit,
      [self = shared_from_this()](const logstore::StoreResult<Success>& stored) {
        self->onStored(stored);
      });
}

void Exchange::onStored(const logstore::StoreResult<Success>& stored) {
  if (ended_) {
    return;
  }
  if (const auto* const error = std::get_if<logstore::StoreError>(&stored)) {
    breakOff("turn_not_stored_" + std::string(logstore::storeFaultName(error->fault)));
    return;
  }
  writer_->endStream();
  context_.metrics.onEndReleased(context_.clock() - streamEndedAt_);
  settleBudget(tokensHandedOut());
  end("answered", {});
}

bool Exchange::mayRunAgain() const {
  if (!route_->isIdempotent() || timeLeft() <= kAnswerMargin) {
    return false;
  }
  if (isStreaming()) {
    return resumes_ < context_.knobs.maximumResumes;
  }
  return ranOn_.size() < route_->maximumAttempts;
}

void Exchange::runAgain() {
  ++context_.counters.retries;
  if (streamBegun_) {
    ++context_.counters.resumes;
  }
  ++resumes_;
  if (resumeAt_ && resumeAt_->takesWork()) {
    send(resumeAt_);
  } else {
    dispatch();
  }
}

void Exchange::onReplicaFailure(const http::Failure& failure) {
  if (ended_) {
    return;
  }
  call_.reset();
  const bool sent = failure.stage == http::FailureStage::Broken;
  mayHaveRun_ = mayHaveRun_ || sent;
  suspectReplica(failure.reason);
  if (sent) {
    ranOn_.push_back(replica_);
  }
  // A stream that was cut goes on where it ran, as long as the replica lives: that is no second
  // replica, and its memory still holds the prompt. Every other request looks for another one.
  recover(sent, sent && isStreaming());
}

void Exchange::recover(bool sent, bool staysAtReplica) {
  resumeAt_ = staysAtReplica ? replica_ : nullptr;
  if (!staysAtReplica) {
    tried_.push_back(replica_);
  }
  releaseReplica();
  if (!sent) {
    ++refusedTries_;
    if (refusedTries_ < context_.knobs.maximumRefusedTries && timeLeft() > kAnswerMargin) {
      ++context_.counters.retries;
      dispatch();
      return;
    }
  } else if (mayRunAgain()) {
    runAgain();
    return;
  }
  if (streamBegun_) {
    breakOff("replica_broke_off");
  } else if (mayHaveRun_) {
    failUnknown(kBadGateway, "replica_broke_off");
  } else {
    refuse(kUnavailable, "no_connection", context_.knobs.retryAfterFull);
  }
}

void Exchange::noteOutcome(bool failed) { replica_->outcomes.note(failed, context_.clock()); }

void Exchange::suspectReplica(std::string_view reason) {
  noteOutcome(true);
  ++replica_->failures;
  if (!headSeen_) {
    replica_->suspectUntil = context_.clock() + context_.knobs.suspicionTime;
  }
  context_.log.important("replica_failed",
                         {{"request", request_.requestId},
                          {"replica", replica_->entry.id},
                          {"in_a_row", std::uint64_t{replica_->failures}},
                          {"after_ms", wholeMilliseconds(context_.clock() - dispatchedAt_)},
                          {"reason", reason}});
}

void Exchange::releaseReplica() {
  if (replica_) {
    --replica_->inFlight;
    replica_.reset();
  }
}

}  // namespace gorsetrail::edge
