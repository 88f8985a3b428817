#include "membership/update_queue.h"

#include <algorithm>

namespace gorsetrail::membership {

void UpdateQueue::add(std::uint32_t item) {
  const std::uint32_t stamp = nextStamp_++;
  for (Pending& pending : pending_) {
    if (pending.item == item) {
      pending = {item, stamp, 0};
      return;
    }
  }
  pending_.push_back({item, stamp, 0});
}

std::vector<std::uint32_t> UpdateQueue::take(std::size_t limit) {
  const std::size_t count = std::min(limit, pending_.size());
  const auto middle = pending_.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
      pending_.begin(), middle, pending_.end(), [](const Pending& left, const Pending& right) {
        return left.sent != right.sent ? left.sent < right.sent : left.stamp > right.stamp;
      });
  std::vector<std::uint32_t> items;
  items.reserve(count);
  for (auto pending = pending_.begin(); pending != middle; ++pending) {
    items.push_back(pending->item);
    ++pending->sent;
  }
  dropFinished();
  return items;
}

void UpdateQueue::dropFinished() {
  std::erase_if(pending_,
                [this](const Pending& pending) { return pending.sent >= transmissions_; });
  if (pending_.empty()) {
    pending_.shrink_to_fit();
  }
}

}  // namespace gorsetrail::membership
