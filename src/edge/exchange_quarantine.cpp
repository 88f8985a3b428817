// Part of `Exchange`: limits the replicas that may end while they run one request, over all
// attempts of its client.
//
// Each run counts against the route's limit of replicas while it may be in progress, and against
// the limit of ended replicas from its interruption on, until the replica is known to have
// survived.
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"
#include "edge/request_identity.h"

namespace gorsetrail::edge {
namespace {

constexpr std::string_view kQuarantined = "request_quarantined";

}  // namespace

const routing::RequestKey& Exchange::requestKey() const {
  if (!requestKey_) {
    // The history is prepended to the body of a persisted turn when it has been found.
    const std::string& input = (turnInput_.empty() ? request_.body : turnInput_).text();
    requestKey_ = requestKeyOf({checked_.tenantName(), request_.programId, request_.method,
                                request_.host, request_.target, request_.previousTurnId, input});
  }
  return *requestKey_;
}

routing::QuarantineDecision Exchange::quarantineDecision() const {
  if (context_.runHistories == nullptr || context_.runHistories->isEmpty()) {
    return {};
  }
  return context_.runHistories->decide(requestKey());
}

bool Exchange::hasCountedRuns() const {
  const RunHistoryDirectory* const histories = context_.runHistories;
  return histories != nullptr && !histories->isEmpty() && histories->countedRuns(requestKey()) > 0;
}

bool Exchange::endIfQuarantined() {
  const routing::QuarantineDecision decision = quarantineDecision();
  if (!decision.isQuarantined) {
    return false;
  }
  // Outside programs many callers send the same content. Where nothing shows that its replicas
  // ended, one of the requests is let through; its success clears the others.
  if (decision.mayLive && request_.programId.empty() && dispatchNumber_ == 0) {
    return false;
  }
  logQuarantine(decision);
  if (streamBegun_) {
    abortAnswer(std::string(kQuarantined));
  } else {
    ++context_.counters.quarantineRefusals;
    refuse(
        {kUnavailable, std::string(kQuarantined), decision.retryAfter.value_or(Duration::zero())});
  }
  return true;
}

void Exchange::logQuarantine(const routing::QuarantineDecision& decision) {
  const std::string retry =
      decision.retryAfter ? std::to_string(wholeMilliseconds(*decision.retryAfter)) : std::string();
  context_.log.logRefusal(kQuarantined, {request_.programId, kQuarantined},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"tenant", checked_.tenantName()},
                           {"route", checked_.routeName()},
                           {"request_key", routing::textOf(requestKey())},
                           {"ended_replicas", std::uint64_t{decision.endedReplicas}},
                           {"uncertain_replicas", std::uint64_t{decision.uncertainReplicas}},
                           {"repeated_replicas", std::uint64_t{decision.repeatedReplicas}},
                           {"dispatches", dispatchNumber_},
                           {"retry_ms", retry}});
}

std::string Exchange::interruptionReason(std::string_view reason) {
  if (!checked_.route->isIdempotent()) {
    return std::string(reason);
  }
  const routing::QuarantineDecision decision = quarantineDecision();
  if (!decision.isQuarantined) {
    return std::string(reason);
  }
  logQuarantine(decision);
  return std::string(kQuarantined);
}

routing::ReplicaRun Exchange::currentRun() const {
  routing::ReplicaRun run{runNumber_, replica_->entry.id, replica_->entry.startedAt};
  run.session = sessionHash();
  run.mayRunUntil = deadlineAt_;
  if (const std::optional<Instant> openedAt =
          call_ ? call_->connectionOpenedAt() : runConnectionOpenedAt_) {
    run.sentAt = std::max(runSentAt_, *openedAt);
    run.lastDataAt = lastRunDataAt_ > *run.sentAt ? std::optional(lastRunDataAt_) : std::nullopt;
  }
  return run;
}

void Exchange::dropCall() {
  if (call_) {
    runConnectionOpenedAt_ = call_->connectionOpenedAt();
    call_.reset();
  }
}

std::uint32_t Exchange::sessionHash() const {
  return request_.sessionId.empty()
             ? 0
             : XXH32(request_.sessionId.data(), request_.sessionId.size(), 0);
}

Duration Exchange::runHistoryLifetime() const {
  return request_.programId.empty() ? context_.knobs.runHistoryLifetimeOutsidePrograms
                                    : context_.knobs.runHistoryLifetime;
}

// Another run broke off at the replica before, and it gave no sign of life since: the process may
// have ended before this run.
bool Exchange::metFailingReplica() const {
  const Instant failingSince = replica_->failingSince;
  return !headReceived_ && replica_->failures > 0 && replica_->lastDataAt < failingSince &&
         failingSince <= dispatchedAt_;
}

void Exchange::recordInterruption() {
  if (context_.runHistories == nullptr) {
    return;
  }
  routing::ReplicaRun run = currentRun();
  run.isInterrupted = true;
  run.atFailingReplica = !runCountsAlready_ && metFailingReplica();
  context_.runHistories->record(requestKey(), run, runHistoryLifetime());
  watchForSurvival();
}

void Exchange::watchForSurvival() {
  if (context_.survivalProofs != nullptr) {
    context_.survivalProofs->watch({requestKey(), runNumber_, replica_->entry.address,
                                    checked_.healthPath(), runSentAt_, deadlineAt_});
  }
}

void Exchange::recordDispatch() {
  dispatchRecorded_ = false;
  runCountsAlready_ = false;
  runConnectionOpenedAt_.reset();
  if (context_.runHistories == nullptr) {
    return;
  }
  const std::uint64_t previousNumber =
      std::exchange(runNumber_, context_.runHistories->nextRunNumber());
  const Instant previousSentAt = std::exchange(runSentAt_, dispatchedAt_);
  if (context_.runHistories->isEmpty() || !context_.runHistories->hasHistory(requestKey())) {
    return;
  }
  runCountsAlready_ = isAtSameProcessAs(previousNumber);
  if (runCountsAlready_) {
    runNumber_ = previousNumber;
    runSentAt_ = previousSentAt;
    return;
  }
  dispatchRecorded_ = true;
  context_.runHistories->record(requestKey(), currentRun(), runHistoryLifetime());
}

// A stream whose connection breaks is resumed at the same replica, again and again if the
// connections there are reset. A process that sent a part of this stream a moment before is still
// the same; bytes of other requests may come from the next one.
bool Exchange::isAtSameProcessAs(std::uint64_t previousRun) const {
  const Duration restartTime = context_.knobs.minimumRestartTime;
  if (dispatchedAt_ - lastRunDataAt_ >= restartTime) {
    return false;
  }
  return context_.runHistories->runSince(requestKey(), currentRun(), dispatchedAt_ - restartTime) ==
         previousRun;
}

void Exchange::recordNotExecuted() {
  if (dispatchRecorded_) {
    context_.runHistories->settle(requestKey(), runNumber_, routing::RunState::NotExecuted,
                                  routing::RunEvidence::Replica);
  }
}

void Exchange::recordWholeAnswer() {
  if (context_.runHistories == nullptr || context_.runHistories->isEmpty()) {
    return;
  }
  if (dispatchRecorded_ || runCountsAlready_) {
    context_.runHistories->settle(requestKey(), runNumber_, routing::RunState::Survived,
                                  routing::RunEvidence::Answer);
  }
  // A caller that got a success is done with the request. Another session's request with the same
  // content is another request. Outside programs there are no sessions, and many callers send the
  // same content; a success says there that the content does not end replicas.
  if (runHead_.status < kFirstFailureStatus) {
    context_.runHistories->clear(requestKey(), sessionHash(), dispatchedAt_,
                                 routing::RunEvidence::LaterSuccess);
  }
}

// A replica that ends without a sign is noticed later than the deadline of short requests.
void Exchange::recordUnfinishedRun() {
  if (!call_ || !replica_) {
    return;
  }
  const Instant lastDataAt = std::max(replica_->lastDataAt, dispatchedAt_);
  const bool isSilent = context_.clock() - lastDataAt >= context_.knobs.reachabilityCheckDelay;
  // What was recorded at the dispatch counts until it is settled.
  if (isSilent || dispatchRecorded_) {
    recordInterruption();
  }
}

void Exchange::noteAnswer() {
  const std::optional<Instant> openedAt = call_ ? call_->connectionOpenedAt() : std::nullopt;
  if (context_.survivalProofs != nullptr && openedAt) {
    context_.survivalProofs->onAnswer(replica_->entry.address, *openedAt, dispatchedAt_);
  }
}

}  // namespace gorsetrail::edge
