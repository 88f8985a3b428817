#include "edge/retry_control.h"

#include <cmath>

namespace gorsetrail::edge {

RetryControl::ServiceState& RetryControl::stateOf(std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return found->second;
  }
  ServiceState state{routing::nameHashOf(service), routing::ReturnSchedule(knobs_.schedule),
                     routing::RetryBudget(knobs_.budget)};
  return services_.emplace(service, state).first->second;
}

void RetryControl::onAnswered(std::string_view service, Instant now) {
  if (!knobs_.schedulesReturns && !knobs_.limitsRetries) {
    return;
  }
  ServiceState& state = stateOf(service);
  state.completions.onCompleted(now);
  state.budget.onAnswered(state.completions.perSecond(now).value_or(0), now);
}

void RetryControl::updateFleet(const routing::FleetReports& reports, std::size_t otherNodes) {
  otherNodes_ = otherNodes;
  for (auto& [service, state] : services_) {
    const auto report = reports.services.find(state.hash);
    state.othersPerSecond = report == reports.services.end()
                                ? std::nullopt
                                : std::optional(report->second.completedPerSecond);
  }
}

std::optional<double> RetryControl::ownShareOfRate(const ServiceState& state, Instant now) const {
  const std::optional<double> own = state.completions.perSecond(now);
  if (!state.othersPerSecond) {
    return own;
  }
  return (own.value_or(0) + *state.othersPerSecond) / static_cast<double>(otherNodes_ + 1);
}

std::optional<Duration> RetryControl::assignDelay(std::string_view service,
                                                  const routing::RefusedCaller& caller,
                                                  Instant now) {
  if (!knobs_.schedulesReturns) {
    return std::nullopt;
  }
  ServiceState& state = stateOf(service);
  state.schedule.setCompletionRate(ownShareOfRate(state, now), now);
  return state.schedule.assign(caller, now, random_);
}

bool RetryControl::mayDispatchAgain(std::string_view service, Instant now) {
  if (!knobs_.limitsRetries || stateOf(service).budget.takeToken(now)) {
    return true;
  }
  ++retriesWithheld_;
  return false;
}

std::vector<ReturnScheduleLength> RetryControl::scheduleLengths(Instant now) const {
  std::vector<ReturnScheduleLength> lengths;
  for (const auto& [service, state] : services_) {
    const double callers = std::ceil(state.schedule.callersAhead(now));
    if (callers > 0) {
      lengths.push_back({service, static_cast<std::uint64_t>(callers)});
    }
  }
  return lengths;
}

}  // namespace gorsetrail::edge
