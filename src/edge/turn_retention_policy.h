/// \file Whether a persisted turn may run while its record cannot be stored. Policy only: no I/O,
/// no clock.
///
/// Load pattern: the store does not answer for some seconds in the middle of programs. A turn is
/// sent a few times only, so a program is lost when every send of one turn is refused within the
/// outage. A turn that runs all the same, with the end of its stream held until the record
/// stands, spends about two seconds of the outage on one send, needs no second run, and is through
/// the moment the store is back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace gorsetrail::edge {

/// Knobs of `TurnRetentionPolicy`.
struct TurnRetentionKnobs {
  /// False: a turn is refused while the store does not answer, with a fixed time to come back.
  bool holdsEnds = true;
  /// Time to come back where ends are not held.
  Duration fixedRetryAfter = milliseconds(800);
  /// Clients give a stream up that has been silent for 2 s; 0.1 s of that is left for the way of
  /// its last event and of its end.
  Duration longestHold = milliseconds(1900);
  /// The return of the store is noticed some 0.4 s later (the longest pause between trials): a
  /// turn whose end cannot be held for as long is not worth an engine's work.
  Duration shortestHold = milliseconds(400);
  /// Left for the run itself, from the request's arrival to the stream's last event.
  Duration runAllowance = milliseconds(250);
  /// Clients wait for a time to come back up to a third of the time they have left, as they
  /// measure it; a little less than that is used, so that it is never cut.
  double retryShare = 0.32;
  /// An end that waits for longer than this is counted and logged: the store usually answers within
  /// a few milliseconds.
  Duration lateAfter = milliseconds(250);
  /// Bytes of turns under way above which no further turn is begun in an outage.
  std::size_t mostBytes = std::size_t{4} * 1024 * 1024;
};

/// The turn may begin.
struct TurnMayRun {};
/// It is refused before anything has run.
struct TurnRefused {
  std::string_view reason;
  Duration retryAfter;
};
using RetentionDecision = std::variant<TurnMayRun, TurnRefused>;

/// What became of ends that waited for their record.
struct TurnRetentionCounters {
  std::uint64_t begunInOutage = 0;  ///< Turns that began while the store did not answer.
  std::uint64_t storedLate = 0;     ///< Ends released later than `lateAfter`.
  std::uint64_t givenUp = 0;        ///< Ends broken off, since the record did not come to stand.
};

/// Decides for the persisted turns of one node, and bounds the memory that they hold. The promise
/// that no end is released before its record stands is kept by `Exchange`, whatever is decided
/// here.
class TurnRetentionPolicy {
 public:
  explicit TurnRetentionPolicy(TurnRetentionKnobs knobs = {}) : knobs_(knobs) {}

  /// \param storeAnswers whether the turn's record can probably be stored now.
  /// \param bytes of the turn, as far as they are known; they are not counted yet.
  /// \param timeLeft until the caller's deadline.
  [[nodiscard]] RetentionDecision decide(bool storeAnswers, std::size_t bytes,
                                         Duration timeLeft) const;

  /// \param timeLeft until the answer must be on its way.
  /// \return how long the end of a stream may wait for its record; at least zero.
  [[nodiscard]] Duration holdLimit(Duration timeLeft) const;

  /// Counts bytes of a turn that begins, until `release`.
  void retain(bool storeAnswers, std::size_t bytes);
  void release(std::size_t bytes) { retainedBytes_ -= bytes; }

  /// Every `onHeld` is followed by one `onHoldEnded`.
  void onHeld() { ++held_; }
  /// \return whether the end waited for so long that it is worth a log line.
  bool onHoldEnded(bool stored, Duration heldFor);

  [[nodiscard]] const TurnRetentionCounters& counters() const { return counters_; }
  /// \return ends that wait for their record now.
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t retainedBytes() const { return retainedBytes_; }

 private:
  [[nodiscard]] TurnRefused refusal(std::string_view reason, Duration timeLeft) const;

  TurnRetentionKnobs knobs_;
  TurnRetentionCounters counters_;
  std::size_t held_ = 0;
  std::size_t retainedBytes_ = 0;
};

}  // namespace gorsetrail::edge
