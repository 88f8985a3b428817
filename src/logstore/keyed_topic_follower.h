/// \file Keeps up with the newest record of every key of a topic.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "logstore/compacted_topic.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Pace of a follower.
struct KeyedTopicFollowerKnobs {
  Duration wait = Duration::zero();       ///< The store holds a read until there is news.
  Duration pause = milliseconds(400);     ///< Between two reads.
  Duration patience = milliseconds(500);  ///< For an answer, beyond `wait`.
  /// After failures in a row the pause doubles up to this one, with jitter, so that a store or a
  /// reader that cannot serve everybody is asked less and less.
  Duration longestPause = milliseconds(1000);
  /// For a page of the listing, which a reader that many ask at once may send late.
  Duration listingPatience = milliseconds(2500);
  /// A second try of a page begins after this. Half of the time above.
  Duration pageTransferTime = milliseconds(400);
};

/// What a follower reports, in the log's order.
struct KeyedTopicObserver {
  /// A record was read; an empty value means that the key was removed.
  std::function<void(const std::string& key, const std::string& value)> onRecord;
  /// A listing was read whole: these keys exist and no others. Records reported meanwhile by
  /// `onRecord` are part of it.
  std::function<void(const std::vector<std::string>& keys)> onListed;
  /// The store answered: what is known was true at `askedAt`.
  std::function<void(Instant askedAt)> onFresh;
  /// The store did not answer a read.
  std::function<void(const StoreError& error)> onStale;
};

/// Lists all keys once, then reads on from where the listing began: its pages are no snapshot, so
/// changes made meanwhile are read again. When the history was dropped, it lists anew. A page that
/// did not come is asked for again; the pages before it stand.
class KeyedTopicFollower : public std::enable_shared_from_this<KeyedTopicFollower> {
 public:
  /// \param store, timers outlive this object.
  /// \param copy outlives this object and is kept up to date with what is read; null: none.
  KeyedTopicFollower(LogStore& store, services::TimerService& timers, ClockFunction clock,
                     PartitionAddress partition, KeyedTopicFollowerKnobs knobs,
                     KeyedTopicObserver observer, CompactedTopic* copy = nullptr,
                     std::uint64_t seed = 0);

  void start();
  /// A call that waits because the one before it failed is made now: whoever can answer has
  /// changed.
  void retryNow();
  /// Changes the pause between two reads, from the next one on.
  void setPause(Duration pause) { knobs_.pause = pause; }

 private:
  void listFrom(const std::string& afterKey);
  void onPage(Instant askedAt, const StoreResult<NewestReply>& result);
  void readOn();
  void onRead(Instant askedAt, const StoreResult<ReadReply>& result);
  void later(void (KeyedTopicFollower::*step)());
  void takeNextStep();
  void onFailure(const StoreError& error, void (KeyedTopicFollower::*step)());
  void listOn() { listFrom(listedKeys_.empty() ? std::string() : listedKeys_.back()); }
  /// \return the pause before the next call, jittered after failures.
  Duration nextPause();
  void restartListing();

  LogStore& store_;
  services::TimerService& timers_;
  ClockFunction clock_;
  PartitionAddress partition_;
  KeyedTopicFollowerKnobs knobs_;
  KeyedTopicObserver observer_;
  std::vector<std::string> listedKeys_;
  CompactedTopic* copy_;
  RandomSource random_;
  std::uint32_t failuresInARow_ = 0;
  void (KeyedTopicFollower::*nextStep_)() = nullptr;  ///< Waits for its pause; null: none does.
  std::uint64_t pauses_ = 0;                          ///< Only the last one ends in a call.
  bool firstPage_ = true;
  std::uint64_t position_ = 0;
};

}  // namespace gorsetrail::logstore
