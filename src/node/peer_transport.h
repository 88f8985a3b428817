/// \file TCP links between nodes: frames out to members, verified frames in.
///
/// A link is used in one direction only: this node connects to a member to send to it, and takes
/// frames on links that members opened. A frame that cannot be verified, or whose sender is not a
/// configured member, closes the link it came on and nothing else.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/membership_service.h"
#include "wire/peer_message.h"
#include "wire/send_queue.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::node {

/// Limits and timings of the links.
struct PeerTransportKnobs {
  wire::SendQueueLimits queue;                  ///< For each peer.
  Duration maximumFrameAge = seconds(2);        ///< Older frames are not sent after a reconnect.
  Duration connectTimeout = seconds(1);         ///< Then the attempt counts as failed.
  Duration shortestBackoff = milliseconds(50);  ///< Before the second connection attempt.
  Duration longestBackoff = seconds(2);         ///< Doubling stops here; half of it is jitter.
  Duration stableAfter = seconds(5);            ///< A link that lived this long resets the backoff.
  Duration idleTimeout = seconds(30);           ///< An unused outgoing link is closed.
  std::size_t maximumIncomingLinks = 1024;      ///< More are closed at once, and counted.
};

/// Frames and bytes (length prefixes included) of one subsystem in one direction.
struct TrafficCounter {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// Counters for `/metrics`; all only rise, but for the gauges.
struct PeerTransportCounters {
  std::array<TrafficCounter, wire::kSubsystemCount> sent{};      ///< By `wire::Subsystem`.
  std::array<TrafficCounter, wire::kSubsystemCount> received{};  ///< By `wire::Subsystem`.
  std::array<std::uint64_t, wire::kSubsystemCount> dropped{};    ///< The queue was full.
  std::uint64_t framesLost = 0;         ///< Under way when their link broke; may have arrived.
  std::uint64_t framesExpired = 0;      ///< Too old when the link was up again.
  std::uint64_t framesTooLong = 0;      ///< Over `wire::kMaximumFrameBytes`; never queued.
  std::uint64_t framesUnaddressed = 0;  ///< To a node that is no member, or to this node.
  std::uint64_t framesInvalid = 0;      ///< Came in and could not be verified; closed the link.
  std::uint64_t sendersUnknown = 0;     ///< Sender no member, or changed; closed the link.
  std::uint64_t connectsFailed = 0;
  std::uint64_t linksOpened = 0;    ///< By this node.
  std::uint64_t linksAccepted = 0;  ///< From members.
  std::uint64_t linksTimedOut = 0;  ///< Accepted, then silent for twice the idle timeout.
  std::uint64_t linksRefused = 0;   ///< Over `maximumIncomingLinks`.
  std::uint64_t linksIncoming = 0;  ///< Gauge.
  std::uint64_t linksOutgoing = 0;  ///< Gauge.
};

/// Single-threaded: used on the thread that runs the I/O context only.
class PeerTransport {
 public:
  /// Takes a verified message of a member.
  using OnMessage = std::function<void(NodeId, wire::PeerMessage)>;

  virtual ~PeerTransport() = default;
  /// Queues a message and sends it when the link is up; frames of one handler go out together.
  /// Never blocks and never fails: a message may be lost, as on any network, and is then counted.
  virtual void send(NodeId to, const wire::PeerMessage& message) = 0;
  /// \return the port that is listened on (useful when the address named port 0).
  [[nodiscard]] virtual std::uint16_t listeningPort() const = 0;
  [[nodiscard]] virtual PeerTransportCounters counters() const = 0;
  /// Closes every link and the listener; nothing is called back after it.
  virtual void stop() = 0;
};
using PeerTransportPtr = std::unique_ptr<PeerTransport>;

/// What a transport is made of.
struct PeerTransportOptions {
  NodeId self;
  Incarnation incarnation;
  std::string listenAddress;                ///< `ip:port`; port 0 takes any free port.
  std::vector<membership::Member> members;  ///< `self` may be among them.
  PeerTransportKnobs knobs;
  std::uint64_t seed = 1;  ///< Of the jitter.
};

/// Starts listening. `context` outlives the transport.
/// Errors: `InvalidSettings` (an address that cannot be read or cannot be listened on).
Result<PeerTransportPtr> makePeerTransport(boost::asio::io_context& context,
                                           PeerTransportOptions options,
                                           PeerTransport::OnMessage onMessage);

}  // namespace gorsetrail::node
