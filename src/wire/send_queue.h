/// \file Frames that wait for a link to one peer, bounded, and which of them go when it is full.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "wire/peer_message.h"

namespace gorsetrail::wire {

/// Alternatives of `PeerMessage`, in their order; indexes counters.
enum class Subsystem : std::uint8_t { Journal, Membership, Bundle, Observation };
inline constexpr std::size_t kSubsystemCount = 4;

/// \return the subsystem that a message belongs to.
Subsystem subsystemOf(const PeerMessage& message);
/// \return `journal`, `membership`, `bundle` or `observation`.
const char* subsystemName(Subsystem subsystem);

/// An encoded frame that waits to be written.
struct QueuedFrame {
  Subsystem subsystem = Subsystem::Journal;
  Instant queuedAt;
  std::vector<std::uint8_t> bytes;
};

/// Bounds of one queue. One frame always fits an empty queue, whatever its length.
struct SendQueueLimits {
  std::size_t frames = 256;
  std::size_t bytes = std::size_t{1024} * 1024;
};

/// First in, first out. When it is full the oldest membership frame goes first (the next probe
/// says the same anew), then the oldest load digest, then the oldest frame of all.
class SendQueue {
 public:
  using DropCounts = std::array<std::uint64_t, kSubsystemCount>;

  explicit SendQueue(SendQueueLimits limits) : limits_(limits) {}

  /// Appends a frame and drops others until the limits hold. \return what was dropped.
  DropCounts push(QueuedFrame frame);
  /// Drops every frame that was queued before `oldest`. \return how many.
  std::size_t dropQueuedBefore(Instant oldest);
  /// Takes frames from the front until one more would pass either bound; at least one.
  std::vector<QueuedFrame> takeBatch(std::size_t maximumFrames, std::size_t maximumBytes);
  [[nodiscard]] bool empty() const { return frames_.empty(); }
  [[nodiscard]] std::size_t size() const { return frames_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  [[nodiscard]] bool isOverFull() const;
  [[nodiscard]] std::deque<QueuedFrame>::iterator leastNeeded();
  void erase(const std::deque<QueuedFrame>::iterator& position);

  SendQueueLimits limits_;
  std::deque<QueuedFrame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::wire
