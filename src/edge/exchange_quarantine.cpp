// Part of `Exchange`: limits the replicas that may end while they run one request, over all
// attempts of its client.
//
// Each run counts against the route's limit of replicas while it may be in progress, and against
// the limit of ended replicas from its interruption on, until the replica is known to have
// survived.
#include <algorithm>
#include <string>

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
    const std::string& input = turnInput_.empty() ? request_.body : turnInput_;
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

bool Exchange::endIfQuarantined() {
  const routing::QuarantineDecision decision = quarantineDecision();
  if (!decision.isQuarantined) {
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

routing::ReplicaRun Exchange::currentRun(routing::RunState state) const {
  return {runNumber_, replica_->entry.id, replica_->entry.startedAt, {}, state};
}

Duration Exchange::runHistoryLifetime() const {
  return request_.programId.empty() ? context_.knobs.runHistoryLifetimeOutsidePrograms
                                    : context_.knobs.runHistoryLifetime;
}

// A run that breaks off at once, shortly after another one broke off there and without a sign of
// life in between, met a process that had already ended.
bool Exchange::metEndedReplica() const {
  const Instant failedAt = replica_->lastFailureAt;
  const bool isImmediate = context_.clock() - dispatchedAt_ < context_.knobs.immediateFailureTime;
  const bool hadFailed = replica_->failures > 0 && replica_->lastDataAt < failedAt &&
                         failedAt <= dispatchedAt_ &&
                         dispatchedAt_ < failedAt + context_.knobs.minimumRestartTime;
  return isImmediate && hadFailed && !headReceived_;
}

void Exchange::recordInterruption() {
  if (context_.runHistories == nullptr) {
    return;
  }
  if (metEndedReplica()) {
    recordNotExecuted();
    return;
  }
  context_.runHistories->record(requestKey(), currentRun(routing::RunState::Uncertain),
                                runHistoryLifetime());
}

void Exchange::recordDispatch() {
  dispatchRecorded_ = false;
  if (context_.runHistories == nullptr) {
    return;
  }
  runNumber_ = context_.runHistories->nextRunNumber();
  if (context_.runHistories->isEmpty() || !context_.runHistories->hasHistory(requestKey())) {
    return;
  }
  if (const auto earlier = earlierRunAtSameProcess()) {
    runNumber_ = *earlier;  // Counts already.
    return;
  }
  dispatchRecorded_ = true;
  context_.runHistories->record(requestKey(), currentRun(routing::RunState::Uncertain),
                                runHistoryLifetime());
}

// A stream whose connection breaks is resumed at the same replica, again and again if the
// connections there are reset. A process that gave a sign of life a moment before is still the
// same.
std::optional<std::uint64_t> Exchange::earlierRunAtSameProcess() const {
  const Duration restartTime = context_.knobs.minimumRestartTime;
  if (dispatchedAt_ - replica_->lastDataAt >= restartTime) {
    return std::nullopt;
  }
  return context_.runHistories->runSince(requestKey(), currentRun(routing::RunState::Uncertain),
                                         dispatchedAt_ - restartTime);
}

void Exchange::recordNotExecuted() {
  if (dispatchRecorded_) {
    context_.runHistories->record(requestKey(), currentRun(routing::RunState::NotExecuted),
                                  runHistoryLifetime());
  }
}

void Exchange::recordWholeAnswer() {
  if (context_.runHistories != nullptr && !context_.runHistories->isEmpty()) {
    context_.runHistories->recordAnswer(requestKey());
  }
}

// A replica that ends without a sign is noticed later than the deadline of short requests.
void Exchange::recordRunAtSilentReplica() {
  if (!call_ || !replica_) {
    return;
  }
  const Instant lastDataAt = std::max(replica_->lastDataAt, dispatchedAt_);
  if (context_.clock() - lastDataAt >= context_.knobs.reachabilityCheckDelay) {
    recordInterruption();
  }
}

}  // namespace gorsetrail::edge
