/// \file Messages between nodes about the replica software that began a stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/time.h"
#include "routing/stream_origins.h"

namespace gorsetrail::edge {

/// Asks the receiver to hold a copy of a stream's origin.
struct OriginRecord {
  routing::StreamId stream;
  routing::StreamOrigin origin;
  Duration keepFor = Duration::zero();
};

/// Asks for the origin of a stream.
struct OriginQuery {
  std::uint64_t number = 0;  ///< Repeated in the reply.
  routing::StreamId stream;
};

struct OriginReply {
  std::uint64_t number = 0;
  routing::OriginState state;
};

using OriginMessage = std::variant<OriginRecord, OriginQuery, OriginReply>;

/// \return the message as the bytes of one datagram.
std::string encodeOriginMessage(const OriginMessage& message);
/// Errors: `InvalidFrame`.
Result<OriginMessage> decodeOriginMessage(std::string_view bytes);

}  // namespace gorsetrail::edge
