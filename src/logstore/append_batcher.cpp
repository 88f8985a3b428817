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
  pending_.push_back({std::move(record), timeLimit, std::move(callback)});
  const Instant due = clock_() + window;
  if (dueAt_ && *dueAt_ <= due) {
    return;
  }
  dueAt_ = due;
  timers_.runAfter(window, [this, number = ++timerNumber_] { onDue(number); });
}

void AppendBatcher::onDue(std::uint64_t number) {
  if (number != timerNumber_) {
    return;
  }
  dueAt_.reset();
  if (underWay_) {
    dueWhileUnderWay_ = true;
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
    ++end;  // One record alone goes whatever its size.
  }
  std::vector<Pending> batch(std::make_move_iterator(pending_.begin()),
                             std::make_move_iterator(end));
  pending_.erase(pending_.begin(), end);
  return batch;
}

void AppendBatcher::flush() {
  if (pending_.empty()) {
    return;
  }
  underWay_ = true;
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
  underWay_ = false;
  const auto* const reply = std::get_if<AppendReply>(&result);
  std::uint64_t offset = reply == nullptr ? 0 : reply->offset;
  for (const Pending& pending : batch) {
    if (reply == nullptr) {
      pending.callback(std::get<StoreError>(result));
    } else {
      pending.callback(offset++);
    }
  }
  // What is left over from a full batch is due as well: its timer has run already.
  const bool leftOver = !pending_.empty() && !dueAt_;
  if (!underWay_ && (std::exchange(dueWhileUnderWay_, false) || leftOver)) {
    flush();
  }
}

}  // namespace gorsetrail::logstore
