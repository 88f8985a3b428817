/// \file Publishes a signed bundle with at most one append.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "cli/bundle_history.h"
#include "cli/bundle_log.h"

namespace gorsetrail::cli {

/// Sleeps for a duration; tests inject a function that returns at once.
using Pause = std::function<void(Duration)>;

/// An accepted record that this command published.
struct Publication {
  BundleVersion version;
  LogOffset offset;
  bool wasAlreadyPublished = false;  ///< The log had the record before this call.
};

/// Appends an envelope unless the log already has it or the nodes would refuse it. The response to
/// an append can be lost after it took effect, so the log is then read until the record appears,
/// for a limited number of reads; the append is never retried.
class Publisher {
 public:
  Publisher(BundleLog& log, BundleHistory& history, Pause pause)
      : log_(log), history_(history), pause_(std::move(pause)) {}

  /// Reads the log up to its end into the history.
  Result<Success> refresh();

  /// \return the record once the log shows it as accepted, or `BundleConflict` (names the accepted
  /// version), `InvalidSignature`, `InvalidBundle`, `PlatformUnavailable` (nothing was appended),
  /// or `OutcomeNotKnown` (it may still be appended; publishing the same
  /// file again checks the log first).
  Result<Publication> publish(const std::string& envelope);

 private:
  [[nodiscard]] Result<Publication> outcomeOf(const HistoryEntry& entry) const;
  Result<Publication> waitForOwnRecord(const std::string& envelope,
                                       const Result<LogOffset>& appended);

  BundleLog& log_;
  BundleHistory& history_;
  Pause pause_;
};

}  // namespace gorsetrail::cli
