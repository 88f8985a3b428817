// Part of `Exchange`: measures answered dispatches, and refuses requests whose answer could not
// begin before the deadline.
#include "edge/exchange.h"
#include "edge/exchange_shared.h"

namespace gorsetrail::edge {

routing::WorkSize Exchange::workSize() const {
  return {request_.promptTokens, request_.maximumTokens};
}

void Exchange::beginMeasurement() {
  hadFreeSlot_ = replica_->load() < replica_->entry.slots;
  eventsBeforeDispatch_ = progress_.eventsReceived();
}

void Exchange::recordServiceTime() {
  // Replicas answer errors without doing the work.
  if (context_.serviceTimes == nullptr || runHead_.status >= kFirstFailureStatus) {
    return;
  }
  routing::AnsweredRequest answered;
  answered.firstByte = answerBeganAt_ - dispatchedAt_;
  answered.duration = context_.clock() - dispatchedAt_;
  answered.events = progress_.eventsReceived() - eventsBeforeDispatch_;
  answered.promptTokens = request_.promptTokens;
  context_.serviceTimes->noteAnswer(*replica_, answered, hadFreeSlot_, context_.clock());
}

Duration Exchange::shortestFirstByte(const routing::Replica& replica) const {
  if (context_.serviceTimes == nullptr || !context_.knobs.refusesLateDispatches) {
    return Duration::zero();
  }
  return context_.serviceTimes->shortestFirstByte(replica, workSize()).value_or(Duration::zero());
}

bool Exchange::canBeginAfter(Duration shortest) const {
  return shortest == Duration::zero() || shortest <= timeLeft() - kAnswerMargin;
}

bool Exchange::hasTimeForAnswer() const {
  if (timeLeft() <= kAnswerMargin) {
    return false;
  }
  if (context_.serviceTimes == nullptr || !context_.knobs.refusesLateDispatches) {
    return true;
  }
  return canBeginAfter(
      context_.serviceTimes->shortestFirstByte(checked_.service).value_or(Duration::zero()));
}

void Exchange::sendIfInTime(const routing::ReplicaPtr& replica) {
  const Duration shortest = shortestFirstByte(*replica);
  if (canBeginAfter(shortest)) {
    send(replica);
  } else if (hasTimeForAnswer() && replica != resumeReplica_ && !skippedSlowReplica_) {
    // Only this replica is too slow. One further selection bounds the work for the request.
    skippedSlowReplica_ = true;
    excludedReplicas_.push_back(replica);
    dispatch();
  } else {
    onTooLate(*replica, shortest);
  }
}

void Exchange::onTooLate(const routing::Replica& replica, Duration shortest) {
  ++context_.counters.lateDispatches;
  context_.log.logRefusal("dispatch_too_late", {request_.programId, "too_late_to_answer"},
                          {{"request", request_.requestId},
                           {"program", request_.programId},
                           {"replica", replica.entry.id},
                           {"left_ms", wholeMilliseconds(timeLeft())},
                           {"shortest_ms", wholeMilliseconds(shortest)}});
  if (streamBegun_) {
    abortAnswer("too_late_to_answer");
  } else if (mayHaveRun_) {
    failWithUnknownState(kBadGateway, "too_late_to_answer");
  } else {
    refuse({kUnavailable, "too_late_to_answer", Duration::zero()});
  }
}

}  // namespace gorsetrail::edge
