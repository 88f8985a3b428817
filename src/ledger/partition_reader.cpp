#include "ledger/partition_reader.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

/// A read is given up after this long; those who wait are told.
constexpr Duration kReadTimeLimit = milliseconds(1500);

}  // namespace

PartitionReader::PartitionReader(logstore::LogStore& store, logstore::PartitionAddress address,
                                 RecordObserver observer)
    : store_(store), address_(std::move(address)), observer_(std::move(observer)) {}

void PartitionReader::readToEnd(ReadCallback callback) {
  waiters_.push_back({std::nullopt, std::move(callback)});
  startRead();
}

void PartitionReader::readBelow(std::uint64_t offset, ReadCallback callback) {
  waiters_.push_back({offset, std::move(callback)});
  if (!reading_) {
    completeWaiters();
    if (!waiters_.empty()) {
      startRead();
    }
  }
}

void PartitionReader::noteOwnRecords(std::uint64_t offset, std::uint64_t count) {
  if (position_ == offset && !reading_) {
    position_ = offset + count;
  }
}

void PartitionReader::rewindTo(std::uint64_t offset) {
  if (reading_) {
    rewound_ = std::min(offset, rewound_.value_or(offset));
  } else {
    position_ = std::min(position_, offset);
  }
}

void PartitionReader::startRead() {
  if (reading_) {
    return;
  }
  reading_ = true;
  readStart_ = position_;
  logstore::ReadRequest request;
  request.partition = address_;
  request.start = position_;
  request.timeLimit = kReadTimeLimit;
  store_.read(std::move(request), [weak = weak_from_this(), waiting = waiters_.size()](
                                      logstore::StoreResult<logstore::ReadReply> result) {
    if (const auto self = weak.lock()) {
      self->onRead(waiting, std::move(result));
    }
  });
}

void PartitionReader::onRead(std::size_t waitersAtStart,
                             logstore::StoreResult<logstore::ReadReply> result) {
  reading_ = false;
  if (const auto* const error = std::get_if<logstore::StoreError>(&result)) {
    if (error->fault == logstore::StoreFault::Compacted) {
      position_ = std::max(position_, error->firstKept);
    } else {
      failWaiters(waitersAtStart, *error);
    }
  } else {
    const auto& reply = std::get<logstore::ReadReply>(result);
    for (std::size_t index = 0; index < waitersAtStart; ++index) {
      if (!waiters_[index].target) {
        waiters_[index].target = reply.end;
      }
    }
    takeRecords(reply);
  }
  if (rewound_) {
    position_ = std::min(position_, *rewound_);
    rewound_.reset();
  }
  completeWaiters();
  if (!waiters_.empty()) {
    startRead();
  }
}

void PartitionReader::takeRecords(const logstore::ReadReply& reply) {
  position_ = std::max(readStart_, reply.firstKept);
  for (const std::string& record : reply.records) {
    observer_(position_, record);
    ++position_;
  }
}

void PartitionReader::failWaiters(std::size_t count, const logstore::StoreError& error) {
  std::vector<Waiter> failed(std::make_move_iterator(waiters_.begin()),
                             std::make_move_iterator(waiters_.begin() +
                                                     static_cast<std::ptrdiff_t>(count)));
  waiters_.erase(waiters_.begin(), waiters_.begin() + static_cast<std::ptrdiff_t>(count));
  for (const Waiter& waiter : failed) {
    waiter.callback(error);
  }
}

void PartitionReader::completeWaiters() {
  std::vector<Waiter> done;
  const auto isDone = [this](const Waiter& waiter) {
    return waiter.target && *waiter.target <= position_;
  };
  const auto firstDone = std::stable_partition(
      waiters_.begin(), waiters_.end(), [&](const Waiter& waiter) { return !isDone(waiter); });
  std::move(firstDone, waiters_.end(), std::back_inserter(done));
  waiters_.erase(firstDone, waiters_.end());
  for (const Waiter& waiter : done) {
    waiter.callback(Success{});
  }
}

}  // namespace gorsetrail::ledger
