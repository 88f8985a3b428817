#include "routing/service_time_model.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::routing {
namespace {

constexpr double kTokensPerKiloToken = 1000.0;
/// Smallest prediction relative to the mean duration. A linear fit could otherwise extrapolate to
/// zero.
constexpr double kSmallestShareOfMean = 0.2;
/// The low quantile is computed again after this many samples.
constexpr std::size_t kQuantilePeriod = 8;

Duration durationOf(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1000.0));
}

}  // namespace

void ServiceTimeModel::learn(const AnsweredRequest& answered) {
  addFirstByte(answered.firstByte);
  const Point point{static_cast<double>(answered.events),
                    static_cast<double>(answered.promptTokens) / kTokensPerKiloToken,
                    toMilliseconds(answered.duration)};
  if (sums_.weight > 0) {
    add(bounded(point));
    fit();
    return;
  }
  firstPoints_.push_back(point);
  if (firstPoints_.size() >= knobs_.minimumSamples) {
    addFirstPoints();
  }
}

void ServiceTimeModel::addFirstPoints() {
  std::vector<double> times;
  times.reserve(firstPoints_.size());
  for (const Point& point : firstPoints_) {
    times.push_back(point.milliseconds);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  for (Point point : firstPoints_) {
    point.milliseconds = std::clamp(point.milliseconds, *middle * knobs_.lowestFirstRatio,
                                    *middle * knobs_.highestFirstRatio);
    add(point);
  }
  fit();
  // The bounds around the median ignore the sizes of the requests. Bounds around the fit do not.
  constexpr int kRefinements = 3;
  for (int refinement = 0; refinement < kRefinements; ++refinement) {
    sums_ = {};
    for (const Point& point : firstPoints_) {
      add(bounded(point));
    }
    fit();
  }
  firstPoints_ = {};
}

ServiceTimeModel::Point ServiceTimeModel::bounded(const Point& point) const {
  const double expected = expectedMilliseconds(point.events, point.kiloTokens);
  Point result = point;
  result.milliseconds =
      std::clamp(point.milliseconds, expected * knobs_.lowestRatio, expected * knobs_.highestRatio);
  return result;
}

void ServiceTimeModel::add(const Point& point) {
  const double keep = 1.0 - 1.0 / knobs_.memorySamples;
  const auto update = [keep](double& sum, double value) { sum = sum * keep + value; };
  update(sums_.weight, 1.0);
  update(sums_.mean.events, point.events);
  update(sums_.mean.kiloTokens, point.kiloTokens);
  update(sums_.mean.milliseconds, point.milliseconds);
  update(sums_.eventsEvents, point.events * point.events);
  update(sums_.eventsTokens, point.events * point.kiloTokens);
  update(sums_.tokensTokens, point.kiloTokens * point.kiloTokens);
  update(sums_.eventsTime, point.events * point.milliseconds);
  update(sums_.tokensTime, point.kiloTokens * point.milliseconds);
}

// Least squares around the mean. A request never gets shorter by more events or a longer prompt, so
// that a negative slope is an artefact of few samples; the other slope is then fitted alone.
void ServiceTimeModel::fit() {
  const double weight = sums_.weight;
  center_ = {sums_.mean.events / weight, sums_.mean.kiloTokens / weight,
             sums_.mean.milliseconds / weight};
  const double prior = knobs_.slopePriorSamples;
  const double eventsMeanSquare = sums_.eventsEvents / weight;
  const double tokensMeanSquare = sums_.tokensTokens / weight;
  const double ee =
      sums_.eventsEvents - weight * center_.events * center_.events + prior * eventsMeanSquare;
  const double tt = sums_.tokensTokens - weight * center_.kiloTokens * center_.kiloTokens +
                    prior * tokensMeanSquare;
  const double et = sums_.eventsTokens - weight * center_.events * center_.kiloTokens;
  const double ey = sums_.eventsTime - weight * center_.events * center_.milliseconds;
  const double ty = sums_.tokensTime - weight * center_.kiloTokens * center_.milliseconds;
  const double eventsAlone = ee > 0 ? std::max(0.0, ey / ee) : 0.0;
  const double tokensAlone = tt > 0 ? std::max(0.0, ty / tt) : 0.0;
  const double determinant = ee * tt - et * et;
  millisecondsPerEvent_ = eventsAlone;
  millisecondsPerKiloToken_ = tokensAlone;
  if (ee <= 0 || tt <= 0 || determinant <= 0) {
    // At least one of the two is the same for all requests.
    return;
  }
  const double perEvent = (ey * tt - ty * et) / determinant;
  const double perKiloToken = (ty * ee - ey * et) / determinant;
  millisecondsPerEvent_ = perKiloToken < 0 ? eventsAlone : std::max(0.0, perEvent);
  millisecondsPerKiloToken_ = perEvent < 0 ? tokensAlone : std::max(0.0, perKiloToken);
}

double ServiceTimeModel::expectedMilliseconds(double events, double kiloTokens) const {
  const double linear = center_.milliseconds + millisecondsPerEvent_ * (events - center_.events) +
                        millisecondsPerKiloToken_ * (kiloTokens - center_.kiloTokens);
  return std::max(linear, center_.milliseconds * kSmallestShareOfMean);
}

std::optional<Duration> ServiceTimeModel::expected(std::uint64_t events,
                                                   std::uint64_t promptTokens) const {
  if (sums_.weight <= 0) {
    return std::nullopt;
  }
  return durationOf(expectedMilliseconds(static_cast<double>(events),
                                         static_cast<double>(promptTokens) / kTokensPerKiloToken));
}

std::optional<Duration> ServiceTimeModel::typical(const WorkSize& size) const {
  if (sums_.weight <= 0) {
    return std::nullopt;
  }
  // Each event carries at least one token. 0: the request states no limit.
  const double limit = static_cast<double>(size.maximumTokens);
  const double events = limit > 0 ? std::min(limit, center_.events) : center_.events;
  return durationOf(
      expectedMilliseconds(events, static_cast<double>(size.promptTokens) / kTokensPerKiloToken));
}

void ServiceTimeModel::addFirstByte(Duration firstByte) {
  firstBytes_[firstByteCount_ % kFirstBytes] = firstByte;
  ++firstByteCount_;
  if (firstByteCount_ < knobs_.minimumFirstBytes || firstByteCount_ % kQuantilePeriod != 0) {
    return;
  }
  std::array<Duration, kFirstBytes> sorted = firstBytes_;
  const std::size_t count = std::min(firstByteCount_, kFirstBytes);
  const auto rank =
      static_cast<std::ptrdiff_t>(static_cast<double>(count) * knobs_.firstByteQuantile);
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  lowFirstByte_ = sorted[static_cast<std::size_t>(rank)];
}

std::optional<Duration> ServiceTimeModel::lowFirstByte() const { return lowFirstByte_; }

}  // namespace gorsetrail::routing
