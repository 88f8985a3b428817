/// \file A small HTTP/1.1 server for the stand-ins: keep-alive, whole and streamed answers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "lab/standin/http_message.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::standin {

/// Called on the context's thread for each whole request.
using HttpHandler = std::function<void(HttpRequest request, HttpExchangePtr exchange)>;

/// Listens until it is destroyed.
class HttpListener {
 public:
  virtual ~HttpListener() = default;
  /// \return the port in use (also when the address asked for port 0).
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// Bounds of one request; larger ones are refused with 431 or 413.
inline constexpr std::uint64_t kMaximumRequestBytes = 16ULL * 1024 * 1024;
inline constexpr std::uint32_t kMaximumHeaderBytes = 16U * 1024;

/// \param context outlives the listener and runs on one thread.
/// \param address `ip:port`.
Result<std::unique_ptr<HttpListener>> listenHttp(boost::asio::io_context& context,
                                                 const std::string& address, HttpHandler handler);

}  // namespace gorsetrail::standin
