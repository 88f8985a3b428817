/// \file What a case writes down: one line for each thing that was sent, answered or run.
#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "wire.h"

namespace review {

/// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  void line(const std::string& text);
  [[nodiscard]] long millisecondsNow() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point startedAt_ = Clock::now();
};

}  // namespace review
