/// \file One reader for many: serves the reads of other nodes from few reads of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "logstore/compacted_topic.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Knobs of `TopicGateway`.
struct TopicGatewayKnobs {
  Duration pause = milliseconds(200);  ///< Between two reads of the store.
  Duration patience = milliseconds(600);
  /// Records of a reply to a node that does not take replies with changes only.
  std::size_t mostRecords = 20000;
};

/// What a gateway answered; all only rise.
struct TopicGatewayCounters {
  std::uint64_t changes = 0;   ///< Replies with changes.
  std::uint64_t pages = 0;     ///< Pages of the listing.
  std::uint64_t bytes = 0;     ///< Of records and values in both.
  std::uint64_t unlisted = 0;  ///< Refused, since this node has not listed the topic.
};

/// Keeps a node's copy of a keyed partition up to date while other nodes ask for it, and answers
/// them from it. A question is answered after a read that began after it came, so the one who asks
/// knows as much as after a read of its own. While the copy holds no listing yet, the answer is
/// `Busy`: who asks comes again instead of listing the store itself.
class TopicGateway {
 public:
  /// \param store, timers, copy outlive this object.
  TopicGateway(LogStore& store, services::TimerService& timers, ClockFunction clock,
               PartitionAddress partition, CompactedTopic& copy, TopicGatewayKnobs knobs);

  /// Errors beside the store's: `NotKept` when records from so far back are not kept here.
  void read(const ReadRequest& request, StoreCallback<ReadReply> callback);
  /// A page of the listing. Errors: the store's.
  void newest(const NewestRequest& request, StoreCallback<NewestReply> callback);

  [[nodiscard]] const CompactedTopic& copy() const { return copy_; }
  [[nodiscard]] const TopicGatewayCounters& counters() const { return counters_; }

 private:
  /// Told how a round ended; null: the copy is up to date.
  using Waiter = std::function<void(const StoreError*)>;

  void await(Waiter waiter);
  void scheduleRound();
  void startRound();
  void readNext();
  void onRead(std::uint64_t start, const StoreResult<ReadReply>& result);
  void endRound(const StoreError* error);
  [[nodiscard]] StoreResult<ReadReply> replyTo(const ReadRequest& request);
  [[nodiscard]] NewestReply pageAfter(const std::string& key);

  LogStore& store_;
  services::TimerService& timers_;
  ClockFunction clock_;
  PartitionAddress partition_;
  CompactedTopic& copy_;
  TopicGatewayKnobs knobs_;
  TopicGatewayCounters counters_;
  bool inRound_ = false;
  Instant lastRoundAt_;
  std::vector<Waiter> waiting_;  ///< For the next round.
  std::vector<Waiter> served_;   ///< By the round under way.
};

}  // namespace gorsetrail::logstore
