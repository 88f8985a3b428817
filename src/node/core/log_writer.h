/// \file Queue of journal entries on their way to the platform's log.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "node/core/node_core.h"

namespace gorsetrail::node {

struct LogKnobs {
  std::size_t maximumQueuedBytes = std::size_t{4} * 1024 * 1024;
  std::size_t maximumRecordBytes = std::size_t{256} * 1024;  ///< The log takes at most 1 MiB.
  Duration batchInterval = milliseconds(100);                ///< Between two appends.
  Duration catchUpInterval = milliseconds(250);  ///< The same after an outage, until caught up.
  Duration firstRetry = milliseconds(500);
  Duration longestRetry = seconds(10);
  Duration answerTimeout = seconds(30);
};

/// Writes batches, at most one append outstanding, so that the log sees each program's entries in
/// order. While the log is down the queue is bounded: the oldest entries go first, and are
/// counted; they still stand on the replicas of the program.
class LogWriter {
 public:
  LogWriter(NodeId writer, Incarnation incarnation, std::uint64_t seed, const LogKnobs& knobs = {})
      : writer_(writer), incarnation_(incarnation), random_(seed), knobs_(knobs) {}

  void add(const program::AppendToLog& command);
  /// \return the append that is due now, if any.
  std::optional<AppendLogRecord> takeDue(Instant now);
  /// \param taken false: the log is down, or its answer was lost; the same record is sent again.
  void onAppended(std::uint64_t sequence, bool taken, Instant now);

  [[nodiscard]] bool isEmpty() const { return queue_.empty() && !inFlight_; }
  /// \return whether the last append failed.
  [[nodiscard]] bool isFailing() const { return failures_ > 0; }
  [[nodiscard]] std::uint64_t entriesDropped() const { return entriesDropped_; }
  [[nodiscard]] std::uint64_t entriesAppended() const { return entriesAppended_; }
  [[nodiscard]] std::size_t queuedBytes() const { return queuedBytes_; }

 private:
  struct QueuedEntry {
    std::string stream;
    std::string encoded;
  };
  struct InFlight {
    AppendLogRecord record;
    std::size_t entries = 0;
    Instant sentAt{};
    bool resend = false;
  };

  void makeRecord(Instant now);
  void onFailed(Instant now);

  NodeId writer_;
  Incarnation incarnation_;
  RandomSource random_;
  LogKnobs knobs_;
  std::deque<QueuedEntry> queue_;
  std::size_t queuedBytes_ = 0;
  std::optional<InFlight> inFlight_;
  std::uint64_t lastSequence_ = 0;
  std::uint32_t failures_ = 0;
  bool catchingUp_ = false;
  Instant notBefore_{};
  std::uint64_t entriesDropped_ = 0;
  std::uint64_t entriesAppended_ = 0;
};

}  // namespace gorsetrail::node
