#include "http/request_memory.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::http {
namespace {

/// A small request displaces one that holds more than this many times as much.
constexpr std::size_t kDisplacedRatio = 2;

double secondsOf(Duration duration) { return toMilliseconds(duration) / 1000.0; }

}  // namespace

RequestMemorySharePtr RequestMemory::open(std::function<void()> onEvicted, Instant now) {
  return std::make_shared<RequestMemoryShare>(shared_from_this(), std::move(onEvicted), now);
}

bool RequestMemory::makeRoom(const RequestMemoryShare& asking, std::size_t wanted, Instant now) {
  const bool isSmall = wanted <= limits_.smallRequestBytes;
  const std::uint64_t limit = isSmall ? limits_.maximumBytes : limits_.maximumLargeBytes();
  while (counters_.bytes - asking.bytes_ + wanted > limit) {
    RequestMemoryShare* victim = findStalled(asking, now);
    if (victim == nullptr && isSmall) {
      victim = findLargerThan(asking, wanted * kDisplacedRatio);
    }
    if (victim == nullptr) {
      ++counters_.refused;
      return false;
    }
    evict(*victim);
  }
  return true;
}

RequestMemoryShare* RequestMemory::findStalled(const RequestMemoryShare& asking,
                                               Instant now) const {
  const double leastProgress = 1.0 / secondsOf(limits_.stalledAfter);
  RequestMemoryShare* found = nullptr;
  double progressOfFound = leastProgress;
  for (RequestMemoryShare* share : unfinished_) {
    if (share == &asking || share->bytes_ == 0 || share->isYoung(now)) {
      continue;
    }
    const double progress = share->progress(now);
    if (progress < progressOfFound) {
      found = share;
      progressOfFound = progress;
    }
  }
  return found;
}

RequestMemoryShare* RequestMemory::findLargerThan(const RequestMemoryShare& asking,
                                                  std::size_t bytes) const {
  RequestMemoryShare* found = nullptr;
  for (RequestMemoryShare* share : unfinished_) {
    const std::size_t atLeast = found == nullptr ? bytes : found->bytes_;
    if (share != &asking && share->bytes_ > atLeast) {
      found = share;
    }
  }
  return found;
}

void RequestMemory::evict(RequestMemoryShare& share) {
  ++counters_.evicted;
  counters_.bytes -= share.bytes_;
  share.bytes_ = 0;
  unfinished_.erase(&share);
  const auto onEvicted = std::exchange(share.onEvicted_, {});
  if (onEvicted) {
    onEvicted();
  }
}

RequestMemoryShare::RequestMemoryShare(std::shared_ptr<RequestMemory> memory,
                                       std::function<void()> onEvicted, Instant now)
    : memory_(std::move(memory)),
      onEvicted_(std::move(onEvicted)),
      openedAt_(now),
      windowStartedAt_(now) {
  memory_->unfinished_.insert(this);
}

RequestMemoryShare::~RequestMemoryShare() {
  memory_->unfinished_.erase(this);
  memory_->counters_.bytes -= bytes_;
}

bool RequestMemoryShare::resize(std::size_t bytes, Instant now) {
  if (bytes > bytes_ && !memory_->makeRoom(*this, bytes, now)) {
    return false;
  }
  memory_->counters_.bytes += bytes - bytes_;
  bytes_ = bytes;
  return true;
}

void RequestMemoryShare::shrink(std::size_t bytes) {
  const std::size_t kept = std::min(bytes, bytes_);
  memory_->counters_.bytes -= bytes_ - kept;
  bytes_ = kept;
}

void RequestMemoryShare::noteReceived(std::size_t bytes, Instant now) {
  const Duration elapsed = now - windowStartedAt_;
  if (elapsed >= memory_->limits_.paceWindow) {
    lastPace_ = static_cast<double>(receivedInWindow_) / secondsOf(elapsed);
    windowStartedAt_ = now;
    receivedInWindow_ = 0;
  }
  receivedInWindow_ += bytes;
}

void RequestMemoryShare::finish() {
  memory_->unfinished_.erase(this);
  onEvicted_ = {};
}

bool RequestMemoryShare::isYoung(Instant now) const {
  return now - openedAt_ < memory_->limits_.paceWindow;
}

double RequestMemoryShare::progress(Instant now) const {
  const Duration elapsed = now - windowStartedAt_;
  // The window that is under way says more than the one before once it is as long.
  const double current = static_cast<double>(receivedInWindow_) /
                         secondsOf(std::max(elapsed, memory_->limits_.paceWindow));
  const double pace =
      elapsed >= memory_->limits_.paceWindow ? current : std::max(current, lastPace_);
  return pace / static_cast<double>(std::max<std::size_t>(bytes_, 1));
}

}  // namespace gorsetrail::http
