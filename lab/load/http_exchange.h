/// \file Awaitable form of the HTTP client; for the load tool's coroutines only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <variant>

#include "http/http_client.h"

namespace gorsetrail::load {

using HttpOutcome = std::variant<http::Response, http::Failure>;

/// Sends a request and waits for its outcome.
boost::asio::awaitable<HttpOutcome> exchange(http::HttpClient& client, http::Request request);

/// Waits.
boost::asio::awaitable<void> pause(Duration time);

/// \return the time of the clock that waiting uses.
Instant currentTime();

}  // namespace gorsetrail::load
