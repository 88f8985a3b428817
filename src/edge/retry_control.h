/// \file Retry delays and retry budgets of all services of one node. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/completion_rate.h"
#include "routing/fleet_load.h"
#include "routing/retry_budget.h"
#include "routing/return_schedule.h"

namespace gorsetrail::edge {

/// Settings of `RetryControl`.
struct RetryControlKnobs {
  bool schedulesReturns = false;  ///< False: callers keep their fixed retry delays.
  bool limitsRetries = false;     ///< False: dispatches after refusals are not limited.
  routing::ReturnScheduleKnobs schedule{};
  routing::RetryBudgetKnobs budget{};
};

/// Callers of a service that were refused and have not reached their place in the retry order.
struct ReturnScheduleLength {
  std::string service;
  std::uint64_t callers = 0;
};

/// Keeps the return schedule and the retry budget of each service, and the completion rates that
/// both depend on. Its state is bounded by the number of configured services.
class RetryControl {
 public:
  explicit RetryControl(RetryControlKnobs knobs = {}, std::uint64_t seed = 1)
      : knobs_(knobs), random_(seed) {}

  /// Counts a request that a replica of the service answered successfully.
  void onAnswered(std::string_view service, Instant now);
  /// Takes over the completion rates of the other nodes.
  /// \param otherNodes number of other nodes in service.
  void updateFleet(const routing::FleetReports& reports, std::size_t otherNodes);
  /// Takes a place in the retry order; call it once for each refused request.
  /// \return the retry delay; empty while schedules are off.
  [[nodiscard]] std::optional<Duration> assignDelay(std::string_view service,
                                                    const routing::RefusedCaller& caller,
                                                    Instant now);
  /// Takes a token for a dispatch after a refusal by a replica.
  /// \return whether the request may be dispatched again; always true while budgets are off.
  [[nodiscard]] bool mayDispatchAgain(std::string_view service, Instant now);

  /// \return the dispatches that the retry budget has withheld.
  [[nodiscard]] std::uint64_t retriesWithheld() const { return retriesWithheld_; }
  /// \return the lengths of the schedules, without empty ones.
  [[nodiscard]] std::vector<ReturnScheduleLength> scheduleLengths(Instant now) const;

 private:
  struct ServiceState {
    routing::NameHash hash;
    routing::ReturnSchedule schedule;
    routing::RetryBudget budget;
    routing::CompletionRate completions{};    ///< Of this node.
    std::optional<double> othersPerSecond{};  ///< Of all other nodes; empty without digests.
  };
  [[nodiscard]] ServiceState& stateOf(std::string_view service);
  /// \return this node's share of the service's completion rate; empty while unknown.
  [[nodiscard]] std::optional<double> ownShareOfRate(const ServiceState& state, Instant now) const;

  RetryControlKnobs knobs_;
  RandomSource random_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::size_t otherNodes_ = 0;
  std::uint64_t retriesWithheld_ = 0;
};

}  // namespace gorsetrail::edge
