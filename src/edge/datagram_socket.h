/// \file Non-blocking UDP socket.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::edge {

/// A bound UDP socket on an event loop. Delivery is not guaranteed: datagrams are dropped in the
/// network or when a buffer is full, so senders must repeat data that has to arrive.
class DatagramSocket {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(const Endpoint& sender, std::string_view bytes)>;

  DatagramSocket(boost::asio::io_context& context, Receiver receiver);

  /// Binds the socket and starts receiving.
  /// \param address `ip:port`. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& address);
  /// Sends without blocking. The datagram is dropped if it cannot be sent immediately or if the
  /// address is not `ip:port`.
  void send(const std::string& address, std::string_view bytes);

 private:
  /// Datagrams handled in a row, so that a flood does not stop the event loop.
  static constexpr int kMaximumQueuedDatagrams = 256;

  void receive();
  /// Handles the datagrams that have already arrived.
  void receiveQueued();
  /// Passes the datagram in the buffer on.
  void deliver(std::size_t bytes);

  boost::asio::ip::udp::socket socket_;
  Endpoint sender_;
  Receiver receiver_;
  std::array<char, 8192> buffer_{};
};

}  // namespace gorsetrail::edge
