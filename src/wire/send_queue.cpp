#include "wire/send_queue.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::wire {

static_assert(std::variant_size_v<PeerMessage> == kSubsystemCount);

Subsystem subsystemOf(const PeerMessage& message) {
  return static_cast<Subsystem>(message.index());
}

const char* subsystemName(Subsystem subsystem) {
  switch (subsystem) {
    case Subsystem::Journal:
      return "journal";
    case Subsystem::Membership:
      return "membership";
    case Subsystem::Bundle:
      return "bundle";
    case Subsystem::Observation:
      return "observation";
  }
  return "unknown";
}

bool SendQueue::exceedsLimits() const {
  return frames_.size() > 1 && (frames_.size() > limits_.frames || bytes_ > limits_.bytes);
}

std::deque<QueuedFrame>::iterator SendQueue::nextToDrop() {
  for (const Subsystem subsystem : {Subsystem::Membership, Subsystem::Observation}) {
    const auto found = std::find_if(
        frames_.begin(), frames_.end(),
        [subsystem](const QueuedFrame& frame) { return frame.subsystem == subsystem; });
    if (found != frames_.end()) {
      return found;
    }
  }
  return frames_.begin();
}

void SendQueue::erase(const std::deque<QueuedFrame>::iterator& position) {
  bytes_ -= position->bytes.size();
  frames_.erase(position);
}

SendQueue::DropCounts SendQueue::push(QueuedFrame frame) {
  bytes_ += frame.bytes.size();
  frames_.push_back(std::move(frame));
  DropCounts dropped{};
  while (exceedsLimits()) {
    const auto position = nextToDrop();
    ++dropped[static_cast<std::size_t>(position->subsystem)];
    erase(position);
  }
  return dropped;
}

std::size_t SendQueue::dropQueuedBefore(Instant oldest) {
  std::size_t dropped = 0;
  while (!frames_.empty() && frames_.front().queuedAt < oldest) {
    erase(frames_.begin());
    ++dropped;
  }
  return dropped;
}

std::vector<QueuedFrame> SendQueue::takeBatch(std::size_t maximumFrames, std::size_t maximumBytes) {
  std::vector<QueuedFrame> batch;
  std::size_t batchBytes = 0;
  while (!frames_.empty()) {
    const std::size_t length = frames_.front().bytes.size();
    const bool fits = batch.size() < maximumFrames && batchBytes + length <= maximumBytes;
    if (!batch.empty() && !fits) {
      break;
    }
    batchBytes += length;
    bytes_ -= length;
    batch.push_back(std::move(frames_.front()));
    frames_.pop_front();
  }
  return batch;
}

}  // namespace gorsetrail::wire
