#include "edge/exchange.h"

#include <algorithm>
#include <utility>

#include "edge/exchange_shared.h"

namespace gorsetrail::edge {
namespace {

constexpr unsigned kBudgetSpent = 402;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

Exchange::Exchange(EdgeContext& context, CallRequest request, http::ResponseWriterPtr writer)
    : context_(context),
      request_(std::move(request)),
      writer_(std::move(writer)),
      arrivedAt_(context.clock()),
      progress_(request_.lastEventId) {}

void Exchange::start() {
  context_.openExchanges.emplace(this, weak_from_this());
  RequestCheck check = checkRequest(context_, request_, arrivedAt_);
  checked_ = std::move(check.request);
  if (check.refusal) {
    refuse(*check.refusal);
    return;
  }
  writer_->observe({[self = shared_from_this()] { self->onClientDisconnected(); }, {}});
  const Duration allowed =
      std::min(request_.deadline.value_or(checked_.route->timeout), checked_.route->timeout);
  deadlineAt_ = arrivedAt_ + allowed;
  if (context_.stop && !context_.stop->takes(arrivedAt_, allowed)) {
    refuse({kUnavailable, "stopping", context_.knobs.retryAfterStop});
    return;
  }
  deadlineTimer_ = context_.timers.startTimer(std::max(Duration::zero(), allowed - kAnswerMargin),
                                              [weak = weak_from_this()] {
                                                if (const auto self = weak.lock()) {
                                                  self->onDeadline();
                                                }
                                              });
  if (!endIfQuarantined() && admitPersistedTurn(request_.body.size())) {
    findStreamOrigin();
  }
}

void Exchange::checkQuota() {
  if (checked_.tenant == nullptr || !checked_.tenant->quota.isLimited()) {
    findHistory();
    return;
  }
  // Only a streaming request can be the first of its program; tools are called later.
  const routing::WorkStage stageNow = stage();
  const bool isFirstTurn =
      isStreaming() && !hasStarted() &&
      (stageNow == routing::WorkStage::FirstTurn || stageNow == routing::WorkStage::Overdue);
  context_.quota.admit(*checked_.tenant,
                       isFirstTurn ? quota::ProgramStage::Starting : quota::ProgramStage::Started,
                       [self = shared_from_this()](const quota::QuotaDecision& decision) {
                         self->onQuotaDecision(decision);
                       });
}

void Exchange::onQuotaDecision(const quota::QuotaDecision& decision) {
  holdsQuotaToken_ = decision.verdict == quota::QuotaVerdict::Granted;
  if (ended_) {
    returnQuotaToken();
    return;
  }
  if (decision.verdict == quota::QuotaVerdict::OverLimit) {
    refuse({kTooManyRequests, "over_quota", decision.retryAfter});
  } else if (decision.verdict == quota::QuotaVerdict::Unknown) {
    logQuotaUnknown(decision);
    refuse({kUnavailable, "quota_unknown", decision.retryAfter});
  } else {
    findHistory();
  }
}

void Exchange::returnQuotaToken() {
  if (holdsQuotaToken_ && !firstDispatchAt_) {
    context_.quota.returnToken(checked_.tenant->name);
  }
  holdsQuotaToken_ = false;
}

bool Exchange::isPersistedTurn() const { return isStreaming() && checked_.route->persisted; }

bool Exchange::isStoreAvailableForTurn() const {
  return context_.ledger.canStoreTurn({checked_.turnName, checked_.turnZones()});
}

std::size_t Exchange::turnInputBytes() const { return request_.body.size() - historyBytes_; }

bool Exchange::admitPersistedTurn(std::size_t bytes) {
  if (!isPersistedTurn()) {
    return true;
  }
  if (turnInputBytes() > context_.knobs.maximumTurnBytes) {
    refuse({kBodyTooLarge, "turn_too_large_to_keep", Duration::zero()});
    return false;
  }
  const RetentionDecision decision =
      context_.retention.decide(isStoreAvailableForTurn(), bytes, timeLeft());
  if (const auto* const refused = std::get_if<TurnRefused>(&decision)) {
    refuse({kUnavailable, std::string(refused->reason), refused->retryAfter});
    return false;
  }
  return true;
}

bool Exchange::reserveTurnMemory() {
  // Upper estimate, because the output is counted before it is generated.
  constexpr std::size_t kBytesPerToken = 8;
  const std::size_t bytes = request_.body.size() + request_.maximumTokens * kBytesPerToken;
  if (!admitPersistedTurn(bytes)) {
    return false;
  }
  if (isPersistedTurn()) {
    retainedBytes_ = bytes;
    context_.retention.onTurnStarted(isStoreAvailableForTurn(), bytes);
  }
  return true;
}

void Exchange::releaseTurnMemory() {
  context_.retention.onTurnEnded(retainedBytes_);
  retainedBytes_ = 0;
}

bool Exchange::isStreaming() const { return checked_.isStreaming(); }

bool Exchange::isBudgeted() const {
  return isStreaming() && request_.tokenBudget && !request_.programId.empty();
}

Duration Exchange::timeLeft() const { return deadlineAt_ - context_.clock(); }

void Exchange::findHistory() {
  if (!admitProgram()) {
    return;
  }
  if (!checked_.route->persisted) {
    checkBudget();
    return;
  }
  turnInput_ = request_.body;
  if (request_.previousTurnId.empty()) {
    checkBudget();
    return;
  }
  context_.ledger.findHistory({checked_.previousTurnName, checked_.turnZones()},
                              [self = shared_from_this()](ledger::HistoryAnswer answer) {
                                self->onHistoryAnswer(std::move(answer));
                              });
}

void Exchange::onHistoryAnswer(ledger::HistoryAnswer answer) {
  if (ended_) {
    return;
  }
  if (std::holds_alternative<ledger::UnknownTurn>(answer)) {
    refuse({kNotFound, "unknown_turn", Duration::zero()});
    return;
  }
  if (const auto* const unavailable = std::get_if<ledger::LedgerUnavailable>(&answer)) {
    logHistoryRefused(*unavailable);
    refuse({kUnavailable, "history_unavailable", context_.knobs.retryAfterStore});
    return;
  }
  history_ = std::move(std::get<ledger::History>(answer));
  if (!holdHistory()) {
    refuse({kUnavailable, "request_memory_taken", context_.knobs.retryAfterMemory});
    return;
  }
  checkBudget();
}

bool Exchange::holdHistory() {
  std::string prompt = std::move(history_.text);
  historyBytes_ = prompt.size();
  const std::size_t bytes = prompt.size() + 2 * turnInput_.size();
  if (request_.memory && !request_.memory->resize(bytes, context_.clock())) {
    return false;
  }
  prompt += turnInput_.text();
  request_.body = std::move(prompt);
  return true;
}

void Exchange::checkBudget() {
  if (!reserveTurnMemory()) {
    return;
  }
  if (!isBudgeted()) {
    dispatch();
    return;
  }
  const std::uint64_t possible = context_.ledger.possibleTokenUse(checked_.programName);
  const std::uint64_t tokensNeeded = request_.maximumTokens * context_.knobs.ampleBudgetTurns;
  const bool ample = possible + tokensNeeded <= *request_.tokenBudget;
  // With ample known budget the request is dispatched in parallel with the reservation. If the
  // reservation may fail, it comes first: a turn that was dispatched before its reservation failed
  // may have run, and its client must not retry it.
  const ledger::ReservationOutlook outlook =
      context_.ledger.reservationOutlook(checked_.programName);
  const bool inParallel = ample && outlook == ledger::ReservationOutlook::Likely;
  reserve(!inParallel, reservationTimeout(outlook));
  if (inParallel && !ended_) {
    dispatch();
  }
}

Duration Exchange::reservationTimeout(ledger::ReservationOutlook outlook) const {
  switch (outlook) {
    case ledger::ReservationOutlook::Likely:
      break;
    case ledger::ReservationOutlook::Uncertain:
      return context_.knobs.uncertainReservationTimeout;
    case ledger::ReservationOutlook::Unlikely:
      return context_.knobs.failingReservationTimeout;
  }
  return timeLeft() - kAnswerMargin;
}

void Exchange::reserve(bool dispatchAfterwards, Duration timeLimit) {
  budget_ = BudgetState::Reserving;
  reservationMayExist_ = true;
  const Duration limit =
      std::max(Duration::zero(), std::min(timeLimit, timeLeft() - kAnswerMargin));
  const ledger::BudgetRequest budgetRequest{
      {checked_.turnName, checked_.programName, request_.maximumTokens},
      *request_.tokenBudget,
      request_.programTimeLeft};
  context_.ledger.reserve(
      budgetRequest, limit,
      [self = shared_from_this(), dispatchAfterwards](const ledger::ReservationReply& reply) {
        self->onReservationReply(dispatchAfterwards, reply);
      });
}

void Exchange::onReservationReply(bool dispatchAfterwards, const ledger::ReservationReply& reply) {
  if (ended_) {
    // `end` has already settled the budget.
    return;
  }
  if (reply.outcome == ledger::ReservationOutcome::Granted) {
    budget_ = BudgetState::Granted;
    grant_ = {reply.partition, reply.repliedBy, reply.grantedUnder};
    if (dispatchAfterwards) {
      dispatch();
    } else {
      releaseOutput();
    }
    return;
  }
  if (reply.outcome == ledger::ReservationOutcome::Spent) {
    reservationMayExist_ = false;
    if (mayHaveRun_ || call_) {
      abortAnswer("budget_spent");
    } else {
      refuse({kBudgetSpent, "budget_spent", Duration::zero()});
    }
    return;
  }
  if (mayHaveRun_ || call_) {
    retryReservation(reply);
  } else {
    logReservationRefused(reply);
    refuse({kUnavailable, "reservation_unavailable", context_.knobs.retryAfterReservation});
  }
}

// A second attempt is safe because no event was released yet. It often succeeds, because by then
// the ledger has found the program's coordinator or obtained a lease.
void Exchange::retryReservation(const ledger::ReservationReply& reply) {
  if (reservationRetried_) {
    logReservationRefused(reply);
    abortAnswer("reservation_unavailable");
    return;
  }
  reservationRetried_ = true;
  context_.timers.runAfter(context_.knobs.reservationRetryDelay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->ended_) {
      self->reserve(false, self->context_.knobs.failingReservationTimeout);
    }
  });
}

void Exchange::releaseOutput() {
  if (budget_ == BudgetState::Reserving || ended_) {
    return;
  }
  if (wholeAnswerReceived_) {
    sendWholeAnswer();
    return;
  }
  if (progress_.hasOutput()) {
    if (!firstEventAt_) {
      firstEventAt_ = context_.clock();
      context_.metrics.onFirstEvent(*firstEventAt_ - arrivedAt_);
    }
    beginAnswerStream();
    writer_->write(progress_.releaseEvents());
  }
  if (streamEnded_) {
    onStreamEnd();
  }
}

void Exchange::keepStreamHead() {
  if (!streamHead_) {
    streamHead_ = StreamHead{runHead_.status, runHeaders_};
  }
}

void Exchange::beginAnswerStream() {
  if (!streamBegun_) {
    streamBegun_ = true;
    writer_->beginStream(streamHead_->status, streamHead_->headers);
  }
}

unsigned Exchange::replicaStatus() const {
  return streamBegun_ ? streamHead_->status : runHead_.status;
}

std::uint64_t Exchange::tokensHandedOut() const {
  return progress_.eventsReleased() * checked_.tokensPerEvent;
}

void Exchange::settleBudget(std::uint64_t tokens) {
  if (reservationMayExist_) {
    reservationMayExist_ = false;
    context_.ledger.settle({checked_.turnName, checked_.programName, tokens});
    if (budget_ == BudgetState::Granted) {
      context_.log.logRoutine("budget_settled", {{"request", request_.requestId},
                                                 {"program", request_.programId},
                                                 {"partition", grant_.partition},
                                                 {"granted_by", grant_.coordinator},
                                                 {"lease", grant_.lease},
                                                 {"reserved_tokens", request_.maximumTokens},
                                                 {"settled_tokens", tokens},
                                                 {"budget", *request_.tokenBudget},
                                                 {"events", progress_.eventsReleased()}});
    }
  }
}

ExecutionState Exchange::executionState() const {
  if (mayHaveRun_ || call_) {
    return ExecutionState::Unknown;
  }
  return dispatchNumber_ == 0 ? ExecutionState::NotSent : ExecutionState::NotExecuted;
}

void Exchange::refuse(const Refusal& refusal) {
  if (ended_) {
    return;
  }
  const unsigned status = statusConsistentWith(refusal.status, executionState());
  if (status != refusal.status) {
    failWithUnknownState(status, refusal.reason);
    return;
  }
  settleBudget(tokensHandedOut());
  writer_->sendWhole(context_.wire.makeRefusal(request_, refusal));
  end("refused_" + std::to_string(refusal.status), refusal.reason);
}

void Exchange::failWithUnknownState(unsigned status, const std::string& reason) {
  if (ended_) {
    return;
  }
  settleBudget(tokensHandedOut());
  writer_->sendWhole(context_.wire.makeRefusal(request_, {status, reason, Duration::zero()}));
  end("unknown_" + std::to_string(status), reason);
}

void Exchange::abortAnswer(const std::string& reason) {
  if (ended_) {
    return;
  }
  if (!streamBegun_) {
    // The client has received nothing yet, so that an error answer is still possible.
    failWithUnknownState(kBadGateway, reason);
    return;
  }
  settleBudget(tokensHandedOut());
  end("broken_off", reason);
}

void Exchange::onDeadline() {
  if (ended_) {
    return;
  }
  endUnfinished(kGatewayTimeout, "deadline", Duration::zero());
}

void Exchange::onStopLimit() {
  if (!ended_) {
    endUnfinished(kBadGateway, "stopping", context_.knobs.retryAfterStop);
  }
}

void Exchange::endUnfinished(unsigned unknownStatus, const std::string& reason,
                             Duration retryAfter) {
  if (streamBegun_) {
    abortAnswer(reason);
  } else if (mayHaveRun_ || call_) {
    failWithUnknownState(unknownStatus, reason);
  } else {
    refuse({kUnavailable, reason, retryAfter});
  }
}

void Exchange::onClientDisconnected() {
  if (ended_) {
    return;
  }
  settleBudget(tokensHandedOut());
  end("client_gone", {});
}

std::uint64_t Exchange::millisecondsUntil(std::optional<Instant> moment) const {
  return moment ? wholeMilliseconds(*moment - arrivedAt_) : 0;
}

std::string Exchange::programMillisecondsLeft() const {
  if (!request_.programTimeLeft) {
    return {};
  }
  const Duration left = *request_.programTimeLeft - (context_.clock() - arrivedAt_);
  return std::to_string(wholeMilliseconds(std::max(Duration::zero(), left)));
}

void Exchange::end(std::string_view outcome, std::string_view reason) {
  ended_ = true;
  context_.openExchanges.erase(this);
  deadlineTimer_.reset();
  noDataTimer_.reset();
  holdTimer_.reset();
  releaseHeldBytes();
  recordUnfinishedRun();
  returnQuotaToken();
  releaseTurnMemory();
  if (endHeld_) {
    endHeld_ = false;
    context_.retention.onHoldEnded(false, context_.clock() - streamEndedAt_);
  }
  const std::string programLeft = programMillisecondsLeft();
  // Requests of programs past their deadline are logged like failures.
  if (outcome == "answered") {
    context_.retryControl.onAnswered(checked_.service, context_.clock());
  }
  const bool isRoutine = outcome == "answered" && programLeft != "0";
  const std::string route = checked_.routeName();
  const std::string tenant = checked_.tenantName();
  context_.metrics.onRequestEnded(route, std::string(outcome), std::string(reason),
                                  context_.clock() - arrivedAt_);
  const std::initializer_list<LogField> fields = {
      {"request", request_.requestId},
      {"program", request_.programId},
      {"route", route},
      {"tenant", tenant},
      {"previous_turn", request_.previousTurnId},
      {"resumes", request_.resumedRequestId},
      {"outcome", outcome},
      {"reason", reason},
      {"status", std::uint64_t{replicaStatus()}},
      {"dispatches", dispatchNumber_},
      {"ended_replicas", std::uint64_t{runs_.endedReplicas()}},
      {"events", progress_.eventsReleased()},
      {"dispatched_ms", millisecondsUntil(firstDispatchAt_)},
      {"first_event_ms", millisecondsUntil(firstEventAt_)},
      {"program_left_ms", programLeft},
      {"took_ms", wholeMilliseconds(context_.clock() - arrivedAt_)}};
  if (isRoutine) {
    context_.log.logRoutine("request_ended", fields);
  } else if (outcome.starts_with("refused_")) {
    context_.log.logRefusal("request_ended", {request_.programId, reason}, fields);
  } else {
    context_.log.logImportant("request_ended", fields);
  }
  ++dispatchNumber_;
  if (call_) {
    call_->cancel();
    call_.reset();
  }
  releaseReplica();
  // Closes the connection if the answer is incomplete.
  writer_.reset();
}

}  // namespace gorsetrail::edge
