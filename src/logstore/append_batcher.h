/// \file Group commit: combines records of several callers into one append to a partition.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "logstore/log_store.h"
#include "logstore/retrying_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Settings of `AppendBatcher`.
struct AppendBatcherKnobs {
  std::size_t maximumBatchBytes = std::size_t{1024} * 1024;
};

/// Batches the records of one partition for a short window, and until the previous append has
/// completed. At most one append is in flight, so a slow store receives fewer and larger appends.
/// This saves calls, which the store bills and rate-limits.
class AppendBatcher {
 public:
  /// Receives the offset of the caller's own record, or the error of the whole append.
  using Callback = std::function<void(StoreResult<std::uint64_t>)>;

  /// \param store, timers must outlive this object.
  AppendBatcher(LogStore& store, services::TimerService& timers, ClockFunction clock,
                PartitionAddress partition, AppendBatcherKnobs knobs);

  /// \param window maximum time to wait for further records while no append is in flight.
  /// \param timeLimit a record that has waited longer is not sent, and its append fails. A batch
  /// uses the longest limit of its records.
  void append(std::string record, Duration window, Duration timeLimit, Callback callback);

 private:
  struct Pending {
    std::string record;
    Duration timeLimit;
    Instant deadline;
    Callback callback;
  };

  void onWindowElapsed(std::uint64_t generation);
  void flush();
  /// Fails the records whose time limit has passed while they waited for the append before them.
  /// Their callers have given up, and may have answered that nothing was reserved or stored.
  void failOverdue();
  std::vector<Pending> takeBatch();
  void onAppended(const std::vector<Pending>& batch, const StoreResult<AppendReply>& result);

  LogStore& store_;
  services::TimerService& timers_;
  ClockFunction clock_;
  PartitionAddress partition_;
  AppendBatcherKnobs knobs_;
  std::vector<Pending> pending_;
  bool isAppendInFlight_ = false;
  bool isFlushDeferred_ = false;
  std::optional<Instant> flushAt_;
  std::uint64_t timerGeneration_ = 0;  ///< Timers of earlier generations are ignored.
};

}  // namespace gorsetrail::logstore
