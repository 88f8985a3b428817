#include "edge/answer_memory.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::edge {

AnswerMemory::Number AnswerMemory::add(std::function<void()> onTooLarge) {
  answers_[++lastNumber_].onTooLarge = std::move(onTooLarge);
  return lastNumber_;
}

void AnswerMemory::update(Number answer, std::size_t bytes) {
  const auto found = answers_.find(answer);
  if (found == answers_.end()) {
    return;
  }
  bytes_ += bytes - found->second.bytes;
  found->second.bytes = bytes;
  while (bytes_ > maximumBytes_) {
    const auto largest = std::max_element(
        answers_.begin(), answers_.end(),
        [](const auto& one, const auto& other) { return one.second.bytes < other.second.bytes; });
    const std::function<void()> onTooLarge = std::move(largest->second.onTooLarge);
    remove(largest->first);
    ++ended_;
    onTooLarge();
  }
}

void AnswerMemory::remove(Number answer) {
  const auto found = answers_.find(answer);
  if (found != answers_.end()) {
    bytes_ -= found->second.bytes;
    answers_.erase(found);
  }
}

}  // namespace gorsetrail::edge
