#include "logstore/keyed_topic_follower.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {

KeyedTopicFollower::KeyedTopicFollower(LogStore& store, services::TimerService& timers,
                                       ClockFunction clock, PartitionAddress partition,
                                       KeyedTopicFollowerKnobs knobs, KeyedTopicObserver observer,
                                       CompactedTopic* copy, std::uint64_t seed)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      partition_(std::move(partition)),
      knobs_(knobs),
      observer_(std::move(observer)),
      copy_(copy),
      random_(seed) {}

void KeyedTopicFollower::start() { restartListing(); }

void KeyedTopicFollower::restartListing() {
  listedKeys_.clear();
  isFirstPage_ = true;
  listFrom({});
}

void KeyedTopicFollower::listFrom(const std::string& afterKey) {
  const Instant askedAt = clock_();
  store_.listLatest({partition_, afterKey, knobs_.listingTimeout, knobs_.pageTransferTime},
                    [self = shared_from_this(), askedAt](const StoreResult<NewestReply>& result) {
                      self->onPage(askedAt, result);
                    });
}

void KeyedTopicFollower::onPage(Instant askedAt, const StoreResult<NewestReply>& result) {
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    onFailure(*error, &KeyedTopicFollower::resumeListing);
    return;
  }
  consecutiveFailures_ = 0;
  const auto& page = std::get<NewestReply>(result);
  if (std::exchange(isFirstPage_, false)) {
    nextOffset_ = page.end;
    if (copy_ != nullptr) {
      copy_->beginListing(page.end);
    }
  }
  for (const KeyedItem& item : page.items) {
    listedKeys_.push_back(item.key);
    observer_.onRecord(item.key, item.value);
    if (copy_ != nullptr) {
      copy_->addListed(item);
    }
  }
  if (page.hasMore && !page.items.empty()) {
    listFrom(page.items.back().key);
    return;
  }
  if (copy_ != nullptr) {
    copy_->endListing();
  }
  observer_.onListed(listedKeys_);
  observer_.onFresh(askedAt);
  listedKeys_.clear();
  scheduleStep(&KeyedTopicFollower::readNext);
}

void KeyedTopicFollower::readNext() {
  const Instant askedAt = clock_();
  ReadRequest request{partition_, nextOffset_, knobs_.wait, knobs_.wait + knobs_.patience};
  request.acceptsSparseReply = true;
  store_.read(std::move(request),
              [self = shared_from_this(), askedAt](const StoreResult<ReadReply>& result) {
                self->onRead(askedAt, result);
              });
}

void KeyedTopicFollower::onRead(Instant askedAt, const StoreResult<ReadReply>& result) {
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    if (error->fault == StoreFault::Compacted) {
      restartListing();
      return;
    }
    if (error->fault == StoreFault::NotKept) {
      scheduleStep(&KeyedTopicFollower::restartListing);
      return;
    }
    onFailure(*error, &KeyedTopicFollower::readNext);
    return;
  }
  consecutiveFailures_ = 0;
  const auto& reply = std::get<ReadReply>(result);
  if (reply.firstKept > nextOffset_) {
    // The store dropped records that this follower has not read.
    restartListing();
    return;
  }
  if (copy_ != nullptr) {
    copy_->applyReply(nextOffset_, reply);
  }
  for (const std::string& record : reply.records) {
    const auto [key, value] = decodeKeyedRecord(record);
    if (!key.empty()) {
      observer_.onRecord(key, value);
    }
  }
  const std::uint64_t previousOffset = std::exchange(nextOffset_, nextOffset(nextOffset_, reply));
  const bool isBehind = nextOffset_ < reply.end;
  if (isBehind && nextOffset_ > previousOffset) {
    readNext();
    return;
  }
  // A long poll that ends without records shows that nothing changed while it was held, so the
  // state counts as current now, not only as of the request.
  observer_.onFresh(reply.records.empty() && knobs_.wait > Duration::zero() ? clock_() : askedAt);
  scheduleStep(&KeyedTopicFollower::readNext);
}

void KeyedTopicFollower::runNextStep() {
  const auto step = std::exchange(nextStep_, nullptr);
  if (step != nullptr) {
    (this->*step)();
  }
}

void KeyedTopicFollower::retryNow() {
  if (consecutiveFailures_ > 0 && nextStep_ != nullptr) {
    ++timerGeneration_;
    runNextStep();
  }
}

void KeyedTopicFollower::onFailure(const StoreError& error, void (KeyedTopicFollower::*step)()) {
  ++consecutiveFailures_;
  observer_.onReadFailed(error);
  scheduleStep(step);
}

Duration KeyedTopicFollower::nextPause() {
  if (consecutiveFailures_ < 2) {
    return knobs_.pause;
  }
  constexpr std::uint32_t kMaximumDoublings = 6;
  const Duration full = std::min(
      std::max(knobs_.longestPause, knobs_.pause),
      knobs_.pause * (std::int64_t{1} << std::min(consecutiveFailures_ - 1, kMaximumDoublings)));
  const auto jitter = static_cast<std::uint64_t>(full.count() / 2);
  return full / 2 + Duration(static_cast<Duration::rep>(random_.below(jitter + 1)));
}

void KeyedTopicFollower::scheduleStep(void (KeyedTopicFollower::*step)()) {
  nextStep_ = step;
  timers_.runAfter(nextPause(), [weak = weak_from_this(), generation = ++timerGeneration_] {
    const auto self = weak.lock();
    if (self && self->timerGeneration_ == generation) {
      self->runNextStep();
    }
  });
}

}  // namespace gorsetrail::logstore
