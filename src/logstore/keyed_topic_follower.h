/// \file Follows the latest value of every key of a partition.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "logstore/compacted_topic.h"
#include "logstore/log_store.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Intervals and timeouts of a follower.
struct KeyedTopicFollowerKnobs {
  Duration wait = Duration::zero();       ///< Long-poll time of a read.
  Duration pause = milliseconds(400);     ///< Between two reads.
  Duration patience = milliseconds(500);  ///< Reply timeout, in addition to `wait`.
  /// Maximum pause. Consecutive failures double the pause, with jitter, so that an overloaded store
  /// or reader receives fewer requests.
  Duration longestPause = milliseconds(1000);
  /// Time limit of a listing page. It is longer than that of a read, because a reader that serves
  /// many nodes at once may send the page late.
  Duration listingTimeout = milliseconds(2500);
  /// Expected transfer time of a page, which delays the start of a second attempt.
  Duration pageTransferTime = milliseconds(400);
};

/// Callbacks of a follower, called in log order.
struct KeyedTopicObserver {
  /// Called for each record; an empty value means that the key was removed.
  std::function<void(const std::string& key, const std::string& value)> onRecord;
  /// Called after a complete listing: exactly these keys exist. `onRecord` was called for each of
  /// them during the listing.
  std::function<void(const std::vector<std::string>& keys)> onListed;
  /// Called after a reply: the reported state is at least as recent as `askedAt`.
  std::function<void(Instant askedAt)> onFresh;
  /// Called after a failed read or listing page.
  std::function<void(const StoreError& error)> onReadFailed;
};

/// Lists all keys of a partition, then reads its changes. Reading starts at the end offset of the
/// first page, because the pages are not a consistent snapshot. When the next records were already
/// dropped, it lists again. A failed page is requested again without repeating earlier pages.
class KeyedTopicFollower : public std::enable_shared_from_this<KeyedTopicFollower> {
 public:
  /// \param store, timers must outlive this object.
  /// \param copy updated with every reply; must outlive this object. Null for none.
  KeyedTopicFollower(LogStore& store, services::TimerService& timers, ClockFunction clock,
                     PartitionAddress partition, KeyedTopicFollowerKnobs knobs,
                     KeyedTopicObserver observer, CompactedTopic* copy = nullptr,
                     std::uint64_t seed = 0);

  void start();
  /// Cuts a pause after a failure short. Call it when another node or route can answer now.
  void retryNow();
  /// Sets the pause between two reads; a pause that has started keeps its length.
  void setPause(Duration pause) { knobs_.pause = pause; }

 private:
  void listFrom(const std::string& afterKey);
  void onPage(Instant askedAt, const StoreResult<NewestReply>& result);
  void readNext();
  void onRead(Instant askedAt, const StoreResult<ReadReply>& result);
  void scheduleStep(void (KeyedTopicFollower::*step)());
  void runNextStep();
  void onFailure(const StoreError& error, void (KeyedTopicFollower::*step)());
  void resumeListing() { listFrom(listedKeys_.empty() ? std::string() : listedKeys_.back()); }
  /// \return the pause before the next call, with backoff and jitter after repeated failures.
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
  std::uint32_t consecutiveFailures_ = 0;
  void (KeyedTopicFollower::*nextStep_)() = nullptr;  ///< Null when none is scheduled.
  std::uint64_t timerGeneration_ = 0;  ///< Timers of earlier generations are ignored.
  bool isFirstPage_ = true;
  std::uint64_t nextOffset_ = 0;
};

}  // namespace gorsetrail::logstore
