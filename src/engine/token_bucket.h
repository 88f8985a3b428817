/// \file Token bucket over injected time; may go into debt, so that a late settlement counts.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace gorsetrail::engine {

/// Refills steadily up to its capacity.
class TokenBucket {
 public:
  /// \param capacity most tokens it holds; it starts full.
  /// \param refillPerSecond tokens added each second.
  TokenBucket(double capacity, double refillPerSecond)
      : capacity_(capacity), refillPerSecond_(refillPerSecond), level_(capacity) {}

  /// Takes `amount` if all of it is there.
  bool tryTake(double amount, Instant now) {
    refill(now);
    if (level_ < amount) {
      return false;
    }
    level_ -= amount;
    return true;
  }

  /// Takes `amount` (gives it back if negative), into debt if need be.
  void charge(double amount, Instant now) {
    refill(now);
    level_ = std::min(capacity_, level_ - amount);
  }

  /// \return time until `amount` (at most the capacity) is there; zero when it is.
  [[nodiscard]] Duration timeUntil(double amount, Instant now) {
    refill(now);
    const double missing = std::min(amount, capacity_) - level_;
    if (missing <= 0.0) {
      return Duration::zero();
    }
    if (refillPerSecond_ <= 0.0) {
      return kNever;
    }
    const double wait = missing / refillPerSecond_ * kMicrosecondsPerSecond;
    return Duration(
        static_cast<Duration::rep>(std::min(wait, static_cast<double>(kNever.count()))));
  }

  /// \return tokens there now; negative in debt.
  [[nodiscard]] double level(Instant now) {
    refill(now);
    return level_;
  }

  /// Changes size and rate; the level is cut to the new capacity.
  void resize(double capacity, double refillPerSecond, Instant now) {
    refill(now);
    capacity_ = capacity;
    refillPerSecond_ = refillPerSecond;
    level_ = std::min(level_, capacity_);
  }

  /// Wait reported by a bucket that never refills.
  static constexpr Duration kNever = std::chrono::hours(24);

 private:
  static constexpr double kMicrosecondsPerSecond = 1e6;

  void refill(Instant now) {
    if (!started_ || now <= last_) {
      last_ = started_ ? last_ : now;
      started_ = true;
      return;
    }
    const double passed = static_cast<double>((now - last_).count()) / kMicrosecondsPerSecond;
    level_ = std::min(capacity_, level_ + passed * refillPerSecond_);
    last_ = now;
  }

  double capacity_;
  double refillPerSecond_;
  double level_;
  Instant last_{};
  bool started_ = false;
};

}  // namespace gorsetrail::engine
