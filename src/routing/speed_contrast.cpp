#include "routing/speed_contrast.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::routing {
namespace {

/// \return the weight of all nodes' measurements of the replica, in requests.
double samplesOf(const Replica& replica, Instant now) {
  return replica.speed.samples(now) + replica.othersTimeSamples;
}

/// \return the element at `index` in sorted order.
double nthSmallest(std::vector<double>& values, std::size_t index) {
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

/// \return the median of the faster half, which slow replicas do not affect while they are at most
/// three quarters; 0 for no values.
double medianOfFasterHalf(std::vector<double>& factors) {
  if (factors.empty()) {
    return 0;
  }
  const std::size_t half = (factors.size() + 1) / 2;
  return nthSmallest(factors, (half - 1) / 2);
}

}  // namespace

std::optional<double> SpeedContrast::timeFactorOf(Replica& replica, Instant now) const {
  RelativeTime& relative = replica.relativeTime;
  if (relative.toFast <= 1.0) {
    relative.measuredAt = now;
    return replica.timeFactor;
  }
  const double samples = samplesOf(replica, now);
  if (samples >= knobs_.minimumSamples) {
    relative.measuredAt = now;
    // Without the weight of the assumption that the replica is typical. Otherwise a slow replica
    // would seem to recover because it gets fewer requests.
    return std::pow(replica.timeFactor, (samples + kSpeedPriorSamples) / samples);
  }
  return now - relative.measuredAt < knobs_.memory ? std::nullopt : std::optional(1.0);
}

std::vector<SpeedContrast::Measured> SpeedContrast::measure(const std::vector<ReplicaPtr>& replicas,
                                                            Instant now) const {
  std::vector<Measured> measured;
  measured.reserve(replicas.size());
  for (const ReplicaPtr& replica : replicas) {
    if (!replica->acceptsRequests()) {
      continue;
    }
    measured.push_back({replica.get(), timeFactorOf(*replica, now)});
  }
  return measured;
}

SpeedContrast::Contrast SpeedContrast::contrastOf(const std::vector<Measured>& replicas) const {
  Contrast result;
  result.replicas = replicas.size();
  std::vector<double> factors;
  for (const Measured& entry : replicas) {
    if (entry.timeFactor) {
      factors.push_back(*entry.timeFactor);
    }
  }
  result.fastFactor = medianOfFasterHalf(factors);
  double sum = 0;
  for (const Measured& entry : replicas) {
    const double ratio = entry.timeFactor ? *entry.timeFactor / result.fastFactor
                                          : entry.replica->relativeTime.toFast;
    if (ratio >= knobs_.slowRatio) {
      ++result.slow;
      sum += ratio;
    }
  }
  if (result.slow > 0) {
    result.slowRatio = sum / static_cast<double>(result.slow);
  }
  return result;
}

bool SpeedContrast::updateState(State& state, bool differs, Instant now) const {
  if (differs == state.active) {
    state.opposedSince.reset();
    return false;
  }
  if (!state.opposedSince) {
    state.opposedSince = now;
  }
  if (now - *state.opposedSince < knobs_.confirmation) {
    return false;
  }
  state = {};
  state.active = differs;
  state.fastLoadAt = now;
  return true;
}

void SpeedContrast::updateStep(RelativeTime& relative, double ratio, bool isNew,
                               Instant now) const {
  const double bounded = std::clamp(ratio, 1.0, knobs_.maximumRelative);
  const double stepWidth = std::log(knobs_.stepRatio);
  const double steps = std::log(bounded) / stepWidth;
  const double difference = std::abs(steps - std::log(relative.toFast) / stepWidth);
  if (!isNew && difference <= knobs_.stepTolerance) {
    relative.differsSince.reset();
    return;
  }
  if (!relative.differsSince) {
    relative.differsSince = now;
  }
  if (isNew || now - *relative.differsSince >= knobs_.stepConfirmation) {
    relative.toFast = std::pow(knobs_.stepRatio, std::round(steps));
    relative.differsSince.reset();
  }
}

// Admission compares with the median replica: relative to the fast replicas, a service with a few
// fast replicas would admit less than its usual load at all others.
void SpeedContrast::updateReplicas(const std::vector<Measured>& replicas, double fastFactor,
                                   bool isNew, Instant now) const {
  std::vector<double> ratios;
  for (const Measured& entry : replicas) {
    if (entry.timeFactor) {
      updateStep(entry.replica->relativeTime, *entry.timeFactor / fastFactor, isNew, now);
    }
    ratios.push_back(entry.replica->relativeTime.toFast);
  }
  if (ratios.empty()) {
    return;
  }
  const double typical = nthSmallest(ratios, (ratios.size() - 1) / 2);
  for (const Measured& entry : replicas) {
    RelativeTime& relative = entry.replica->relativeTime;
    relative.toTypical = std::max(1.0, relative.toFast / typical);
  }
}

void SpeedContrast::updatePreferences(State& state, const std::vector<Measured>& replicas,
                                      Instant now) const {
  double load = 0;
  double slots = 0;
  for (const Measured& entry : replicas) {
    if (entry.replica->relativeTime.toFast <= 1.0) {
      load += entry.replica->load();
      slots += std::max(1U, entry.replica->entry.slots);
    }
  }
  const double elapsed = static_cast<double>((now - state.fastLoadAt).count()) /
                         static_cast<double>(knobs_.loadSmoothing.count());
  state.fastLoadAt = now;
  if (slots > 0) {
    state.fastLoad += (1.0 - std::exp(-std::max(0.0, elapsed))) * (load / slots - state.fastLoad);
  }
  state.busy = state.fastLoad >= (state.busy ? knobs_.idleLoad : knobs_.busyLoad);
  const double exponent = state.busy ? knobs_.busyExponent : knobs_.idleExponent;
  for (const Measured& entry : replicas) {
    RelativeTime& relative = entry.replica->relativeTime;
    relative.preference = std::pow(relative.toFast, -exponent);
  }
}

std::vector<SpeedSelectionChange> SpeedContrast::update(const ReplicaTable& replicas, Instant now) {
  std::vector<SpeedSelectionChange> changes;
  for (const auto& [service, list] : replicas.byService()) {
    State& state = byService_[service];
    const std::vector<Measured> measured = measure(list, now);
    const Contrast contrast = contrastOf(measured);
    const bool differs =
        contrast.slow > 0 && static_cast<double>(contrast.slow) >=
                                 knobs_.slowFraction * static_cast<double>(contrast.replicas);
    const bool changed = updateState(state, differs, now);
    if (changed) {
      changes.push_back({service, state.active, contrast.slow, contrast.slowRatio});
    }
    if (state.active) {
      updateReplicas(measured, contrast.fastFactor, changed, now);
      updatePreferences(state, measured, now);
    } else if (changed) {
      for (const ReplicaPtr& replica : list) {
        replica->relativeTime = {};
      }
    }
  }
  return changes;
}

bool SpeedContrast::isActive(std::string_view service) const {
  const auto found = byService_.find(service);
  return found != byService_.end() && found->second.active;
}

}  // namespace gorsetrail::routing
