/// \file Framing and FlatBuffers encoding of messages between nodes.
///
/// Frame: 4 bytes little-endian length of the rest (at most `kMaximumFrameBytes`), then the
/// FlatBuffers buffer with file identifier "GTR1".
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "wire/peer_message.h"

namespace gorsetrail::wire {

/// Largest frame, without its length prefix.
inline constexpr std::size_t kMaximumFrameBytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t kLengthPrefixBytes = 4;

/// A message and the node that sent it.
struct PeerFrame {
  NodeId sender;
  Incarnation senderIncarnation;
  PeerMessage message;
};

/// \return the encoded frame, including its length prefix.
std::vector<std::uint8_t> encodeFrame(const PeerFrame& frame);

/// Verifies and decodes the buffer of one frame (without its length prefix).
/// Errors: `InvalidFrame`.
Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> buffer);

/// Splits a received byte stream into frames.
class FrameReader {
 public:
  /// Appends received bytes. Errors: `InvalidFrame` when a frame is empty or too long; the
  /// connection must then be closed.
  Result<Success> feed(std::span<const std::uint8_t> bytes);
  /// Copies the next complete frame into `frame`, without its length prefix.
  /// \return whether there was a complete frame.
  bool next(std::vector<std::uint8_t>& frame);
  /// \return the number of buffered bytes that `next` has not returned yet.
  [[nodiscard]] std::size_t pendingBytes() const { return buffered_.size() - consumed_; }

 private:
  void discardConsumed();

  std::vector<std::uint8_t> buffered_;
  std::size_t consumed_ = 0;      ///< Bytes of frames that `next` has returned.
  std::size_t validatedEnd_ = 0;  ///< Start of the first frame whose length is not validated.
};

}  // namespace gorsetrail::wire
