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
  firstPage_ = true;
  listFrom({});
}

void KeyedTopicFollower::listFrom(const std::string& afterKey) {
  const Instant askedAt = clock_();
  store_.newest({partition_, afterKey, knobs_.listingPatience, knobs_.pageTransferTime},
                [self = shared_from_this(), askedAt](const StoreResult<NewestReply>& result) {
                  self->onPage(askedAt, result);
                });
}

void KeyedTopicFollower::onPage(Instant askedAt, const StoreResult<NewestReply>& result) {
  if (const auto* const error = std::get_if<StoreError>(&result)) {
    onFailure(*error, &KeyedTopicFollower::listOn);
    return;
  }
  failuresInARow_ = 0;
  const auto& page = std::get<NewestReply>(result);
  if (std::exchange(firstPage_, false)) {
    position_ = page.end;
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
  later(&KeyedTopicFollower::readOn);
}

void KeyedTopicFollower::readOn() {
  const Instant askedAt = clock_();
  ReadRequest request{partition_, position_, knobs_.wait, knobs_.wait + knobs_.patience};
  request.changesOnly = true;
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
      later(&KeyedTopicFollower::restartListing);
      return;
    }
    onFailure(*error, &KeyedTopicFollower::readOn);
    return;
  }
  failuresInARow_ = 0;
  const auto& reply = std::get<ReadReply>(result);
  if (reply.firstKept > position_) {
    // Records that were never read are gone.
    restartListing();
    return;
  }
  if (copy_ != nullptr) {
    copy_->take(position_, reply);
  }
  for (const std::string& record : reply.records) {
    const auto [key, value] = decodeKeyedRecord(record);
    if (!key.empty()) {
      observer_.onRecord(key, value);
    }
  }
  const std::uint64_t before = std::exchange(position_, nextOffset(position_, reply));
  const bool behind = position_ < reply.end;
  if (behind && position_ > before) {
    readOn();
    return;
  }
  // A held read that came back empty was asked long ago, but says what is true now.
  observer_.onFresh(reply.records.empty() && knobs_.wait > Duration::zero() ? clock_() : askedAt);
  later(&KeyedTopicFollower::readOn);
}

void KeyedTopicFollower::takeNextStep() {
  const auto step = std::exchange(nextStep_, nullptr);
  if (step != nullptr) {
    (this->*step)();
  }
}

void KeyedTopicFollower::retryNow() {
  if (failuresInARow_ > 0 && nextStep_ != nullptr) {
    ++pauses_;
    takeNextStep();
  }
}

void KeyedTopicFollower::onFailure(const StoreError& error, void (KeyedTopicFollower::*step)()) {
  ++failuresInARow_;
  observer_.onStale(error);
  later(step);
}

Duration KeyedTopicFollower::nextPause() {
  if (failuresInARow_ < 2) {
    return knobs_.pause;
  }
  constexpr std::uint32_t kMostDoublings = 6;
  const Duration full =
      std::min(std::max(knobs_.longestPause, knobs_.pause),
               knobs_.pause * (std::int64_t{1} << std::min(failuresInARow_ - 1, kMostDoublings)));
  const auto jitter = static_cast<std::uint64_t>(full.count() / 2);
  return full / 2 + Duration(static_cast<Duration::rep>(random_.below(jitter + 1)));
}

void KeyedTopicFollower::later(void (KeyedTopicFollower::*step)()) {
  nextStep_ = step;
  timers_.runAfter(nextPause(), [weak = weak_from_this(), number = ++pauses_] {
    const auto self = weak.lock();
    if (self && self->pauses_ == number) {
      self->takeNextStep();
    }
  });
}

}  // namespace gorsetrail::logstore
