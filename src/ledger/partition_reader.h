/// \file Reads one partition of the log sequentially.
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

/// Called with each record in order; called again for the same record after a rewind.
using RecordObserver = std::function<void(std::uint64_t offset, std::string_view record)>;
/// Called with the result once everything requested was read.
using ReadCallback = std::function<void(logstore::StoreResult<Success>)>;

/// Reads in passes. A pass goes from the current position to the end offset that its first read
/// reports, and completes all requests made before it began. Only such a pass proves that a record
/// does not exist.
class PartitionReader : public std::enable_shared_from_this<PartitionReader> {
 public:
  PartitionReader(logstore::LogStore& store, logstore::PartitionAddress address);

  /// Sets the observer of records. Call it before the first read.
  void setObserver(RecordObserver observer) { observer_ = std::move(observer); }
  /// Reads all records that the partition holds now.
  void readToEnd(ReadCallback callback);
  /// Reads all records below `offset`, which must exist.
  void readBelow(std::uint64_t offset, ReadCallback callback);
  /// Advances the position over records that this node appended itself, if everything before them
  /// was read.
  void skipOwnRecords(std::uint64_t offset, std::uint64_t count);
  /// Schedules the records from `offset` on to be read again, because they were not cached.
  void rewindTo(std::uint64_t offset);

  /// \return the offset of the next record to read.
  [[nodiscard]] std::uint64_t position() const { return position_; }

 private:
  struct Waiter {
    std::optional<std::uint64_t> below;  ///< Nothing: to the end.
    ReadCallback callback;
  };

  void startPass();
  void completeSatisfiedWaiters();
  void readNext();
  void onRead(logstore::StoreResult<logstore::ReadReply> result);
  void deliverRecords(const logstore::ReadReply& reply);
  void endPass(const logstore::StoreResult<Success>& result);

  logstore::LogStore& store_;
  logstore::PartitionAddress address_;
  RecordObserver observer_;
  std::uint64_t position_ = 0;
  std::optional<std::uint64_t> rewound_;  ///< Requested during a pass.
  bool inPass_ = false;
  std::optional<std::uint64_t> passEnd_;
  std::uint64_t readStart_ = 0;
  std::vector<Waiter> currentPassWaiters_;  ///< By the current pass.
  std::vector<Waiter> nextPassWaiters_;     ///< For the next pass.
};

}  // namespace gorsetrail::ledger
