/// \file What the links of one transport share; for the transport's own files only.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/steady_clock.h"
#include "node/peer_transport.h"

namespace gorsetrail::node {

using Socket = boost::asio::ip::tcp::socket;

/// Length of the buffer that all incoming links read into.
inline constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

/// What the links of one transport share. Handlers that run after `stop` find `stopped` set and
/// touch nothing else.
struct TransportShared {
  TransportShared(boost::asio::io_context& ioContext, PeerTransportOptions given,
                  PeerTransport::OnMessage callback)
      : context(ioContext),
        options(std::move(given)),
        onMessage(std::move(callback)),
        random(options.seed),
        readBuffer(kReadBufferBytes) {}

  boost::asio::io_context& context;
  PeerTransportOptions options;
  PeerTransport::OnMessage onMessage;
  RandomSource random;
  PeerTransportCounters counters;
  std::vector<std::uint8_t> readBuffer;  // One for all links: idle links cost no buffer.
  bool stopped = false;

  [[nodiscard]] bool isOtherMember(NodeId node) const {
    return node != options.self &&
           std::any_of(options.members.begin(), options.members.end(),
                       [node](const membership::Member& member) { return member.node == node; });
  }
};
using TransportSharedPtr = std::shared_ptr<TransportShared>;

}  // namespace gorsetrail::node
