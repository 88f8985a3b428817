#include "bench/relay/latency_samples.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::bench {

void LatencySamples::append(const LatencySamples& other) {
  samples_.insert(samples_.end(), other.samples_.begin(), other.samples_.end());
}

double LatencySamples::percentileMilliseconds(double fraction) const {
  if (samples_.empty()) {
    return 0.0;
  }
  std::vector<Duration> sorted = samples_;
  const auto rank =
      static_cast<std::ptrdiff_t>(std::floor(fraction * static_cast<double>(sorted.size() - 1)));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return toMilliseconds(sorted[static_cast<std::size_t>(rank)]);
}

}  // namespace gorsetrail::bench
