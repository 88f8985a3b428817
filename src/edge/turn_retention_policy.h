/// \file Decides whether a persisted turn may run while the store is unavailable. Does no I/O and
/// reads no clock.
///
/// Clients retry a turn only a few times, so that refusing every attempt during a store outage of a
/// few seconds fails the whole program. Instead, the turn runs at once, and the end of its stream
/// is held until its record is stored. Such a run bridges about two seconds of the outage with one
/// attempt, is not repeated, and completes as soon as the store is back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace gorsetrail::edge {

/// Settings of `TurnRetentionPolicy`.
struct TurnRetentionKnobs {
  /// False: turns are refused while the store is unavailable, with `fixedRetryAfter`.
  bool holdStreamEnds = true;
  /// Retry-after of refusals when `holdStreamEnds` is false.
  Duration fixedRetryAfter = milliseconds(800);
  /// Longest time that a stream's end is held. Clients abandon a stream after 2 s without events;
  /// the difference allows for network latency.
  Duration maximumHold = milliseconds(1900);
  /// A turn whose end cannot be held for this long is refused, because the store's recovery is
  /// detected up to 0.4 s late (the maximum interval between probes).
  Duration minimumHold = milliseconds(400);
  /// Time reserved for the run itself, from the request's arrival to the stream's last event.
  Duration runAllowance = milliseconds(250);
  /// Retry-after as a share of the time left until the deadline. Clients wait at most a third of
  /// that time, by their own clock; the share is slightly smaller, so that they never shorten the
  /// delay.
  double retryAfterShare = 0.32;
  /// Stream ends held for longer than this are counted and logged. The store usually answers within
  /// a few milliseconds.
  Duration lateThreshold = milliseconds(250);
  /// During an outage, turns are refused when the memory of running turns would exceed this.
  std::size_t maximumRetainedBytes = std::size_t{4} * 1024 * 1024;
};

/// The turn may run.
struct TurnAdmitted {};
/// The turn is refused before anything was executed.
struct TurnRefused {
  std::string_view reason;
  Duration retryAfter;
};
using RetentionDecision = std::variant<TurnAdmitted, TurnRefused>;

/// Counts of turns affected by an unavailable or slow store.
struct TurnRetentionCounters {
  std::uint64_t startedDuringOutage = 0;  ///< Turns started while the store was unavailable.
  std::uint64_t storedLate = 0;           ///< Ends released later than `lateThreshold`.
  std::uint64_t notStored = 0;            ///< Streams aborted because the record was not stored.
};

/// Admission policy for the persisted turns of one node, with a limit on the memory that they use
/// during an outage. `Exchange` guarantees that no stream end is released before the turn's record
/// is stored, independently of this policy.
class TurnRetentionPolicy {
 public:
  explicit TurnRetentionPolicy(TurnRetentionKnobs knobs = {}) : knobs_(knobs) {}

  /// Decides whether a turn may run now.
  ///
  /// \param isStoreAvailable whether the store is expected to accept the turn's record now.
  /// \param bytes known size of the turn; it is not yet included in `retainedBytes`.
  /// \param timeLeft until the caller's deadline.
  [[nodiscard]] RetentionDecision decide(bool isStoreAvailable, std::size_t bytes,
                                         Duration timeLeft) const;

  /// \param timeLeft until the answer must be sent.
  /// \return how long a stream's end may be held for its record; at least zero.
  [[nodiscard]] Duration holdLimit(Duration timeLeft) const;

  /// Adds the turn's bytes to `retainedBytes` until `onTurnEnded`.
  void onTurnStarted(bool isStoreAvailable, std::size_t bytes);
  void onTurnEnded(std::size_t bytes) { retainedBytes_ -= bytes; }

  /// Counts a held stream end; the caller must call `onHoldEnded` once for it.
  void onHoldStarted() { ++heldStreamEnds_; }
  /// \param stored whether the turn's record was stored.
  /// \return whether the hold should be logged: the record was not stored, or stored late.
  bool onHoldEnded(bool stored, Duration heldFor);

  [[nodiscard]] const TurnRetentionCounters& counters() const { return counters_; }
  /// \return the number of stream ends held now.
  [[nodiscard]] std::size_t heldStreamEnds() const { return heldStreamEnds_; }
  [[nodiscard]] std::size_t retainedBytes() const { return retainedBytes_; }

 private:
  [[nodiscard]] TurnRefused refusal(std::string_view reason, Duration timeLeft) const;

  TurnRetentionKnobs knobs_;
  TurnRetentionCounters counters_;
  std::size_t heldStreamEnds_ = 0;
  std::size_t retainedBytes_ = 0;
};

}  // namespace gorsetrail::edge
