/// \file Makes a `CallRequest` from a caller's HTTP request, or says what is wrong with it.
#pragma once

#include "base/result.h"
#include "engine/call_interface.h"
#include "http/http_server.h"

namespace gorsetrail::node {

/// Deepest nesting of a request's JSON.
inline constexpr std::size_t kMaximumJsonDepth = 64;
/// Highest `max_tokens`.
inline constexpr std::uint32_t kHighestMaximumTokens = 10'000'000;

/// What a request that says nothing of it gets.
struct CallDefaults {
  std::string zone;
  Duration timeLimit = seconds(60);
};

/// Checks headers and JSON; nothing is checked against the bundle here.
/// `maximumTokens` is 0 and `idempotencyKey` empty when the request does not name them.
/// Errors: `MalformedRequest`, `MissingField`, `InvalidField`, `UnknownField`; nothing has run.
Result<engine::CallRequest> parseCallRequest(http::ServerRequest request,
                                             const CallDefaults& defaults);

}  // namespace gorsetrail::node
