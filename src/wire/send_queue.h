/// \file Bounded queue of frames to one peer, and its drop policy.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "wire/peer_message.h"

namespace gorsetrail::wire {

/// Alternatives of `PeerMessage`, in the same order. Used as an index of counters.
enum class Subsystem : std::uint8_t { Journal, Membership, Bundle, Observation };
inline constexpr std::size_t kSubsystemCount = 4;

/// \return the subsystem that a message belongs to.
Subsystem subsystemOf(const PeerMessage& message);
/// \return `journal`, `membership`, `bundle` or `observation`.
const char* subsystemName(Subsystem subsystem);

/// An encoded frame that has not been written yet.
struct QueuedFrame {
  Subsystem subsystem = Subsystem::Journal;
  Instant queuedAt;
  std::vector<std::uint8_t> bytes;
};

/// Limits of one queue. An empty queue accepts a frame of any length.
struct SendQueueLimits {
  std::size_t frames = 256;
  std::size_t bytes = std::size_t{1024} * 1024;
};

/// FIFO queue with a drop policy. A full queue drops the oldest membership frame first (the next
/// probe repeats its content), then the oldest load digest, then the oldest frame of any kind.
class SendQueue {
 public:
  using DropCounts = std::array<std::uint64_t, kSubsystemCount>;

  explicit SendQueue(SendQueueLimits limits) : limits_(limits) {}

  /// Appends a frame and drops frames until the limits hold.
  /// \return the number of dropped frames of each subsystem.
  DropCounts push(QueuedFrame frame);
  /// Drops all frames that were queued before `oldest`.
  /// \return the number of dropped frames.
  std::size_t dropQueuedBefore(Instant oldest);
  /// Removes frames from the front until the next one would exceed a limit. Removes at least one
  /// frame if the queue is not empty.
  std::vector<QueuedFrame> takeBatch(std::size_t maximumFrames, std::size_t maximumBytes);
  [[nodiscard]] bool empty() const { return frames_.empty(); }
  [[nodiscard]] std::size_t size() const { return frames_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  [[nodiscard]] bool exceedsLimits() const;
  [[nodiscard]] std::deque<QueuedFrame>::iterator nextToDrop();
  void erase(const std::deque<QueuedFrame>::iterator& position);

  SendQueueLimits limits_;
  std::deque<QueuedFrame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::wire
