#include "ledger/partition_reader.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr Duration kReadTimeLimit = milliseconds(1500);
/// Time to transfer a full reply over a 10 Mbit/s link.
constexpr Duration kReadTransferTime = milliseconds(200);

}  // namespace

PartitionReader::PartitionReader(logstore::LogStore& store, logstore::PartitionAddress address)
    : store_(store), address_(std::move(address)) {}

void PartitionReader::readToEnd(ReadCallback callback) {
  nextPassWaiters_.push_back({std::nullopt, std::move(callback)});
  startPass();
}

void PartitionReader::readBelow(std::uint64_t offset, ReadCallback callback) {
  nextPassWaiters_.push_back({offset, std::move(callback)});
  startPass();
}

void PartitionReader::skipOwnRecords(std::uint64_t offset, std::uint64_t count) {
  if (position_ == offset && !inPass_) {
    position_ = offset + count;
  }
}

void PartitionReader::rewindTo(std::uint64_t offset) {
  if (inPass_) {
    rewound_ = std::min(offset, rewound_.value_or(offset));
  } else {
    position_ = std::min(position_, offset);
  }
}

void PartitionReader::startPass() {
  if (inPass_) {
    return;
  }
  inPass_ = true;
  completeSatisfiedWaiters();
  currentPassWaiters_ = std::move(nextPassWaiters_);
  nextPassWaiters_.clear();
  passEnd_.reset();
  if (currentPassWaiters_.empty()) {
    inPass_ = false;
  } else {
    readNext();
  }
}

void PartitionReader::completeSatisfiedWaiters() {
  std::vector<Waiter> ready;
  const auto isReady = [this](const Waiter& waiter) {
    return waiter.below && *waiter.below <= position_;
  };
  const auto firstReady =
      std::stable_partition(nextPassWaiters_.begin(), nextPassWaiters_.end(),
                            [&](const Waiter& waiter) { return !isReady(waiter); });
  std::move(firstReady, nextPassWaiters_.end(), std::back_inserter(ready));
  nextPassWaiters_.erase(firstReady, nextPassWaiters_.end());
  for (const Waiter& waiter : ready) {
    waiter.callback(Success{});
  }
}

void PartitionReader::readNext() {
  readStart_ = position_;
  logstore::ReadRequest request;
  request.partition = address_;
  request.start = position_;
  request.timeLimit = kReadTimeLimit;
  request.transferTime = kReadTransferTime;
  store_.read(std::move(request),
              [weak = weak_from_this()](logstore::StoreResult<logstore::ReadReply> result) {
                if (const auto self = weak.lock()) {
                  self->onRead(std::move(result));
                }
              });
}

void PartitionReader::onRead(logstore::StoreResult<logstore::ReadReply> result) {
  if (const auto* const error = std::get_if<logstore::StoreError>(&result)) {
    const bool compacted = error->fault == logstore::StoreFault::Compacted;
    if (compacted && error->firstKept > position_) {
      position_ = error->firstKept;
      readNext();
    } else {
      endPass(*error);
    }
    return;
  }
  const auto& reply = std::get<logstore::ReadReply>(result);
  passEnd_ = passEnd_.value_or(reply.end);
  deliverRecords(reply);
  if (position_ >= *passEnd_) {
    endPass(Success{});
  } else if (position_ > readStart_) {
    readNext();
  } else {
    endPass(logstore::StoreError{logstore::StoreFault::NoAnswer,
                                 "a read returned no records before the end of the partition", 0});
  }
}

void PartitionReader::deliverRecords(const logstore::ReadReply& reply) {
  position_ = std::max(readStart_, reply.firstKept);
  for (const std::string& record : reply.records) {
    observer_(position_, record);
    ++position_;
  }
}

void PartitionReader::endPass(const logstore::StoreResult<Success>& result) {
  const std::vector<Waiter> served = std::move(currentPassWaiters_);
  currentPassWaiters_.clear();
  for (const Waiter& waiter : served) {
    waiter.callback(result);
  }
  if (rewound_) {
    position_ = std::min(position_, *rewound_);
    rewound_.reset();
  }
  inPass_ = false;
  if (!nextPassWaiters_.empty()) {
    startPass();
  }
}

}  // namespace gorsetrail::ledger
