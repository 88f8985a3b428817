/// \file Publishes a signed bundle: at most one append, then who won.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "cli/bundle_history.h"
#include "cli/bundle_log.h"

namespace gorsetrail::cli {

/// Waits; tests pass none.
using Pause = std::function<void(Duration)>;

/// A record of ours that won its place.
struct Publication {
  BundleVersion version;
  LogOffset offset;
  bool stoodAlready = false;  ///< It was found before anything was appended.
};

/// Appends an envelope unless it stands in the log already or cannot win. The answer to an append
/// can be lost after it took effect, so after any append the log is read until the record is seen,
/// and nothing is ever appended a second time.
class Publisher {
 public:
  Publisher(BundleLog& log, BundleHistory& history, Pause pause)
      : log_(log), history_(history), pause_(std::move(pause)) {}

  /// Reads the log up to its end into the history.
  Result<Success> refresh();

  /// \return the record once it is seen to have won, or why not: `BundleConflict` (names the
  /// winner), `InvalidSignature`, `InvalidBundle`, `PlatformUnavailable` (nothing was appended), or
  /// `OutcomeNotKnown` (it may still land; publishing the same file again looks first).
  Result<Publication> publish(const std::string& envelope);

 private:
  [[nodiscard]] Result<Publication> outcomeOf(const HistoryEntry& entry) const;
  Result<Publication> awaitOwnRecord(const std::string& envelope,
                                     const Result<LogOffset>& appended);

  BundleLog& log_;
  BundleHistory& history_;
  Pause pause_;
};

}  // namespace gorsetrail::cli
