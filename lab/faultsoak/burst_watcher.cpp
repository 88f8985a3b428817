#include "lab/faultsoak/burst_watcher.h"

#include <algorithm>

namespace gorsetrail::lab {

void BurstWatcher::onBurstEnd(Instant now) {
  endedAt_ = now;
  starts_.clear();
}

void BurstWatcher::onStart(const std::string& program, Instant now) {
  if (!endedAt_ || now < *endedAt_ + limits_.recovery ||
      now >= *endedAt_ + limits_.recovery + limits_.window) {
    return;
  }
  starts_[program] = {now, std::nullopt};
}

void BurstWatcher::onTurn(const std::string& program, Instant now) {
  const auto found = starts_.find(program);
  if (found != starts_.end() && !found->second.servedAt) {
    found->second.servedAt = now;
  }
}

void BurstWatcher::check() {
  const auto inTime = static_cast<std::size_t>(
      std::count_if(starts_.begin(), starts_.end(), [this](const auto& entry) {
        const Start& start = entry.second;
        return start.servedAt && *start.servedAt - start.at <= limits_.inTime;
      }));
  const auto wanted = limits_.leastInTime * static_cast<double>(starts_.size());
  if (starts_.size() < limits_.leastStarts || static_cast<double>(inTime) < wanted) {
    violations_.add({"programs_that_start_after_a_burst_are_in_time", "",
                     std::to_string(inTime) + " of " + std::to_string(starts_.size())});
  }
}

}  // namespace gorsetrail::lab
