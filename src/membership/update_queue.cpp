#include "membership/update_queue.h"

#include <algorithm>

namespace gorsetrail::membership {

void UpdateQueue::add(std::uint32_t item, UpdatePriority priority) {
  const std::uint32_t sequence = nextSequence_++;
  for (Pending& pending : pending_) {
    if (pending.item == item) {
      pending = {item, sequence, 0, std::max(priority, pending.priority)};
      return;
    }
  }
  pending_.push_back({item, sequence, 0, priority});
}

void UpdateQueue::remove(std::uint32_t item) {
  std::erase_if(pending_, [item](const Pending& pending) { return pending.item == item; });
}

bool UpdateQueue::precedes(const Pending& left, const Pending& right) {
  if (left.priority != right.priority) {
    return left.priority > right.priority;
  }
  return left.sent != right.sent ? left.sent < right.sent : left.sequence > right.sequence;
}

std::vector<std::uint32_t> UpdateQueue::takeNext(std::size_t limit) {
  const std::size_t count = std::min(limit, pending_.size());
  const auto middle = pending_.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(pending_.begin(), middle, pending_.end(), precedes);
  std::vector<std::uint32_t> items;
  items.reserve(count);
  for (auto pending = pending_.begin(); pending != middle; ++pending) {
    items.push_back(pending->item);
    ++pending->sent;
  }
  dropFinished();
  return items;
}

bool UpdateQueue::isFinished(const Pending& pending) const {
  const bool isChange = pending.priority == UpdatePriority::Change;
  return pending.sent >= (isChange ? transmissions_ : std::max<std::size_t>(1, transmissions_ / 3));
}

void UpdateQueue::dropFinished() {
  std::erase_if(pending_, [this](const Pending& pending) { return isFinished(pending); });
  if (pending_.empty()) {
    pending_.shrink_to_fit();
  }
}

}  // namespace gorsetrail::membership
