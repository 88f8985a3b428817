/// \file Samples of a latency and their percentiles.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace gorsetrail::bench {

/// Gathers spans and tells their percentiles; the samples are kept whole, so percentiles are exact.
class LatencySamples {
 public:
  void add(Duration span) { samples_.push_back(span); }
  void append(const LatencySamples& other);
  [[nodiscard]] std::size_t count() const { return samples_.size(); }
  /// \param fraction in [0, 1], e.g. 0.99.
  /// \return milliseconds; 0 without samples.
  [[nodiscard]] double percentileMilliseconds(double fraction) const;

 private:
  std::vector<Duration> samples_;
};

}  // namespace gorsetrail::bench
