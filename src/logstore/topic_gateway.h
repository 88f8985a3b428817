/// \file Serves reads of a keyed partition to other nodes from a shared copy, to save store reads.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "logstore/compacted_topic.h"
#include "logstore/log_store.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Settings of `TopicGateway`.
struct TopicGatewayKnobs {
  Duration minimumRoundInterval = milliseconds(200);  ///< Between the starts of two rounds.
  Duration readTimeout = milliseconds(600);
  /// Maximum number of records in a reply to a node that does not accept `ReadReply::changes`.
  std::size_t maximumDenseRecords = 20000;
};

/// Monotonic counters of replies.
struct TopicGatewayCounters {
  std::uint64_t changes = 0;   ///< Replies with changes.
  std::uint64_t pages = 0;     ///< Pages of the listing.
  std::uint64_t bytes = 0;     ///< Size of the records, keys and values in both.
  std::uint64_t unlisted = 0;  ///< Requests refused because this node has not listed the topic yet.
};

/// Updates a node's copy of a keyed partition on request, and serves other nodes from it. A request
/// is answered after a round of store reads that started after its arrival, so the reply is as
/// recent as a read of the requester's own. Until the copy has a listing, the reply is `Busy`, so
/// that requesters retry here instead of listing the store.
class TopicGateway {
 public:
  /// \param store, timers, copy must outlive this object.
  TopicGateway(LogStore& store, services::TimerService& timers, ClockFunction clock,
               PartitionAddress partition, CompactedTopic& copy, TopicGatewayKnobs knobs);

  /// Errors: those of the store, and `NotKept` when the copy does not cover the requested offset.
  void read(const ReadRequest& request, StoreCallback<ReadReply> callback);
  /// Returns a page of the key listing. Later pages come from the copy without a store read.
  /// Errors: those of the store.
  void listLatest(const NewestRequest& request, StoreCallback<NewestReply> callback);

  [[nodiscard]] const CompactedTopic& copy() const { return copy_; }
  [[nodiscard]] const TopicGatewayCounters& counters() const { return counters_; }

 private:
  /// Called at the end of a round; null when the copy is up to date.
  using RoundCallback = std::function<void(const StoreError*)>;

  void queueForNextRound(RoundCallback callback);
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
  bool isRoundActive_ = false;
  Instant lastRoundAt_;
  std::vector<RoundCallback> nextRound_;     ///< Served by the next round.
  std::vector<RoundCallback> currentRound_;  ///< Served by the round in progress.
};

}  // namespace gorsetrail::logstore
