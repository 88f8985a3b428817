/// \file Reads one partition of the log in order, as far as its users need it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// Called with each record that is read, in order; again for the same one after a rewind.
using RecordObserver = std::function<void(std::uint64_t offset, std::string_view record)>;
/// Told whether everything asked for was read.
using ReadCallback = std::function<void(logstore::StoreResult<Success>)>;

/// One read is under way at a time and serves everybody who waits. "To the end" means to the end
/// that a read which began after the question reports: only then may absence be concluded.
class PartitionReader : public std::enable_shared_from_this<PartitionReader> {
 public:
  PartitionReader(logstore::LogStore& store, logstore::PartitionAddress address,
                  RecordObserver observer);

  /// Reads everything that stands in the partition now.
  void readToEnd(ReadCallback callback);
  /// Reads all records below `offset`; they exist.
  void readBelow(std::uint64_t offset, ReadCallback callback);
  /// This node appended these records itself: they need not be read if all before them were.
  void noteOwnRecords(std::uint64_t offset, std::uint64_t count);
  /// Records from `offset` on will be read again: they were dropped from memory.
  void rewindTo(std::uint64_t offset);

  /// \return offset behind the last record read.
  [[nodiscard]] std::uint64_t position() const { return position_; }

 private:
  struct Waiter {
    std::optional<std::uint64_t> target;  ///< Unknown until a read that began later reports it.
    ReadCallback callback;
  };

  void startRead();
  void onRead(std::size_t waitersAtStart, logstore::StoreResult<logstore::ReadReply> result);
  void takeRecords(const logstore::ReadReply& reply);
  void failWaiters(std::size_t count, const logstore::StoreError& error);
  void completeWaiters();

  logstore::LogStore& store_;
  logstore::PartitionAddress address_;
  RecordObserver observer_;
  std::uint64_t position_ = 0;
  std::optional<std::uint64_t> rewound_;  ///< Asked for while a read was under way.
  bool reading_ = false;
  std::uint64_t readStart_ = 0;
  std::vector<Waiter> waiters_;
};

}  // namespace gorsetrail::ledger
