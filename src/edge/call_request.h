/// \file Client requests, dispatches to replicas, replica response heads and refusals, independent
/// of their wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/http_client.h"
#include "http/request_memory.h"
#include "tenant/tenant.h"

namespace gorsetrail::edge {

/// One client request, as decoded from HTTP. A retry by the client is a separate request.
struct CallRequest {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::string host;
  std::vector<http::Header> headers;  ///< Headers to forward to the replica, in received order.
  http::Body body;
  /// What the request takes; see `http::ServerRequest::memory`.
  http::RequestMemorySharePtr memory;
  std::string requestId;
  /// Digest of the API key; absent when the request carries no key or several.
  std::optional<tenant::ApiKeyDigest> apiKey;
  std::string programId;  ///< Empty outside programs.
  /// A header that must be unique occurs more than once, so that two parsers could read the request
  /// differently.
  bool hasConflictingHeaders = false;
  std::string sessionId;       ///< Identifies a sequence of turns; empty outside programs.
  std::string previousTurnId;  ///< Request ID of the preceding turn; empty for the first turn.
  /// The client resumes a stream after this event; empty: from the start.
  std::string lastEventId;
  /// Request ID of the attempt that received the first event of the resumed stream; empty if the
  /// client resumes none or does not name it.
  std::string resumedRequestId;
  std::optional<Duration> deadline;  ///< How long the client waits, from the request's arrival.
  /// Time until the deadline of the whole program; zero when the deadline has passed.
  std::optional<Duration> programTimeLeft;
  std::optional<std::uint64_t> tokenBudget;  ///< Budget of the whole program.
  std::uint64_t promptTokens = 0;            ///< Length of the whole prompt.
  std::uint64_t maximumTokens = 0;           ///< Most tokens that this request may generate.

  /// \return the path without the query.
  [[nodiscard]] std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

/// Parameters of one dispatch of a request to a replica.
struct Dispatch {
  std::string address;
  std::string replicaId;       ///< Another replica at this address must refuse the request.
  Duration timeLeft;           ///< Until the client's deadline.
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::string lastEventId;     ///< Resume after this event; empty: from the start.
  std::string tenant;          ///< Tenant that the request is made for; empty: none.
  Duration connectTimeLimit = milliseconds(400);
};

/// Status and decoded headers of a replica's response.
struct ReplicaHead {
  unsigned status = 0;
  std::string requestId;     ///< Request that the response belongs to; empty when not stated.
  bool notExecuted = false;  ///< The replica guarantees that it did not execute the request.
  bool eventStream = false;
};

/// Final answer that the edge itself gives in place of a replica's response.
struct Refusal {
  unsigned status = 503;
  std::string reason;                      ///< Stable snake_case name.
  Duration retryAfter = Duration::zero();  ///< When to retry; zero: not stated.
};

}  // namespace gorsetrail::edge
