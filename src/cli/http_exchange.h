/// \file One HTTP request and its answer, injected so that tests need no sockets.
#pragma once

#include "base/result.h"
#include "http/http_client.h"

namespace gorsetrail::cli {

/// Sends requests and waits for their answers.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /// \return the answer of any status, or `PlatformUnavailable` when none came; the request may
  /// then have taken effect all the same.
  virtual Result<http::Response> send(const http::Request& request) = 0;
};

/// Over TCP, one connection a request.
class NetworkExchange : public HttpExchange {
 public:
  Result<http::Response> send(const http::Request& request) override;
};

}  // namespace gorsetrail::cli
