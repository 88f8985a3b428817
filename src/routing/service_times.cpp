#include "routing/service_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// Time constant of the recent requests: admission has to react within about a second, and shorter
/// means of 5 to 10 turns a second would be noise.
constexpr Duration kRecentTime = seconds(1);
/// Recent requests below which `inflation` is 1: the last answers are then several seconds old.
constexpr double kMinimumRecentRequests = 0.05;
/// Rates below this are not reported; a digest rounds them to 0.
constexpr double kMinimumReportedRate = 1.0 / 16;
/// Measurements of less weight are not reported; a digest would round them to 0.
constexpr double kMinimumReportedSamples = 0.1;

/// Time constant of `Replica::timeFactor`. The first nodes that notice a delay are heard one or two
/// digest periods (100 ms) before those that have measured nothing unusual.
constexpr Duration kSmoothingTime = milliseconds(400);

bool deviates(double logFactor) { return std::abs(logFactor) >= std::log(kReportedDeviation); }

Duration scaled(Duration span, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

double mergedFactorOf(const Replica& replica, Instant now) {
  return mergedTimeFactor(replica.speed, replica.othersTimeFactor, replica.othersTimeSamples, now);
}

/// Moves the factor towards the measured one.
void smooth(double& factor, double measured, Duration elapsed) {
  if (factor == 1.0 && measured == 1.0) {
    return;
  }
  const double elapsedShare =
      static_cast<double>(elapsed.count()) / static_cast<double>(kSmoothingTime.count());
  const double weight = 1.0 - std::exp(-std::max(0.0, elapsedShare));
  factor *= std::pow(measured / factor, weight);
}

}  // namespace

ServiceTimes::RecentRequests ServiceTimes::RecentRequests::at(Instant now) const {
  const double elapsed = static_cast<double>((now - updatedAt).count());
  const double keep = std::exp(-std::max(0.0, elapsed / static_cast<double>(kRecentTime.count())));
  return {completed * keep, rejected * keep, milliseconds * keep, expectedMilliseconds * keep, now};
}

ServiceTimes::PerService& ServiceTimes::serviceAt(std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return found->second;
  }
  if (services_.size() >= kMaximumServices) {
    services_.erase(std::min_element(
        services_.begin(), services_.end(), [](const auto& left, const auto& right) {
          return left.second.recent.updatedAt < right.second.recent.updatedAt;
        }));
  }
  return services_[std::string(service)];
}

const ServiceTimes::PerService* ServiceTimes::find(std::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

void ServiceTimes::noteAnswer(Replica& replica, const AnsweredRequest& answered, bool hadFreeSlot,
                              Instant now) {
  PerService& service = serviceAt(replica.entry.service);
  const auto expected = service.model.expected(answered.events, answered.promptTokens);
  service.recent = service.recent.at(now);
  service.recent.completed += 1.0;
  if (expected) {
    // A replica that is slower than the others without any load does not count as overloaded. All
    // replicas being slower does: the model then comes from better times.
    const double slower = std::max(1.0, replica.timeFactor) /
                          std::max(1.0, std::min(service.medianTimeFactor, replica.timeFactor));
    service.recent.milliseconds += toMilliseconds(answered.duration);
    service.recent.expectedMilliseconds += toMilliseconds(*expected) * slower;
  }
  if (!hadFreeSlot) {
    return;
  }
  if (expected && knobs_.measuresSpeeds) {
    replica.speed.note(answered.duration, *expected, now);
  }
  service.model.learn(answered);
}

void ServiceTimes::noteRejection(std::string_view service, Instant now) {
  RecentRequests& recent = serviceAt(service).recent;
  recent = recent.at(now);
  recent.rejected += 1.0;
}

std::vector<ReplicaSpeedChange> ServiceTimes::updateSpeeds(const std::vector<ReplicaPtr>& replicas,
                                                           Instant now) {
  std::vector<ReplicaSpeedChange> changes;
  slowReplicas_ = 0;
  const Duration elapsed = now - std::exchange(speedsUpdatedAt_, now);
  if (!knobs_.measuresSpeeds) {
    return changes;
  }
  for (const ReplicaPtr& replica : replicas) {
    smooth(replica->timeFactor, mergedFactorOf(*replica, now), elapsed);
    slowReplicas_ += replica->timeFactor >= kSlowTimeFactor ? 1 : 0;
    if (replica->slowness.update(replica->timeFactor, now)) {
      const double samples = replica->speed.samples(now) + replica->othersTimeSamples;
      changes.push_back({replica, replica->slowness.isSlow(), samples});
    }
  }
  updateMedians(replicas, now);
  return changes;
}

void ServiceTimes::updateMedians(const std::vector<ReplicaPtr>& replicas, Instant now) {
  std::map<std::string_view, std::vector<double>> factors;
  for (const ReplicaPtr& replica : replicas) {
    if (replica->othersTimeSamples > 0 || replica->speed.samples(now) > kMinimumReportedSamples) {
      factors[replica->entry.service].push_back(replica->timeFactor);
    }
  }
  for (auto& [name, service] : services_) {
    const auto found = factors.find(name);
    service.medianTimeFactor = 1.0;
    if (found != factors.end()) {
      std::vector<double>& values = found->second;
      const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
      std::nth_element(values.begin(), middle, values.end());
      service.medianTimeFactor = *middle;
    }
  }
}

std::optional<Duration> ServiceTimes::unloadedDuration(std::string_view service,
                                                       const WorkSize& size) const {
  const PerService* const known = find(service);
  return known == nullptr ? std::nullopt : known->model.typical(size);
}

std::optional<Duration> ServiceTimes::expectedDuration(const Replica& replica,
                                                       const WorkSize& size) const {
  const auto unloaded = unloadedDuration(replica.entry.service, size);
  if (!unloaded) {
    return std::nullopt;
  }
  // Every slot becomes free once per duration, so that each request ahead of this one in the queue
  // costs one duration divided by the number of slots.
  const double slots = std::max(1U, replica.entry.slots);
  const double waiting = std::max(0.0, replica.load() + 1.0 - slots);
  return scaled(*unloaded, replica.timeFactor * (1.0 + waiting / slots));
}

std::optional<Duration> ServiceTimes::shortestFirstByte(const Replica& replica,
                                                        const WorkSize& /*size*/) const {
  const auto low = shortestFirstByte(replica.entry.service);
  return low ? std::optional(scaled(*low, replica.timeFactor)) : std::nullopt;
}

std::optional<Duration> ServiceTimes::shortestFirstByte(std::string_view service) const {
  const PerService* const known = find(service);
  return known == nullptr ? std::nullopt : known->model.lowFirstByte();
}

ServiceReport ServiceTimes::reportOf(std::string_view name, const PerService& service,
                                     Instant now) {
  const RecentRequests recent = service.recent.at(now);
  const double secondsCovered = toMilliseconds(kRecentTime) / 1000.0;
  ServiceReport report;
  report.service = nameHashOf(name);
  report.completedPerSecond = recent.completed / secondsCovered;
  report.rejectedPerSecond = recent.rejected / secondsCovered;
  if (recent.completed >= kMinimumRecentRequests && recent.expectedMilliseconds > 0) {
    report.inflation = recent.milliseconds / recent.expectedMilliseconds;
  }
  return report;
}

ServiceReport ServiceTimes::report(std::string_view service, Instant now) const {
  const PerService* const known = find(service);
  if (known == nullptr) {
    ServiceReport nothing;
    nothing.service = nameHashOf(service);
    return nothing;
  }
  return reportOf(service, *known, now);
}

std::vector<ServiceReport> ServiceTimes::reports(Instant now) const {
  std::vector<ServiceReport> reports;
  for (const auto& [name, service] : services_) {
    const ServiceReport report = reportOf(name, service, now);
    if (report.completedPerSecond >= kMinimumReportedRate ||
        report.rejectedPerSecond >= kMinimumReportedRate) {
      reports.push_back(report);
    }
  }
  return reports;
}

std::vector<ReplicaSpeedReport> ServiceTimes::speedReports(const std::vector<ReplicaPtr>& replicas,
                                                           Instant now) const {
  std::vector<ReplicaSpeedReport> reports;
  for (const ReplicaPtr& replica : replicas) {
    const double samples = replica->speed.samples(now);
    if (samples < kMinimumReportedSamples) {
      continue;
    }
    const double own = replica->speed.meanLog();
    // Once other nodes' reports make a replica seem slow, measurements that contradict them are
    // reported too. Otherwise only the outliers among the nodes would be heard.
    if (deviates(own * samples / (samples + kSpeedPriorSamples)) ||
        deviates(std::log(mergedFactorOf(*replica, now)))) {
      reports.push_back(
          {replicaHashOf(replica->entry.id, replica->entry.startedAt), std::exp(own), samples});
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const ReplicaSpeedReport& left, const ReplicaSpeedReport& right) {
              return left.samples > right.samples;
            });
  if (reports.size() > kMaximumSpeedReports) {
    reports.resize(kMaximumSpeedReports);
  }
  return reports;
}

std::map<std::string, double> ServiceTimes::inflations(Instant now) const {
  std::map<std::string, double> inflations;
  for (const auto& [name, service] : services_) {
    inflations.emplace(name, reportOf(name, service, now).inflation);
  }
  return inflations;
}

}  // namespace gorsetrail::routing
