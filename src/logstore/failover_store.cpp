#include "logstore/failover_store.h"

#include <utility>

namespace gorsetrail::logstore {
namespace {

engine::CircuitKnobs breakerKnobs() {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = 3.5;
  knobs.failureHalfLife = seconds(1);
  knobs.firstOpenTime = milliseconds(250);
  knobs.longestOpenTime = milliseconds(1000);
  return knobs;
}

/// Whether the store itself spoke: what it said is as good as any answer.
bool isAnswer(StoreFault fault) {
  return fault == StoreFault::Compacted || fault == StoreFault::Rejected;
}

}  // namespace

FailoverStore::FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock,
                             std::function<void(StoreWay)> onSwitched)
    : direct_(direct),
      relay_(relay),
      clock_(std::move(clock)),
      onSwitched_(std::move(onSwitched)),
      breaker_(breakerKnobs()) {}

LogStore& FailoverStore::choose() {
  const Instant now = clock_();
  if (breaker_.allows(now)) {
    breaker_.onDispatched(now);
    return direct_;
  }
  take(StoreWay::Relay);
  return relay_;
}

template <class Reply>
StoreCallback<Reply> FailoverStore::watched(const LogStore& used, StoreCallback<Reply> callback) {
  if (&used != &direct_) {
    return callback;
  }
  return [this, callback = std::move(callback)](StoreResult<Reply> result) {
    const auto* const error = std::get_if<StoreError>(&result);
    onDirectResult(error == nullptr || isAnswer(error->fault));
    callback(std::move(result));
  };
}

void FailoverStore::append(AppendRequest request, StoreCallback<AppendReply> callback) {
  LogStore& way = choose();
  way.append(std::move(request), watched(way, std::move(callback)));
}

void FailoverStore::read(ReadRequest request, StoreCallback<ReadReply> callback) {
  LogStore& way = choose();
  way.read(std::move(request), watched(way, std::move(callback)));
}

void FailoverStore::newest(NewestRequest request, StoreCallback<NewestReply> callback) {
  LogStore& way = choose();
  way.newest(std::move(request), watched(way, std::move(callback)));
}

void FailoverStore::onDirectResult(bool answered) {
  if (!answered) {
    breaker_.onFailure(clock_());
    return;
  }
  breaker_.onSuccess();
  take(StoreWay::Direct);
}

void FailoverStore::take(StoreWay way) {
  if (std::exchange(way_, way) != way) {
    onSwitched_(way);
  }
}

}  // namespace gorsetrail::logstore
