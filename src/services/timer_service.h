/// \file Delayed work without Asio in the header, so that pacing is tested without a clock.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::services {

/// Work that is due later. Destroying it drops the work.
class Timer {
 public:
  virtual ~Timer() = default;
};
using TimerPtr = std::unique_ptr<Timer>;

/// Calls back once after a delay, on the I/O thread.
class TimerService {
 public:
  virtual ~TimerService() = default;
  virtual void runAfter(Duration delay, std::function<void()> work) = 0;
  /// As `runAfter`, for work that may become needless long before it is due: what the work refers
  /// to is freed as soon as the timer is destroyed.
  [[nodiscard]] virtual TimerPtr startTimer(Duration delay, std::function<void()> work);
};
using TimerServicePtr = std::unique_ptr<TimerService>;

/// \param context outlives the service. Destroying the service drops all pending work.
TimerServicePtr makeTimerService(boost::asio::io_context& context);

}  // namespace gorsetrail::services
