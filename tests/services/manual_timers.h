/// \file Timers that the test lets run out by hand.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "services/timer_service.h"

namespace gorsetrail::services::testing {

class ManualTimers : public TimerService {
 public:
  void runAfter(Duration delay, std::function<void()> work) override {
    delays.push_back(delay);
    pending.push_back(std::move(work));
  }
  /// Lets the oldest timer run out.
  void fireFirst() {
    const std::function<void()> work = std::move(pending.front());
    pending.pop_front();
    work();
  }

  std::vector<Duration> delays;  ///< Of every timer so far.
  std::deque<std::function<void()>> pending;
};

}  // namespace gorsetrail::services::testing
