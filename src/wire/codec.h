/// \file Bytes between nodes: a length, then a verified FlatBuffers message.
///
/// Frame: 4 bytes little-endian length of what follows (at most `kMaximumFrameBytes`), then the
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

/// Longest frame, in bytes, without its length prefix.
inline constexpr std::size_t kMaximumFrameBytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t kLengthPrefixBytes = 4;

/// A message with its sender, as it crosses between nodes.
struct PeerFrame {
  NodeId sender;
  Incarnation senderIncarnation;
  PeerMessage message;
};

/// \return the whole frame, length prefix included.
std::vector<std::uint8_t> encodeFrame(const PeerFrame& frame);

/// Verifies and decodes the buffer of one frame (without its length prefix).
/// Errors: `InvalidFrame`.
Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> buffer);

/// Cuts a byte stream into frames.
class FrameReader {
 public:
  /// Takes bytes as they come. Errors: `InvalidFrame` when a frame is too long; the connection
  /// must then be closed.
  Result<Success> feed(std::span<const std::uint8_t> bytes);
  /// \return whether a whole frame is there; `frame` then holds its buffer (prefix removed).
  bool next(std::vector<std::uint8_t>& frame);
  /// \return bytes of a frame that has not fully come.
  [[nodiscard]] std::size_t pendingBytes() const { return buffered_.size() - consumed_; }

 private:
  void discardConsumed();

  std::vector<std::uint8_t> buffered_;
  std::size_t consumed_ = 0;  ///< Bytes of frames already handed out.
  std::size_t checked_ = 0;   ///< Start of the first frame whose length was not checked.
};

}  // namespace gorsetrail::wire
