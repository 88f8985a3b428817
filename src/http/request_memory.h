/// \file Account of the memory that requests take, over all connections of a process.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

#include "base/time.h"

namespace gorsetrail::http {

/// Bounds of a `RequestMemory`.
struct RequestMemoryLimits {
  std::uint64_t maximumBytes = std::uint64_t{64} * 1024 * 1024;
  /// A request up to this size may use all of `maximumBytes`; a larger one leaves the reserve free.
  std::uint64_t smallRequestBytes = std::uint64_t{64} * 1024;
  double reservedForSmall = 0.25;
  /// What a larger request takes beside its own bytes while it is read: its buffer in the kernel.
  /// With the small one of other connections, a round trip of 50 ms would allow 0.6 MB a second.
  std::uint32_t largeReceiveBufferBytes = 128 * 1024;
  /// How long the pace of a request is measured. A younger request is not taken for stalled.
  Duration paceWindow = seconds(1);
  /// A request is stalled if it would take longer than this to receive again what it holds.
  Duration stalledAfter = seconds(60);

  /// \return what requests above `smallRequestBytes` may take together.
  [[nodiscard]] std::uint64_t maximumLargeBytes() const {
    return maximumBytes -
           static_cast<std::uint64_t>(reservedForSmall * static_cast<double>(maximumBytes));
  }
  /// \return the largest body that a request is ever admitted with: while a body of unknown length
  /// grows, its old memory is held beside the new one, which is four times as large.
  [[nodiscard]] std::uint64_t maximumBodyBytes() const {
    const std::uint64_t large = maximumLargeBytes();
    return (large - std::min<std::uint64_t>(large, largeReceiveBufferBytes)) / 5 * 4;
  }
};

/// Values for `/metrics`.
struct RequestMemoryCounters {
  std::uint64_t bytes = 0;    ///< Gauge: taken now.
  std::uint64_t refused = 0;  ///< Requests refused since nothing gave way to them.
  std::uint64_t evicted = 0;  ///< Unfinished requests that gave way to others.
};

class RequestMemoryShare;
using RequestMemorySharePtr = std::shared_ptr<RequestMemoryShare>;

/// Bounds what requests take from their first byte until they are answered, counted by capacity.
///
/// Where the bound is reached, unfinished requests that are stalled give way first, those with the
/// least progress for what they hold before others. If that does not suffice, a small request
/// displaces the largest unfinished one, and a large request is refused. Requests that have been
/// read are never displaced: they may be running. No I/O, no clock; used by one thread.
class RequestMemory : public std::enable_shared_from_this<RequestMemory> {
 public:
  explicit RequestMemory(RequestMemoryLimits limits) : limits_(limits) {}

  /// \param onEvicted ends the unfinished request; must free its memory and not call the share.
  /// \return the share of a new request, which holds nothing yet.
  RequestMemorySharePtr open(std::function<void()> onEvicted, Instant now);

  [[nodiscard]] const RequestMemoryLimits& limits() const { return limits_; }
  [[nodiscard]] const RequestMemoryCounters& counters() const { return counters_; }

 private:
  friend class RequestMemoryShare;

  bool makeRoom(const RequestMemoryShare& asking, std::size_t wanted, Instant now);
  [[nodiscard]] RequestMemoryShare* findStalled(const RequestMemoryShare& asking,
                                                Instant now) const;
  [[nodiscard]] RequestMemoryShare* findLargerThan(const RequestMemoryShare& asking,
                                                   std::size_t bytes) const;
  void evict(RequestMemoryShare& share);

  RequestMemoryLimits limits_;
  RequestMemoryCounters counters_;
  std::unordered_set<RequestMemoryShare*> unfinished_;
};

/// What one request takes; given back when it is destroyed.
class RequestMemoryShare {
 public:
  RequestMemoryShare(std::shared_ptr<RequestMemory> memory, std::function<void()> onEvicted,
                     Instant now);
  ~RequestMemoryShare();
  RequestMemoryShare(const RequestMemoryShare&) = delete;
  RequestMemoryShare& operator=(const RequestMemoryShare&) = delete;

  /// Takes or gives back memory. Other requests may be ended by it.
  /// \return false, without a change, if there is no room.
  [[nodiscard]] bool resize(std::size_t bytes, Instant now);
  /// Gives memory back.
  void shrink(std::size_t bytes);
  /// Counts received bytes for the pace of the request.
  void noteReceived(std::size_t bytes, Instant now);
  /// The request has been read: it is not displaced any more.
  void finish();
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  friend class RequestMemory;

  /// \return received bytes per second as a fraction of what is held.
  [[nodiscard]] double progress(Instant now) const;
  [[nodiscard]] bool isYoung(Instant now) const;

  std::shared_ptr<RequestMemory> memory_;
  std::function<void()> onEvicted_;
  std::size_t bytes_ = 0;
  Instant openedAt_;
  Instant windowStartedAt_;
  std::size_t receivedInWindow_ = 0;
  double lastPace_ = 0;  ///< Bytes per second in the window before.
};

}  // namespace gorsetrail::http
