/// \file One reader for many: serves the reads of other nodes from few reads of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// \return whether a keyed record's new value says nothing that the old one did not.
using IsUnchanged = std::function<bool(const std::string& oldValue, const std::string& newValue)>;

/// Knobs of `TopicGateway`.
struct TopicGatewayKnobs {
  Duration pause = milliseconds(200);  ///< Between two reads of the store.
  Duration patience = milliseconds(600);
  std::size_t cachedRecords = 20000;
};

/// Follows one keyed partition while it is asked to. A question is answered by a read that began
/// after it came, so the one who asks knows as much as after a read of its own. A record without
/// change is suppressed: it only counts as an offset.
class TopicGateway {
 public:
  /// \param store, timers outlive this object.
  TopicGateway(LogStore& store, services::TimerService& timers, ClockFunction clock,
               PartitionAddress partition, IsUnchanged isUnchanged, TopicGatewayKnobs knobs);

  /// Errors beside the store's: `NotKept` when records from so far back are not kept here.
  void read(const ReadRequest& request, StoreCallback<ReadReply> callback);

 private:
  struct Waiter {
    std::uint64_t start = 0;
    StoreCallback<ReadReply> callback;
  };

  void startRound();
  void readNext();
  void onRead(const StoreResult<ReadReply>& result);
  void keep(const std::string& record);
  void endRound(const StoreError* error);
  [[nodiscard]] StoreResult<ReadReply> replyFrom(std::uint64_t start) const;
  [[nodiscard]] std::uint64_t cacheEnd() const { return cacheStart_ + cache_.size(); }

  LogStore& store_;
  services::TimerService& timers_;
  ClockFunction clock_;
  PartitionAddress partition_;
  IsUnchanged isUnchanged_;
  TopicGatewayKnobs knobs_;
  bool inRound_ = false;
  Instant lastRoundAt_;
  std::vector<Waiter> waiting_;  ///< For the next round.
  std::vector<Waiter> served_;   ///< By the round under way.
  std::deque<std::string> cache_;
  std::uint64_t cacheStart_ = 0;
  std::unordered_map<std::string, std::string> newestValues_;
};

}  // namespace gorsetrail::logstore
