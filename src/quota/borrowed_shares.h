/// \file What a coordinator has borrowed of the limits of one partition. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace gorsetrail::quota {

/// Sums the shares that nodes lend, and their integral over time: a tenant's tokens are its rate
/// times that integral, whatever nodes came and went in between.
class BorrowedShares {
 public:
  /// A node's share, until that moment. Times never go back between calls.
  void onLend(const std::string& node, double share, Instant until, Instant now);
  /// \return the part of each limit that is borrowed now, 0 to 1.
  double share(Instant now);
  /// \return how often the shares fell below half: others may have granted since.
  std::uint64_t losses(Instant now);
  /// \return the integral of `share` at the last time that they did, in seconds.
  [[nodiscard]] double secondsAtLoss() const { return secondsAtLoss_; }
  /// \return the integral of `share` since the start, in seconds.
  double shareSeconds(Instant now);

 private:
  struct Lend {
    double share = 0;
    Instant until;
  };
  void advance(Instant now);
  void integrateTo(Instant moment);

  std::unordered_map<std::string, Lend> byNode_;
  double sum_ = 0;
  double integral_ = 0;
  std::uint64_t losses_ = 0;
  double secondsAtLoss_ = 0;
  Instant integratedTo_{};
  /// No lend ends before this moment.
  Instant nextEnd_ = Instant::max();
};

}  // namespace gorsetrail::quota
