/// \file Virtual time: actions in the order of their moments, ties in the order of scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace gorsetrail::sim {

/// The clock of one simulated run and everything that will happen in it.
class EventQueue {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] Instant now() const { return now_; }
  [[nodiscard]] std::uint64_t eventsRun() const { return eventsRun_; }

  /// Runs `action` at `at`, or next if that moment has passed.
  void schedule(Instant at, Action action);
  void scheduleAfter(Duration delay, Action action) { schedule(now_ + delay, std::move(action)); }
  /// Runs everything that is due up to and including `end`; the clock stands at `end` afterwards.
  void runUntil(Instant end);

 private:
  struct Entry {
    Instant at;
    std::uint64_t order;
    Action action;
  };
  static bool isLater(const Entry& left, const Entry& right);

  std::vector<Entry> heap_;
  Instant now_{};
  std::uint64_t nextOrder_ = 0;
  std::uint64_t eventsRun_ = 0;
};

}  // namespace gorsetrail::sim
