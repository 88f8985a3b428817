#include "logstore/failover_store.h"

#include <utility>

namespace gorsetrail::logstore {

bool isReplyFromStore(StoreFault fault) {
  return fault == StoreFault::Compacted || fault == StoreFault::Rejected;
}

FailoverStore::FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock,
                             FailoverKnobs knobs, std::function<void(StoreRoute)> onSwitched)
    : direct_(direct),
      relay_(relay),
      clock_(std::move(clock)),
      onSwitched_(std::move(onSwitched)),
      knobs_(knobs),
      lastAnswerAt_(clock_()) {}

LogStore& FailoverStore::selectRoute() {
  const Instant now = clock_();
  const bool isReachable =
      consecutiveFailures_ < knobs_.failuresToSwitch || now - lastAnswerAt_ < knobs_.minimumOutage;
  if (isReachable) {
    return direct_;
  }
  if (now >= nextProbeAt_) {
    nextProbeAt_ = now + knobs_.probeInterval;
    return direct_;
  }
  setRoute(StoreRoute::Relay);
  return relay_;
}

template <class Reply>
StoreCallback<Reply> FailoverStore::trackOutcome(const LogStore& target,
                                                 StoreCallback<Reply> callback) {
  if (&target != &direct_) {
    return callback;
  }
  return [this, callback = std::move(callback)](StoreResult<Reply> result) {
    const auto* const error = std::get_if<StoreError>(&result);
    onDirectResult(error == nullptr || isReplyFromStore(error->fault));
    callback(std::move(result));
  };
}

void FailoverStore::append(AppendRequest request, StoreCallback<AppendReply> callback) {
  LogStore& route = selectRoute();
  route.append(std::move(request), trackOutcome(route, std::move(callback)));
}

void FailoverStore::read(ReadRequest request, StoreCallback<ReadReply> callback) {
  LogStore& route = selectRoute();
  route.read(std::move(request), trackOutcome(route, std::move(callback)));
}

void FailoverStore::listLatest(NewestRequest request, StoreCallback<NewestReply> callback) {
  LogStore& route = selectRoute();
  route.listLatest(std::move(request), trackOutcome(route, std::move(callback)));
}

void FailoverStore::onDirectResult(bool answered) {
  if (!answered) {
    ++consecutiveFailures_;
    return;
  }
  consecutiveFailures_ = 0;
  lastAnswerAt_ = clock_();
  setRoute(StoreRoute::Direct);
}

void FailoverStore::setRoute(StoreRoute route) {
  if (std::exchange(route_, route) != route) {
    onSwitched_(route);
  }
}

}  // namespace gorsetrail::logstore
