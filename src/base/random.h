/// \file Seeded random numbers, so that runs are reproducible.
#pragma once

#include <boost/random/taus88.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>

namespace gorsetrail {

/// Pseudorandom number generator with small state, so that each node can have its own.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed)
      : generator_(static_cast<std::uint32_t>(seed ^ (seed >> 32)) | 16U) {}

  /// \return a uniformly distributed number in [0, bound); 0 when `bound` is 0.
  std::uint64_t below(std::uint64_t bound) {
    if (bound == 0) {
      return 0;
    }
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator_);
  }

  /// \return a uniformly distributed number in [0, 1).
  double fraction() {
    return boost::random::uniform_real_distribution<double>(0.0, 1.0)(generator_);
  }

  /// \return the generator, for Boost.Random distributions.
  boost::random::taus88& generator() { return generator_; }

 private:
  boost::random::taus88 generator_;
};

}  // namespace gorsetrail
