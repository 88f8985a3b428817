#include "edge/exchange.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::edge {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBudgetSpent = 402;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kServerError = 500;
constexpr unsigned kFirstFailureStatus = 300;
constexpr double kShareOfNewestAnswer = 0.2;
/// Priorities of replicas go from 0 to this.
constexpr std::uint32_t kLeastUrgent = 9;
/// The last moment of the deadline is left for the final answer's way.
constexpr Duration kAnswerMargin = milliseconds(20);

std::uint64_t wholeMilliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, span.count() / 1000));
}

}  // namespace

Exchange::Exchange(EdgeContext& context, CallRequest request, http::ResponseWriterPtr writer)
    : context_(context),
      request_(std::move(request)),
      writer_(std::move(writer)),
      arrivedAt_(context.clock()) {}

void Exchange::start() {
  if (!context_.takesRequests) {
    refuse(kUnavailable, "stopping", context_.knobs.retryAfterStop);
    return;
  }
  if (!findRoute()) {
    return;
  }
  writer_->observe({[self = shared_from_this()] { self->onClientGone(); }, {}});
  const Duration allowed = std::min(request_.deadline.value_or(route_->timeout), route_->timeout);
  deadlineAt_ = arrivedAt_ + allowed;
  context_.timers.runAfter(std::max(Duration::zero(), allowed - kAnswerMargin),
                           [weak = weak_from_this()] {
                             if (const auto self = weak.lock()) {
                               self->onDeadline();
                             }
                           });
  lastEventId_ = request_.lastEventId;
  if (isBudgeted() && !context_.ledger.isWritable(request_.requestId, request_.programId)) {
    // An engine's work would be for nothing: its answer could not be released.
    refuse(kUnavailable, "store_not_answering", context_.knobs.retryAfterOutage);
    return;
  }
  findHistory();
}

bool Exchange::findRoute() {
  configuration_ = context_.routes.inForce();
  if (!configuration_) {
    refuse(kUnavailable, "no_configuration", context_.knobs.retryAfterStore);
    return false;
  }
  route_ = context_.routes.match(request_.host, request_.path());
  if (route_ == nullptr) {
    const Duration age = arrivedAt_ - context_.freshness.configurationHeardAt;
    if (age > context_.knobs.configurationTrust) {
      refuse(kUnavailable, "configuration_too_old", context_.knobs.retryAfterStore);
    } else {
      refuse(kNotFound, "no_route", Duration::zero());
    }
    return false;
  }
  if (request_.requestId.empty()) {
    refuse(kBadRequest, "no_request_id", Duration::zero());
    return false;
  }
  service_ = context_.routes.nextService(*route_);
  const auto service = configuration_->services.find(service_);
  if (service != configuration_->services.end() && service->second.engine) {
    hasEngine_ = true;
    tokensPerEvent_ = std::max(1U, service->second.engine->tokensPerEvent);
  }
  return true;
}

bool Exchange::isStreaming() const { return route_->kind == routing::RouteKind::Streaming; }

bool Exchange::isBudgeted() const {
  return isStreaming() && request_.tokenBudget && !request_.programId.empty();
}

Duration Exchange::timeLeft() const { return deadlineAt_ - context_.clock(); }

void Exchange::findHistory() {
  if (!route_->persisted) {
    checkBudget();
    return;
  }
  ownInput_ = request_.body;
  if (request_.previousTurn.empty()) {
    checkBudget();
    return;
  }
  context_.ledger.findHistory(request_.previousTurn,
                              [self = shared_from_this()](ledger::HistoryAnswer answer) {
                                self->onHistory(std::move(answer));
                              });
}

void Exchange::onHistory(ledger::HistoryAnswer answer) {
  if (ended_) {
    return;
  }
  if (std::holds_alternative<ledger::UnknownTurn>(answer)) {
    refuse(kNotFound, "unknown_turn", Duration::zero());
    return;
  }
  if (std::holds_alternative<ledger::LedgerUnavailable>(answer)) {
    refuse(kUnavailable, "history_unavailable", context_.knobs.retryAfterStore);
    return;
  }
  request_.body = std::get<ledger::History>(answer).text + request_.body;
  checkBudget();
}

void Exchange::checkBudget() {
  if (!isBudgeted()) {
    dispatch();
    return;
  }
  const std::uint64_t known = context_.ledger.knownUse(request_.programId);
  const std::uint64_t roomNeeded = request_.maximumTokens * context_.knobs.ampleBudgetTurns;
  const bool ample = known + roomNeeded <= *request_.tokenBudget;
  // While the budget is ample as far as is known, the reservation runs beside the dispatch.
  reserve(!ample);
  if (ample) {
    dispatch();
  }
}

void Exchange::reserve(bool dispatchAfterwards) {
  budget_ = BudgetState::Reserving;
  reservationMayStand_ = true;
  const Duration limit = std::max(Duration::zero(), timeLeft() - kAnswerMargin);
  context_.ledger.reserve(
      {request_.requestId, request_.programId, request_.maximumTokens}, *request_.tokenBudget,
      limit, [self = shared_from_this(), dispatchAfterwards](ledger::ReservationOutcome outcome) {
        self->onReservation(dispatchAfterwards, outcome);
      });
}

void Exchange::onReservation(bool dispatchAfterwards, ledger::ReservationOutcome outcome) {
  if (ended_) {
    // The request ended first; what it did not use was given back when it ended.
    return;
  }
  if (outcome == ledger::ReservationOutcome::Granted) {
    budget_ = BudgetState::Granted;
    if (dispatchAfterwards) {
      dispatch();
    } else {
      releaseOutput();
    }
    return;
  }
  if (outcome == ledger::ReservationOutcome::Spent) {
    reservationMayStand_ = false;
    if (mayHaveRun_ || call_) {
      breakOff("budget_spent");
    } else {
      refuse(kBudgetSpent, "budget_spent", Duration::zero());
    }
    return;
  }
  if (mayHaveRun_ || call_) {
    breakOff("reservation_unavailable");
  } else {
    refuse(kUnavailable, "reservation_unavailable", context_.knobs.retryAfterStore);
  }
}

void Exchange::dispatch() {
  const bool keepsPrompts = hasEngine_ && !request_.programId.empty();
  routing::ReplicaQuery query;
  query.service = service_;
  query.affinityKey = keepsPrompts ? request_.programId : request_.requestId;
  query.promptTokens = keepsPrompts ? request_.promptTokens : 0;
  query.tried = &tried_;
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
  const std::uint64_t known = context_.ledger.knownUse(request_.programId);
  const double budget = static_cast<double>(request_.tokenBudget.value_or(0));
  if (budget > 0 && static_cast<double>(known) > context_.knobs.runawayShare * budget) {
    return routing::WorkStage::Runaway;
  }
  const bool begun = !request_.previousTurn.empty() || known > request_.maximumTokens;
  return begun ? routing::WorkStage::Continuing : routing::WorkStage::FirstTurn;
}

bool Exchange::isAdmitted(const routing::Replica& replica) const {
  // What has begun anywhere goes on: turning it away would waste the work and promise too much.
  const bool canBeRefused = hasEngine_ && isStreaming() && !mayHaveRun_ && !streamBegun_;
  return !canBeRefused || context_.admission.admits(replica, stage(), route_->priority);
}

void Exchange::send(const routing::ReplicaPtr& replica) {
  replica_ = replica;
  ++replica_->inFlight;
  if (dispatchNumber_ == 0) {
    context_.metrics.onFirstDispatch(context_.clock() - arrivedAt_);
  }
  ++context_.counters.dispatches;
  ++dispatchNumber_;
  dispatchedAt_ = context_.clock();
  headSeen_ = false;
  head_ = {};
  body_.clear();
  splitter_.dropPartialEvent();
  Dispatch how;
  how.address = replica->entry.address;
  how.replicaId = replica->entry.id;
  how.timeLeft = timeLeft();
  how.priority = std::min(route_->priority, kLeastUrgent);
  how.lastEventId = lastEventId_;
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

void Exchange::releaseOutput() {
  if (budget_ == BudgetState::Reserving || ended_) {
    return;
  }
  if (!output_.empty()) {
    if (!streamBegun_) {
      streamBegun_ = true;
      writer_->beginStream(head_.status, replicaHeaders_);
      context_.metrics.onFirstEvent(context_.clock() - arrivedAt_);
    }
    eventsReleased_ = eventsTaken_;
    writer_->write(std::exchange(output_, {}));
  }
  if (streamEnded_) {
    onStreamEnd();
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
      request_.requestId, request_.previousTurn, ownInput_ + turnAddition_, limit,
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

void Exchange::suspectReplica(std::string_view reason) {
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

std::uint64_t Exchange::tokensHandedOut() const { return eventsReleased_ * tokensPerEvent_; }

void Exchange::settleBudget(std::uint64_t tokens) {
  if (reservationMayStand_) {
    reservationMayStand_ = false;
    context_.ledger.settle({request_.requestId, request_.programId,
                            std::min(tokens, std::max(request_.maximumTokens, tokens))});
  }
}

void Exchange::refuse(unsigned status, const std::string& reason, Duration retryAfter) {
  if (ended_) {
    return;
  }
  settleBudget(0);
  writer_->sendWhole(context_.wire.makeRefusal(request_, {status, reason, retryAfter}));
  end("refused_" + std::to_string(status), reason);
}

void Exchange::failUnknown(unsigned status, const std::string& reason) {
  if (ended_) {
    return;
  }
  settleBudget(0);
  writer_->sendWhole(context_.wire.makeRefusal(request_, {status, reason, Duration::zero()}));
  end("unknown_" + std::to_string(status), reason);
}

void Exchange::breakOff(const std::string& reason) {
  if (ended_) {
    return;
  }
  if (!streamBegun_) {
    // The client has seen nothing yet: it gets an answer rather than a closed connection.
    failUnknown(kBadGateway, reason);
    return;
  }
  settleBudget(tokensHandedOut());
  end("broken_off", reason);
}

void Exchange::onDeadline() {
  if (ended_) {
    return;
  }
  if (streamBegun_) {
    breakOff("deadline");
  } else if (mayHaveRun_ || call_) {
    failUnknown(kGatewayTimeout, "deadline");
  } else {
    refuse(kUnavailable, "deadline", Duration::zero());
  }
}

void Exchange::onClientGone() {
  if (ended_) {
    return;
  }
  settleBudget(tokensHandedOut());
  end("client_gone", {});
}

void Exchange::end(std::string_view outcome, std::string_view reason) {
  ended_ = true;
  const bool well = outcome == "answered";
  const std::string route = route_ == nullptr ? std::string() : route_->name;
  context_.metrics.onRequestEnded(route, std::string(outcome), std::string(reason),
                                  context_.clock() - arrivedAt_);
  const std::initializer_list<LogField> fields = {
      {"request", request_.requestId},
      {"program", request_.programId},
      {"route", route},
      {"outcome", outcome},
      {"reason", reason},
      {"status", std::uint64_t{head_.status}},
      {"dispatches", dispatchNumber_},
      {"events", eventsReleased_},
      {"took_ms", wholeMilliseconds(context_.clock() - arrivedAt_)}};
  if (well) {
    context_.log.routine("request_ended", fields);
  } else {
    context_.log.important("request_ended", fields);
  }
  ++dispatchNumber_;
  if (call_) {
    call_->cancel();
    call_.reset();
  }
  releaseReplica();
  // Closes the connection when the answer has not been written whole.
  writer_.reset();
}

}  // namespace gorsetrail::edge
