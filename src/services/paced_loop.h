/// \file Repeats a request to the platform for ever, one at a time, at a bounded rate.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/random.h"
#include "base/time.h"
#include "services/timer_service.h"

namespace gorsetrail::services {

/// Delays between rounds.
struct Pace {
  Duration period = milliseconds(500);           ///< After a round that found nothing more.
  Duration busyPeriod = milliseconds(10);        ///< After a round that found there is more.
  Duration shortestBackoff = milliseconds(500);  ///< After the first failure.
  Duration longestBackoff = seconds(30);         ///< Doubling stops here.
};

/// What a round came to.
enum class RoundVerdict : std::uint8_t {
  Idle,    ///< It worked and there is no more to do now.
  Busy,    ///< It worked and there is more to do.
  Failed,  ///< The platform did not answer, or refused.
};

/// Delay before the next round; every delay has a jitter of up to a half, so that nodes that lost
/// the platform at the same moment do not come back to it at the same moment.
class Backoff {
 public:
  Backoff(Pace pace, std::uint64_t seed) : pace_(pace), random_(seed) {}
  /// \return the delay that follows a round with that verdict.
  Duration delayAfter(RoundVerdict verdict);
  /// \return failures since the last success.
  [[nodiscard]] std::uint32_t failures() const { return failures_; }

 private:
  Duration withJitter(Duration delay);

  Pace pace_;
  RandomSource random_;
  std::uint32_t failures_ = 0;
};

/// Runs `round` again and again. A round ends when it calls what it was given, once; the next
/// starts after the delay. There is never more than one round under way.
class PacedLoop {
 public:
  using Report = std::function<void(RoundVerdict)>;
  using Round = std::function<void(Report)>;

  /// \param timers outlives the loop.
  PacedLoop(TimerService& timers, Pace pace, std::uint64_t seed, Round round);
  ~PacedLoop();
  PacedLoop(const PacedLoop&) = delete;
  PacedLoop& operator=(const PacedLoop&) = delete;

  /// Starts the first round at once.
  void start();
  /// No round starts any more; a report of the one under way is ignored.
  void stop();
  /// \return failures since the last success.
  [[nodiscard]] std::uint32_t failures() const;

 private:
  struct State;
  static void runRound(const std::shared_ptr<State>& state);
  std::shared_ptr<State> state_;
};

}  // namespace gorsetrail::services
