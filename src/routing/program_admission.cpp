#include "routing/program_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsetrail::routing {

std::string_view programRefusalCauseName(ProgramRefusalCause cause) {
  switch (cause) {
    case ProgramRefusalCause::Load:
      return "load";
    case ProgramRefusalCause::Pace:
      return "pace";
    case ProgramRefusalCause::OwnRequests:
      break;
  }
  return "own_requests";
}

ServiceReport mergedReport(const ServiceReport& first, const ServiceReport& second) {
  ServiceReport sum;
  sum.service = first.service;
  sum.completedPerSecond = first.completedPerSecond + second.completedPerSecond;
  sum.rejectedPerSecond = first.rejectedPerSecond + second.rejectedPerSecond;
  if (sum.completedPerSecond > 0) {
    sum.inflation = (first.inflation * first.completedPerSecond +
                     second.inflation * second.completedPerSecond) /
                    sum.completedPerSecond;
  }
  return sum;
}

double rejectedFractionOf(const ServiceReport& report) {
  const double dispatched = report.completedPerSecond + report.rejectedPerSecond;
  return dispatched > 0 ? report.rejectedPerSecond / dispatched : 0.0;
}

std::vector<ProgramLimitReport> ProgramAdmission::update(const std::vector<ProgramSignal>& signals,
                                                         OtherNodes others, Instant now) {
  others_ = others;
  std::map<std::string, State, std::less<>> previous = std::exchange(states_, {});
  std::vector<ProgramLimitReport> reports;
  for (const ProgramSignal& signal : signals) {
    State state;
    state.limit = state.reportedLimit = knobs_.initialLimit;
    if (const auto found = previous.find(signal.service); found != previous.end()) {
      state = found->second;
    }
    adapt(state, signal, now);
    addStarts(state, signal.load, now);
    if (mustReport(state, now)) {
      reports.push_back({signal.service, state.limit, signal.load.perSlot(),
                         signal.report.inflation, rejectedFractionOf(signal.report)});
    }
    states_.insert_or_assign(signal.service, state);
  }
  return reports;
}

bool ProgramAdmission::isOverloaded(const ServiceReport& report) const {
  return report.inflation > knobs_.maximumInflation ||
         rejectedFractionOf(report) > knobs_.maximumRejectedFraction;
}

void ProgramAdmission::adapt(State& state, const ProgramSignal& signal, Instant now) const {
  const double load = signal.load.perSlot();
  if (!isLoadKnown() || load < knobs_.usedFraction * state.limit) {
    return;
  }
  if (isOverloaded(signal.report)) {
    const bool isGoverned = load <= knobs_.governedMultiple * state.limit;
    const bool isSettled =
        !state.lastDecreaseAt || now - *state.lastDecreaseAt >= knobs_.decreaseInterval;
    if (isGoverned && isSettled) {
      state.limit = std::max(knobs_.minimumLimit, state.limit * knobs_.decreaseFactor);
      state.lastDecreaseAt = now;
    }
  } else if (signal.report.completedPerSecond > 0) {
    // Without completed requests nothing shows that turns are within the bound.
    state.limit = std::min(knobs_.maximumLimit, state.limit + knobs_.increase);
  }
}

void ProgramAdmission::addStarts(State& state, const ServiceLoad& load, Instant now) const {
  if (load.perSlot() >= knobs_.usedFraction * state.limit) {
    state.lastUsedAt = now;
  }
  state.isPaced = state.lastUsedAt && now - *state.lastUsedAt <= knobs_.paceTime;
  const double most = std::max(1.0, knobs_.savedStarts * load.slots / nodeCount());
  for (const bool isMostUrgent : {true, false}) {
    const double room = limitFor(state.limit, isMostUrgent) * load.slots - load.requests;
    double& starts = state.starts[isMostUrgent ? 0 : 1];
    starts = std::min(most, starts + std::max(0.0, room) / nodeCount());
  }
}

bool ProgramAdmission::takeStart(State& state, bool isMostUrgent) const {
  double& starts = state.starts[isMostUrgent ? 0 : 1];
  if (state.isPaced && starts < 1) {
    return false;
  }
  starts = std::max(0.0, starts - 1);
  return true;
}

bool ProgramAdmission::mustReport(State& state, Instant now) const {
  const double change = std::abs(state.limit - state.reportedLimit);
  const bool isTooSoon = state.lastReportAt && now - *state.lastReportAt < knobs_.reportInterval;
  if (isTooSoon || change < knobs_.reportedChange * state.reportedLimit) {
    return false;
  }
  state.reportedLimit = state.limit;
  state.lastReportAt = now;
  return true;
}

ProgramDecision ProgramAdmission::decide(const ProgramStart& start, const ServiceLoad& load) {
  if (load.slots <= 0) {
    return ProgramAdmitted{};
  }
  const bool isMostUrgent = start.priority == 0;
  const double limit = limitFor(limitOf(start.service), isMostUrgent);
  ProgramDecision decision = ProgramAdmitted{};
  if (!isLoadKnown()) {
    decision = decideByOwnRequests(limit, load);
  } else if (load.perSlot() >= limit) {
    decision = ProgramNotAdmitted{ProgramRefusalCause::Load, limit, load.perSlot()};
  } else if (const auto found = states_.find(start.service);
             found != states_.end() && !takeStart(found->second, isMostUrgent)) {
    decision = ProgramNotAdmitted{ProgramRefusalCause::Pace, limit, load.perSlot()};
  }
  refusals_ += std::holds_alternative<ProgramNotAdmitted>(decision) ? 1 : 0;
  return decision;
}

// A share below one request counts as one: otherwise a fleet with more nodes than slots would start
// nothing while its digests are lost.
ProgramDecision ProgramAdmission::decideByOwnRequests(double limit, const ServiceLoad& load) const {
  const double share = std::max(1.0, limit * load.slots / nodeCount());
  if (load.ownRequests + 1 <= share) {
    return ProgramAdmitted{};
  }
  return ProgramNotAdmitted{ProgramRefusalCause::OwnRequests, limit,
                            load.ownRequests * nodeCount() / load.slots};
}

double ProgramAdmission::limitOf(std::string_view service) const {
  const auto found = states_.find(service);
  return found == states_.end() ? knobs_.initialLimit : found->second.limit;
}

std::map<std::string, double, std::less<>> ProgramAdmission::limits() const {
  std::map<std::string, double, std::less<>> limits;
  for (const auto& [service, state] : states_) {
    limits.emplace(service, state.limit);
  }
  return limits;
}

}  // namespace gorsetrail::routing
