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

/// Reads in passes: a pass goes from the position to the end that its first read reports, and
/// serves everybody who asked before it began. Only after such a pass may absence be concluded.
class PartitionReader : public std::enable_shared_from_this<PartitionReader> {
 public:
  PartitionReader(logstore::LogStore& store, logstore::PartitionAddress address);

  /// Sets who is told of records; before the first read.
  void observe(RecordObserver observer) { observer_ = std::move(observer); }
  /// Reads everything that stands in the partition now.
  void readToEnd(ReadCallback callback);
  /// Reads all records below `offset`; they exist.
  void readBelow(std::uint64_t offset, ReadCallback callback);
  /// This node appended these records itself: they need not be read if all before them were.
  void noteOwnRecords(std::uint64_t offset, std::uint64_t count);
  /// Records from `offset` on were not kept: the next pass reads them again.
  void rewindTo(std::uint64_t offset);

  /// \return offset behind the last record read.
  [[nodiscard]] std::uint64_t position() const { return position_; }

 private:
  struct Waiter {
    std::optional<std::uint64_t> below;  ///< Nothing: to the end.
    ReadCallback callback;
  };

  void startPass();
  void dropServedWaiters();
  void readNext();
  void onRead(logstore::StoreResult<logstore::ReadReply> result);
  void takeRecords(const logstore::ReadReply& reply);
  void endPass(const logstore::StoreResult<Success>& result);

  logstore::LogStore& store_;
  logstore::PartitionAddress address_;
  RecordObserver observer_;
  std::uint64_t position_ = 0;
  std::optional<std::uint64_t> rewound_;  ///< Asked for during a pass.
  bool inPass_ = false;
  std::optional<std::uint64_t> passEnd_;
  std::uint64_t readStart_ = 0;
  std::vector<Waiter> served_;   ///< By the pass under way.
  std::vector<Waiter> waiting_;  ///< For the next one.
};

}  // namespace gorsetrail::ledger
