/// \file Limits the connections of one or more servers together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

#include "base/time.h"

namespace gorsetrail::http {

/// What a connection is doing, in the order in which connections give way to new ones.
enum class ConnectionStage : std::uint8_t {
  Lingering,    ///< Answered for the last time; waits for its client to close.
  Unproven,     ///< No request of it was answered yet, and none is in progress.
  Idle,         ///< Between requests.
  ReadingHead,  ///< Of a request after the first.
  ReadingBody,
  Responding,  ///< Never gives way: the request may be running.
};

class ConnectionSlot;
using ConnectionSlotPtr = std::unique_ptr<ConnectionSlot>;

/// Values for `/metrics`.
struct ConnectionLimitCounters {
  std::uint64_t refused = 0;  ///< New connections that nothing gave way to.
  std::uint64_t closed = 0;   ///< Connections closed to make room for others.
};

/// Hands out a limited number of slots. Where all are taken, the connection that is the first in
/// the order of the stages, and of these the one that has been in its stage the longest, is closed.
/// So clients that were served keep their connections longer than those that only opened one. No
/// I/O, no clock; used by one thread.
class ConnectionLimit : public std::enable_shared_from_this<ConnectionLimit> {
 public:
  explicit ConnectionLimit(std::size_t maximum) : maximum_(maximum) {}

  /// \param close closes the connection; must destroy its slot.
  /// \return nothing if all slots are taken by connections that do not give way.
  [[nodiscard]] ConnectionSlotPtr open(std::function<void()> close, Instant now);
  /// Closes the connection that gives way first.
  /// \return whether there was one.
  bool closeOne();

  [[nodiscard]] std::size_t open() const { return slots_.size(); }
  [[nodiscard]] const ConnectionLimitCounters& counters() const { return counters_; }

 private:
  friend class ConnectionSlot;

  std::size_t maximum_;
  ConnectionLimitCounters counters_;
  std::unordered_set<ConnectionSlot*> slots_;
};

/// The place of one connection; given back when it is destroyed.
class ConnectionSlot {
 public:
  ConnectionSlot(std::shared_ptr<ConnectionLimit> limit, std::function<void()> close, Instant now);
  ~ConnectionSlot();
  ConnectionSlot(const ConnectionSlot&) = delete;
  ConnectionSlot& operator=(const ConnectionSlot&) = delete;

  /// The connection enters the stage. One without an answered request stays `Unproven` until its
  /// first request is in progress, so that unfinished heads give way like silent connections.
  void enter(ConnectionStage stage, Instant now);
  /// A request of the connection was answered.
  void noteAnswered() { isProven_ = true; }

 private:
  friend class ConnectionLimit;

  [[nodiscard]] bool givesWayBefore(const ConnectionSlot& other) const;

  std::shared_ptr<ConnectionLimit> limit_;
  std::function<void()> close_;
  ConnectionStage stage_ = ConnectionStage::Unproven;
  Instant since_;
  bool isProven_ = false;
};

}  // namespace gorsetrail::http
