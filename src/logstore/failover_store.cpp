#include "logstore/failover_store.h"

#include <utility>

namespace gorsetrail::logstore {

bool isStoreAnswer(StoreFault fault) {
  return fault == StoreFault::Compacted || fault == StoreFault::Rejected;
}

FailoverStore::FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock,
                             FailoverKnobs knobs, std::function<void(StoreWay)> onSwitched)
    : direct_(direct),
      relay_(relay),
      clock_(std::move(clock)),
      onSwitched_(std::move(onSwitched)),
      knobs_(knobs),
      lastAnswerAt_(clock_()) {}

LogStore& FailoverStore::choose() {
  const Instant now = clock_();
  const bool inReach =
      failuresInARow_ < knobs_.failuresToSwitch || now - lastAnswerAt_ < knobs_.silence;
  if (inReach) {
    return direct_;
  }
  if (now >= nextTrialAt_) {
    nextTrialAt_ = now + knobs_.trialPeriod;
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
    onDirectResult(error == nullptr || isStoreAnswer(error->fault));
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
    ++failuresInARow_;
    return;
  }
  failuresInARow_ = 0;
  lastAnswerAt_ = clock_();
  take(StoreWay::Direct);
}

void FailoverStore::take(StoreWay way) {
  if (std::exchange(way_, way) != way) {
    onSwitched_(way);
  }
}

}  // namespace gorsetrail::logstore
