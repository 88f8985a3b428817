/// \file Messages between nodes about single requests: origins of streams, and unanswered runs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "routing/request_key.h"
#include "routing/run_histories.h"
#include "routing/stream_origins.h"

namespace gorsetrail::edge {

/// Asks the receiver to hold a copy of a stream's origin.
struct OriginRecord {
  routing::RequestKey stream;
  routing::StreamOrigin origin;
  Duration keepFor = Duration::zero();
};

/// Asks for the origin of a stream.
struct OriginQuery {
  std::uint64_t number = 0;  ///< Repeated in the reply.
  routing::RequestKey stream;
};

struct OriginReply {
  std::uint64_t number = 0;
  routing::OriginState state;
};

/// A request and its unanswered runs.
struct RequestRuns {
  routing::RequestKey request;
  routing::RunHistory history;
};

/// Asks the receiver to add these histories to its own.
struct RunHistoriesMessage {
  std::vector<RequestRuns> histories;
};

/// Asks for all histories of a node whose digest differs; see `routing::RunHistories::digest`.
struct RunHistoriesQuery {
  std::uint64_t digest = 0;
};

using RequestRecordMessage =
    std::variant<OriginRecord, OriginQuery, OriginReply, RunHistoriesMessage, RunHistoriesQuery>;

/// Times are sent as ages, since the clocks of nodes differ.
/// \return the message as the bytes of one datagram.
std::string encodeRequestRecord(const RequestRecordMessage& message, Instant now);
/// Errors: `InvalidFrame`.
Result<RequestRecordMessage> decodeRequestRecord(std::string_view bytes, Instant now);

}  // namespace gorsetrail::edge
