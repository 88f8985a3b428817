#include "lab/sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::sim {

bool EventQueue::isLater(const Entry& left, const Entry& right) {
  return left.at != right.at ? left.at > right.at : left.order > right.order;
}

void EventQueue::schedule(Instant at, Action action) {
  heap_.push_back({std::max(at, now_), nextOrder_++, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), isLater);
}

void EventQueue::runUntil(Instant end) {
  while (!heap_.empty() && heap_.front().at <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), isLater);
    Entry entry = std::move(heap_.back());
    heap_.pop_back();
    now_ = entry.at;
    ++eventsRun_;
    entry.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace gorsetrail::sim
