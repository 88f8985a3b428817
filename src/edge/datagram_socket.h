/// \file A bound UDP socket on the daemon's loop.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::edge {

/// Datagrams may be lost, on the way or because a buffer is full: senders repeat what matters.
class DatagramSocket {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(const Endpoint& sender, std::string_view bytes)>;

  DatagramSocket(boost::asio::io_context& context, Receiver receiver);

  /// \param address `ip:port`. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& address);
  /// Sends at once or not at all; an address that is not `ip:port` gets nothing.
  void send(const std::string& address, std::string_view bytes);

 private:
  void receive();

  boost::asio::ip::udp::socket socket_;
  Endpoint sender_;
  Receiver receiver_;
  std::array<char, 8192> buffer_{};
};

}  // namespace gorsetrail::edge
