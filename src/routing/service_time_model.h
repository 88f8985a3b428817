/// \file Expected duration of a service's requests on unloaded replicas. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace gorsetrail::routing {

/// Size of a request, as far as its duration depends on it.
struct WorkSize {
  std::uint64_t promptTokens = 0;
  std::uint64_t maximumTokens = 0;
};

/// Measurements of one dispatch that a replica has answered completely.
struct AnsweredRequest {
  /// From the dispatch to the first byte that the client can get: to the head of the response, of a
  /// stream to the first event, since the edge sends a stream's head with it.
  Duration firstByte = Duration::zero();
  Duration duration = Duration::zero();  ///< From the dispatch to the end of the response.
  std::uint64_t events = 0;              ///< Events of the stream; 0: the answer is no stream.
  std::uint64_t promptTokens = 0;
};

/// Constants of `ServiceTimeModel`.
struct ServiceTimeKnobs {
  /// A node receives 5 to 10 turns a second, so that it has a model after about two seconds.
  std::size_t minimumSamples = 12;
  /// Effective number of samples in the averages: half a minute to a minute of a node's requests,
  /// which is slow compared with bursts and fast compared with changes of an engine.
  double memorySamples = 250;
  /// A sample counts at most by this factor above and below its expectation. Long durations have
  /// causes other than the size of the request (queues that this node does not see, slow replicas);
  /// short durations have none, so that the model follows them faster.
  double highestRatio = 1.25;
  double lowestRatio = 0.6;
  /// Bounds of the first `minimumSamples`, relative to their median.
  double highestFirstRatio = 1.8;
  double lowestFirstRatio = 0.4;
  /// Weight, in samples, of the assumption that durations do not depend on the size. Keeps the
  /// slopes of few samples small.
  double slopePriorSamples = 0.5;
  /// Answered requests before `lowFirstByte` is known.
  std::size_t minimumFirstBytes = 40;
  /// Quantile of the times to the first byte. Low, because a request is refused where it is too
  /// long.
  double firstByteQuantile = 0.02;
};

/// Durations of one service's requests on unloaded replicas of typical speed: linear in the events
/// and prompt tokens, fitted to the requests answered by replicas with free slots. A minority of
/// slow replicas or delayed requests moves the fit only a little. Its state is bounded.
class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(ServiceTimeKnobs knobs = {}) : knobs_(knobs) {}

  /// Adds a request that a replica with a free slot has answered.
  void learn(const AnsweredRequest& answered);
  /// \return the duration of a request with these events; empty until `minimumSamples` are known.
  [[nodiscard]] std::optional<Duration> expected(std::uint64_t events,
                                                 std::uint64_t promptTokens) const;
  /// \return the duration of a request with a typical number of events; empty as above.
  [[nodiscard]] std::optional<Duration> typical(const WorkSize& size) const;
  /// \return a low quantile of the time to the first byte; empty until `minimumFirstBytes` are
  /// known.
  [[nodiscard]] std::optional<Duration> lowFirstByte() const;

 private:
  /// One sample of the fit.
  struct Point {
    double events = 0;
    double kiloTokens = 0;  ///< Prompt tokens in thousands.
    double milliseconds = 0;
  };
  /// Decayed sums of the fit; averages follow by division by `weight`.
  struct Sums {
    double weight = 0;
    Point mean;  ///< Sums of the values.
    double eventsEvents = 0;
    double eventsTokens = 0;
    double tokensTokens = 0;
    double eventsTime = 0;
    double tokensTime = 0;
  };

  [[nodiscard]] double expectedMilliseconds(double events, double kiloTokens) const;
  /// \return the point with its duration within the bounds around the present fit.
  [[nodiscard]] Point bounded(const Point& point) const;
  void addFirstPoints();
  void add(const Point& point);
  void fit();
  void addFirstByte(Duration firstByte);

  static constexpr std::size_t kFirstBytes = 128;

  ServiceTimeKnobs knobs_;
  std::vector<Point> firstPoints_;  ///< Until `minimumSamples` are known; then empty.
  Sums sums_;
  // Result of the last fit.
  Point center_;
  double millisecondsPerEvent_ = 0;
  double millisecondsPerKiloToken_ = 0;
  std::array<Duration, kFirstBytes> firstBytes_{};  ///< The newest, as a ring.
  std::size_t firstByteCount_ = 0;                  ///< All that were added.
  std::optional<Duration> lowFirstByte_;
};

}  // namespace gorsetrail::routing
