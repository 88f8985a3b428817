#include "routing/return_schedule.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace gorsetrail::routing {
namespace {

Duration scaled(Duration span, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}  // namespace

ReturnClass returnClassOf(WorkStage stage, std::uint32_t priority) {
  const bool isMostUrgent = priority == 0;
  switch (stage) {
    case WorkStage::Continuing:
      return isMostUrgent ? ReturnClass::StartedMostUrgent : ReturnClass::Started;
    case WorkStage::FirstTurn:
      return isMostUrgent ? ReturnClass::StartingMostUrgent : ReturnClass::Starting;
    case WorkStage::Runaway:
    case WorkStage::Overdue:
      break;
  }
  return ReturnClass::Last;
}

ReturnSchedule::Callers ReturnSchedule::waitingAt(Instant now) const {
  if (now - refusedAt_ > knobs_.lapseTime) {
    return {};
  }
  const double elapsed = std::chrono::duration<double>(now - updatedAt_).count();
  double reached = std::max(0.0, placesPerSecond_.value_or(0) * elapsed);
  Callers waiting = waiting_;
  for (double& callers : waiting) {
    const double left = std::min(callers, reached);
    callers -= left;
    reached -= left;
  }
  return waiting;
}

void ReturnSchedule::advance(Instant now) {
  waiting_ = waitingAt(now);
  updatedAt_ = now;
}

void ReturnSchedule::setCompletionRate(std::optional<double> completedPerSecond, Instant now) {
  advance(now);
  placesPerSecond_ = completedPerSecond;
  if (placesPerSecond_) {
    *placesPerSecond_ *= knobs_.returningShare;
  }
}

std::optional<Duration> ReturnSchedule::placeOf(ReturnClass returnClass) const {
  if (!placesPerSecond_) {
    return knobs_.delayAtUnknownRate;
  }
  // A slower rate has the same result as none: nobody waits an hour.
  constexpr double kSlowestPlacesPerSecond = 1.0 / 3600;
  if (*placesPerSecond_ < kSlowestPlacesPerSecond) {
    return std::nullopt;
  }
  const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(returnClass) + 1;
  const double ahead = std::accumulate(waiting_.begin(), end, 0.0);
  return knobs_.minimumDelay + scaled(seconds(1), ahead / *placesPerSecond_);
}

Duration ReturnSchedule::assign(const RefusedCaller& caller, Instant now, RandomSource& random) {
  advance(now);
  refusedAt_ = now;
  const Duration longest = scaled(std::max(Duration::zero(), caller.timeLeft), knobs_.longestShare);
  const std::optional<Duration> place = placeOf(caller.returnClass);
  if (!place || *place > longest) {
    // Callers that cannot wait for their place return as late as they can, spread over time too.
    return scaled(longest, 1.0 - knobs_.spread * random.fraction());
  }
  waiting_[static_cast<std::size_t>(caller.returnClass)] += 1;
  const double factor = 1.0 + knobs_.spread * (random.fraction() - 0.5);
  return std::min(longest, scaled(*place, factor));
}

double ReturnSchedule::callersAhead(Instant now) const {
  const Callers waiting = waitingAt(now);
  return std::accumulate(waiting.begin(), waiting.end(), 0.0);
}

}  // namespace gorsetrail::routing
