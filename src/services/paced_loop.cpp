#include "services/paced_loop.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::services {

Duration Backoff::delayAfter(RoundVerdict verdict) {
  if (verdict != RoundVerdict::Failed) {
    failures_ = 0;
    return withJitter(verdict == RoundVerdict::Busy ? pace_.busyPeriod : pace_.period);
  }
  constexpr std::uint32_t kMostDoublings = 20;
  const Duration doubled = pace_.shortestBackoff * (1U << std::min(failures_, kMostDoublings));
  ++failures_;
  return withJitter(std::min(doubled, pace_.longestBackoff));
}

Duration Backoff::withJitter(Duration delay) {
  const auto half = static_cast<std::uint64_t>(delay.count() / 2);
  return delay - delay / 2 + Duration(static_cast<Duration::rep>(random_.below(half + 1)));
}

struct PacedLoop::State {
  State(TimerService& timerService, Pace pace, std::uint64_t seed, Round work)
      : timers(timerService), backoff(pace, seed), round(std::move(work)) {}

  TimerService& timers;
  Backoff backoff;
  Round round;
  bool running = false;
  std::uint64_t generation = 0;  ///< Of the start and round; reports of older ones are ignored.
};

PacedLoop::PacedLoop(TimerService& timers, Pace pace, std::uint64_t seed, Round round)
    : state_(std::make_shared<State>(timers, pace, seed, std::move(round))) {}

PacedLoop::~PacedLoop() { stop(); }

void PacedLoop::start() {
  if (state_->running) {
    return;
  }
  state_->running = true;
  runRound(state_);
}

void PacedLoop::stop() {
  state_->running = false;
  ++state_->generation;
}

std::uint32_t PacedLoop::failures() const { return state_->backoff.failures(); }

void PacedLoop::runRound(const std::shared_ptr<State>& state) {
  const std::uint64_t generation = ++state->generation;
  state->round([state, generation](RoundVerdict verdict) {
    if (generation != state->generation) {
      return;  // Reported twice, or after the stop.
    }
    const std::uint64_t waiting = ++state->generation;
    state->timers.runAfter(state->backoff.delayAfter(verdict), [state, waiting] {
      if (waiting == state->generation) {
        runRound(state);
      }
    });
  });
}

}  // namespace gorsetrail::services
