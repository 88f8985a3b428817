/// \file The sending half of the peer links: queue, connection, backoff.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "node/peer_transport_shared.h"
#include "wire/send_queue.h"

namespace gorsetrail::node {

/// The link on which this node sends to one member. Waiting frames outlive broken connections.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink> {
 public:
  OutgoingLink(TransportSharedPtr shared, const membership::Member& member);

  void push(wire::QueuedFrame frame);

  void stop();

 private:
  enum class State : std::uint8_t { Idle, Connecting, Connected, BackingOff };

  /// Frames pushed by one handler go out in one write.
  void scheduleFlush();

  void flush();

  /// \return a handler that does nothing once the link has gone on to another connection.
  template <class Work>
  auto guarded(Work work) {
    return [self = shared_from_this(), generation = generation_, work = std::move(work)](
               const boost::system::error_code& error, auto&&...) {
      if (!self->shared_->stopped && generation == self->generation_) {
        work(*self, error);
      }
    };
  }

  void startTimer(Duration delay, void (OutgoingLink::*work)());

  void connect();

  void connectFailed();

  void connected();

  /// A peer never sends on this link: whatever can be read means that it has closed it.
  void watchForClose();

  void write();

  void written(std::uint64_t generation, const boost::system::error_code& error);

  void countSent(const std::vector<wire::QueuedFrame>& batch);

  void checkIdle();

  void broken();

  void backOff();

  Duration nextBackoff();

  void backoffOver();

  void closeSocket();

  TransportSharedPtr shared_;
  membership::Member member_;
  wire::SendQueue queue_;
  Socket socket_;
  boost::asio::steady_timer timer_;
  State state_ = State::Idle;
  std::uint64_t generation_ = 0;  ///< Of the connection; handlers of older ones do nothing.
  std::uint32_t failures_ = 0;
  bool flushScheduled_ = false;
  Instant connectedAt_;
  Instant lastUsed_;
  std::vector<wire::QueuedFrame> batch_;  ///< Being written.
};

}  // namespace gorsetrail::node
