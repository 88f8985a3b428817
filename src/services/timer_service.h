/// \file Delayed work without Asio in the header, so that pacing is tested without a clock.
#pragma once

#include <functional>
#include <memory>
#include <utility>

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
  [[nodiscard]] virtual TimerPtr startTimer(Duration delay, std::function<void()> work) {
    auto timer = std::make_unique<WorkTimer>(std::move(work));
    runAfter(delay, [weak = timer->weakWork()] {
      if (const auto due = weak.lock()) {
        (*due)();
      }
    });
    return timer;
  }

 private:
  /// Owns the work, to which the pending call refers weakly.
  class WorkTimer final : public Timer {
   public:
    explicit WorkTimer(std::function<void()> work)
        : work_(std::make_shared<std::function<void()>>(std::move(work))) {}
    [[nodiscard]] std::weak_ptr<std::function<void()>> weakWork() const { return work_; }

   private:
    std::shared_ptr<std::function<void()>> work_;
  };
};
using TimerServicePtr = std::unique_ptr<TimerService>;

/// \param context outlives the service. Destroying the service drops all pending work.
TimerServicePtr makeTimerService(boost::asio::io_context& context);

}  // namespace gorsetrail::services
