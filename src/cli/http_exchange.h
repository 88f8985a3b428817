/// \file HTTP client interface, injected so that tests need no sockets.
#pragma once

#include "base/result.h"
#include "http/http_client.h"

namespace gorsetrail::cli {

/// Sends an HTTP request and waits for the response.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /// \return the response, whatever its status, or `PlatformUnavailable` when none arrived; the
  /// request may have taken effect even then.
  virtual Result<http::Response> send(const http::Request& request) = 0;
};

/// Sends each request over a new TCP connection.
class NetworkExchange : public HttpExchange {
 public:
  Result<http::Response> send(const http::Request& request) override;
};

}  // namespace gorsetrail::cli
