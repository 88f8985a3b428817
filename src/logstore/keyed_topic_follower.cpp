#include "logstore/keyed_topic_follower.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {

KeyedTopicFollower::KeyedTopicFollower(LogStore& store, services::TimerService& timers,
                                       ClockFunction clock, PartitionAddress partition,
                                       KeyedTopicFollowerKnobs knobs, KeyedTopicObserver observer)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      partition_(std::move(partition)),
      knobs_(knobs),
      observer_(std::move(observer)) {}

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
    observer_.onStale(*error);
    later(&KeyedTopicFollower::restartListing);
    return;
  }
  const auto& page = std::get<NewestReply>(result);
  if (std::exchange(firstPage_, false)) {
    position_ = page.end;
  }
  for (const KeyedItem& item : page.items) {
    listedKeys_.push_back(item.key);
    observer_.onRecord(item.key, item.value);
  }
  if (page.hasMore && !page.items.empty()) {
    listFrom(page.items.back().key);
    return;
  }
  observer_.onListed(listedKeys_);
  observer_.onFresh(askedAt);
  listedKeys_.clear();
  later(&KeyedTopicFollower::readOn);
}

void KeyedTopicFollower::readOn() {
  const Instant askedAt = clock_();
  store_.read({partition_, position_, knobs_.wait, knobs_.wait + knobs_.patience},
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
    observer_.onStale(*error);
    later(&KeyedTopicFollower::readOn);
    return;
  }
  const auto& reply = std::get<ReadReply>(result);
  if (reply.firstKept > position_) {
    // Records that were never read are gone.
    restartListing();
    return;
  }
  for (const std::string& record : reply.records) {
    const auto [key, value] = decodeKeyedRecord(record);
    ++position_;
    if (!key.empty()) {
      observer_.onRecord(key, value);
    }
  }
  const bool behind = position_ < reply.end;
  if (behind && !reply.records.empty()) {
    readOn();
    return;
  }
  // A held read that came back empty was asked long ago, but says what is true now.
  observer_.onFresh(reply.records.empty() && knobs_.wait > Duration::zero() ? clock_() : askedAt);
  later(&KeyedTopicFollower::readOn);
}

void KeyedTopicFollower::later(void (KeyedTopicFollower::*step)()) {
  timers_.runAfter(knobs_.pause, [weak = weak_from_this(), step] {
    if (const auto self = weak.lock()) {
      (self.get()->*step)();
    }
  });
}

}  // namespace gorsetrail::logstore
