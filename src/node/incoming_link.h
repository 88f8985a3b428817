/// \file The receiving half of the peer links: bytes to verified frames.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "node/peer_transport_shared.h"
#include "wire/codec.h"

namespace gorsetrail::node {

/// A link that a member opened; frames only come in on it.
class IncomingLink : public std::enable_shared_from_this<IncomingLink> {
 public:
  using OnClosed = std::function<void(const std::shared_ptr<IncomingLink>&)>;

  IncomingLink(TransportSharedPtr shared, Socket socket, OnClosed onClosed);

  void start();

  void stop();

  [[nodiscard]] Instant lastHeard() const { return lastHeard_; }

 private:
  void waitForBytes();

  void readTurn();

  /// \return whether the link may go on.
  bool take(std::span<const std::uint8_t> bytes);

  bool takeFrame(const std::vector<std::uint8_t>& bytes);

  /// The first frame of a link says whose it is; another sender on it later is a fault.
  bool acceptSender(NodeId sender);

  void refuse(const char* event, const Error& error);

  std::string remoteText() const;

  void close();

  TransportSharedPtr shared_;
  Socket socket_;
  OnClosed onClosed_;
  wire::FrameReader reader_;
  std::optional<NodeId> sender_;
  Instant lastHeard_;
};
using IncomingLinkPtr = std::shared_ptr<IncomingLink>;

}  // namespace gorsetrail::node
