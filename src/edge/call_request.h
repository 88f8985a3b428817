/// \file A client's request and a replica's answer as the edge decides on them: typed, no names of
/// the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/http_client.h"
#include "tenant/tenant.h"

namespace gorsetrail::edge {

/// One client attempt.
struct CallRequest {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::string host;
  std::vector<http::Header> headers;  ///< Those to be handed on, in their order.
  std::string body;
  std::string requestId;
  /// Of the API key; absent when the request carries none, or several.
  std::optional<tenant::ApiKeyDigest> apiKey;
  std::string programId;  ///< Empty outside programs.
  /// A header that may stand once stands twice: readers could disagree on what the request is.
  bool hasConflictingHeaders = false;
  std::string sessionId;             ///< One line of turns; empty outside programs.
  std::string previousTurn;          ///< Turn that this one goes on from; empty at the start.
  std::string lastEventId;           ///< The client resumes a stream behind this event.
  std::optional<Duration> deadline;  ///< How long the client waits.
  /// Until the whole program should be over; zero when that has passed.
  std::optional<Duration> programTimeLeft;
  std::optional<std::uint64_t> tokenBudget;  ///< Of the whole program.
  std::uint64_t promptTokens = 0;            ///< Of the whole prompt.
  std::uint64_t maximumTokens = 0;           ///< That this request may generate.

  /// \return the path without the query.
  [[nodiscard]] std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

/// One sending of a request to a replica.
struct Dispatch {
  std::string address;
  std::string replicaId;  ///< Any other replica at the address refuses.
  Duration timeLeft;
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::string lastEventId;     ///< Resume behind this event; empty from the start.
  std::string tenant;          ///< In whose name the request is made; empty: in nobody's.
  Duration connectTimeLimit = milliseconds(400);
};

/// Head of a replica's answer.
struct ReplicaHead {
  unsigned status = 0;
  std::string requestId;     ///< Of the request that is answered; empty when it is not said.
  bool notExecuted = false;  ///< The replica promises that it did not run the request.
  bool eventStream = false;
};

/// The edge's own final answer.
struct Refusal {
  unsigned status = 503;
  std::string reason;                      ///< Stable snake_case name.
  Duration retryAfter = Duration::zero();  ///< When to come back; zero: not said.
};

}  // namespace gorsetrail::edge
