/// \file Retry delays of callers that were refused for lack of capacity. Policy only: no I/O, no
/// clock.
///
/// With the same delay for everyone, refused callers come back simultaneously and are refused
/// again. The schedule spreads them over time at the rate at which the service becomes free.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "routing/admission_policy.h"

namespace gorsetrail::routing {

/// Retry order of refused callers: earlier classes return first.
enum class ReturnClass : std::uint8_t {
  StartedMostUrgent,   ///< The program has started, and its route has priority 0.
  Started,             ///< A refusal wastes the program's earlier turns.
  StartingMostUrgent,  ///< Nothing of the program has run yet; priority 0.
  Starting,
  Last,  ///< Overdue programs and probable infinite loops use what the others leave.
};
inline constexpr std::size_t kReturnClasses = 5;

/// \param priority of the request; 0 is the most urgent.
ReturnClass returnClassOf(WorkStage stage, std::uint32_t priority);

/// Settings of `ReturnSchedule`.
struct ReturnScheduleKnobs {
  /// Delay of a caller with no other caller ahead. Less the spread it is still 150 ms: a round trip
  /// and the 100 ms after which the nodes know changed loads. A caller that returns sooner meets
  /// the state that refused it.
  Duration minimumDelay = milliseconds(170);
  /// Delay while the completion rate is unknown: two to four turns of typical length.
  Duration delayAtUnknownRate = milliseconds(400);
  /// Fraction of the completed requests whose capacity goes to returning callers. Newly arriving
  /// requests take the rest: a returning caller has used its only retry, so it must not wait behind
  /// all of them, and more than half would keep started programs from their next turns.
  double returningShare = 0.5;
  /// Width of the random spread, as a fraction of the delay: callers with places close to each
  /// other, also at other nodes, do not return simultaneously.
  double spread = 0.25;
  /// Longest delay, as a share of the caller's time left. Clients wait at most a third of that
  /// time, by their own clock; the share stays below this limit.
  double longestShare = 0.32;
  /// Without a refusal for this long all places lapse: callers return from `minimumDelay` on, so
  /// those of the last refusals were served.
  Duration lapseTime = milliseconds(500);
};

/// A refused caller.
struct RefusedCaller {
  ReturnClass returnClass = ReturnClass::Starting;
  Duration timeLeft{};  ///< Until the caller's deadline.
};

/// Assigns places in a retry order to the refused callers of one service at one node. Its state is
/// the number of callers of each class that have not reached their place yet.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(ReturnScheduleKnobs knobs) : knobs_(knobs) {}

  /// \param completedPerSecond this node's share of the requests that the service completes; empty
  /// while unknown.
  void setCompletionRate(std::optional<double> completedPerSecond, Instant now);
  /// Takes a place for the caller, unless that lies beyond the longest delay that the caller keeps.
  /// \return its retry delay, at most `longestShare` of its time left; at least zero.
  [[nodiscard]] Duration assign(const RefusedCaller& caller, Instant now, RandomSource& random);
  /// \return the callers that have not reached their place yet.
  [[nodiscard]] double callersAhead(Instant now) const;

 private:
  using Callers = std::array<double, kReturnClasses>;

  /// \return the callers by class that have not reached their place at `now`.
  [[nodiscard]] Callers waitingAt(Instant now) const;
  /// \return how long the caller's place lies ahead, without spread; empty if it is never reached.
  [[nodiscard]] std::optional<Duration> placeOf(ReturnClass returnClass) const;
  void advance(Instant now);

  ReturnScheduleKnobs knobs_;
  std::optional<double> placesPerSecond_;
  Callers waiting_{};  ///< As of `updatedAt_`.
  Instant updatedAt_{};
  Instant refusedAt_{};
};

}  // namespace gorsetrail::routing
