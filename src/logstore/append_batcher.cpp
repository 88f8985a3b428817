#include "logstore/append_batcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gorsetrail::logstore {

AppendBatcher::AppendBatcher(LogStore& store, services::TimerService& timers, ClockFunction clock,
                             PartitionAddress partition, AppendBatcherKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      partition_(std::move(partition)),
      knobs_(knobs) {}

void AppendBatcher::append(std::string record, Duration window, Duration timeLimit,
                           Callback callback) {
  pending_.push_back({std::move(record), timeLimit, clock_() + timeLimit, std::move(callback)});
  const Instant windowEnd = clock_() + window;
  if (flushAt_ && *flushAt_ <= windowEnd) {
    return;
  }
  flushAt_ = windowEnd;
  timers_.runAfter(window,
                   [this, generation = ++timerGeneration_] { onWindowElapsed(generation); });
}

void AppendBatcher::onWindowElapsed(std::uint64_t generation) {
  if (generation != timerGeneration_) {
    return;
  }
  flushAt_.reset();
  if (isAppendInFlight_) {
    isFlushDeferred_ = true;
  } else {
    flush();
  }
}

std::vector<AppendBatcher::Pending> AppendBatcher::takeBatch() {
  std::size_t bytes = 0;
  const auto fits = [&](const Pending& pending) {
    bytes += pending.record.size();
    return bytes <= knobs_.maximumBatchBytes;
  };
  auto end = std::find_if_not(pending_.begin(), pending_.end(), fits);
  if (end == pending_.begin() && end != pending_.end()) {
    ++end;  // A record larger than the limit is sent as a batch of its own.
  }
  std::vector<Pending> batch(std::make_move_iterator(pending_.begin()),
                             std::make_move_iterator(end));
  pending_.erase(pending_.begin(), end);
  return batch;
}

void AppendBatcher::failOverdue() {
  const auto firstOverdue = std::stable_partition(
      pending_.begin(), pending_.end(),
      [now = clock_()](const Pending& pending) { return pending.deadline >= now; });
  const std::vector<Pending> overdue(std::make_move_iterator(firstOverdue),
                                     std::make_move_iterator(pending_.end()));
  pending_.erase(firstOverdue, pending_.end());
  for (const Pending& pending : overdue) {
    pending.callback(StoreError{StoreFault::NoAnswer,
                                "the record waited longer than its time limit for the store", 0});
  }
}

void AppendBatcher::flush() {
  failOverdue();
  if (pending_.empty()) {
    return;
  }
  isAppendInFlight_ = true;
  std::vector<Pending> batch = takeBatch();
  AppendRequest request;
  request.partition = partition_;
  request.timeLimit = Duration::zero();
  for (Pending& pending : batch) {
    request.records.push_back(std::move(pending.record));
    request.timeLimit = std::max(request.timeLimit, pending.timeLimit);
  }
  store_.append(std::move(request),
                [this, batch = std::move(batch)](const StoreResult<AppendReply>& result) {
                  onAppended(batch, result);
                });
}

void AppendBatcher::onAppended(const std::vector<Pending>& batch,
                               const StoreResult<AppendReply>& result) {
  isAppendInFlight_ = false;
  const auto* const reply = std::get_if<AppendReply>(&result);
  std::uint64_t offset = reply == nullptr ? 0 : reply->offset;
  for (const Pending& pending : batch) {
    if (reply == nullptr) {
      pending.callback(std::get<StoreError>(result));
    } else {
      pending.callback(offset++);
    }
  }
  // Records left over from a full batch are sent at once, because their timer has already run.
  const bool hasLeftover = !pending_.empty() && !flushAt_;
  if (!isAppendInFlight_ && (std::exchange(isFlushDeferred_, false) || hasLeftover)) {
    flush();
  }
}

}  // namespace gorsetrail::logstore
