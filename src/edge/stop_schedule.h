/// \file Decides which requests a node still takes during a planned stop, and when the others end.
#pragma once

#include "base/time.h"

namespace gorsetrail::edge {

/// Times of `StopSchedule`.
struct StopScheduleKnobs {
  /// Requests are taken for this time after the stop signal if their time allows it, because
  /// clients cache this node's address after it left the directory.
  Duration acceptTime = milliseconds(3000);
  /// The process serves for at least this time, so that late requests are answered and not reset.
  Duration minimumTime = milliseconds(3200);
  /// Part of the stop limit that is kept for the final answers of requests that are still open.
  Duration finalAnswerTime = milliseconds(300);
  /// Part of the stop limit that is kept for the end of the process.
  Duration exitTime = milliseconds(400);
};

/// The phases of a planned stop. A request is taken only if all the time that it may need ends
/// before the requests that are still open get their final answers: one that is cut off then may
/// have run, and its client may not send it again.
class StopSchedule {
 public:
  /// \param limit time from the stop signal until the process is killed.
  StopSchedule(Instant startedAt, Duration limit, StopScheduleKnobs knobs = {})
      : startedAt_(startedAt), limit_(limit), knobs_(knobs) {}

  /// \param allowed the longest that the request may be held.
  [[nodiscard]] bool takes(Instant now, Duration allowed) const {
    return now < startedAt_ + knobs_.acceptTime && now + allowed <= finalAnswersAt();
  }
  /// \return when requests that are still open get their final answers.
  [[nodiscard]] Instant finalAnswersAt() const { return latestExitAt() - knobs_.finalAnswerTime; }
  /// \return when the process may end if no request is open.
  [[nodiscard]] Instant earliestExitAt() const { return startedAt_ + knobs_.minimumTime; }
  /// \return when the process ends at the latest.
  [[nodiscard]] Instant latestExitAt() const { return startedAt_ + limit_ - knobs_.exitTime; }

 private:
  Instant startedAt_;
  Duration limit_;
  StopScheduleKnobs knobs_;
};

}  // namespace gorsetrail::edge
