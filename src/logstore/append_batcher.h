/// \file Group commit: records of many callers go to one partition in one append.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "logstore/log_store.h"
#include "logstore/persistent_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Knobs of `AppendBatcher`.
struct AppendBatcherKnobs {
  std::size_t maximumBatchBytes = std::size_t{1024} * 1024;
};

/// Gathers records of one partition for a short window, and for as long as the append before is
/// under way: calls are priced and limited, and the partition takes its appends in turn. A slow
/// store so gets fewer and longer appends.
class AppendBatcher {
 public:
  /// Told the offset of the caller's own record.
  using Callback = std::function<void(StoreResult<std::uint64_t>)>;

  /// \param store, timers outlive this object.
  AppendBatcher(LogStore& store, services::TimerService& timers, ClockFunction clock,
                PartitionAddress partition, AppendBatcherKnobs knobs);

  /// \param window the record waits at most this long for others.
  /// \param timeLimit for the append of the batch; the batch takes the longest of its records.
  void append(std::string record, Duration window, Duration timeLimit, Callback callback);

 private:
  struct Pending {
    std::string record;
    Duration timeLimit;
    Callback callback;
  };

  void onDue(std::uint64_t number);
  void flush();
  std::vector<Pending> takeBatch();
  void onAppended(const std::vector<Pending>& batch, const StoreResult<AppendReply>& result);

  LogStore& store_;
  services::TimerService& timers_;
  ClockFunction clock_;
  PartitionAddress partition_;
  AppendBatcherKnobs knobs_;
  std::vector<Pending> pending_;
  bool underWay_ = false;
  bool dueWhileUnderWay_ = false;
  std::optional<Instant> dueAt_;
  std::uint64_t timerNumber_ = 0;  ///< Timers of older numbers are ignored.
};

}  // namespace gorsetrail::logstore
