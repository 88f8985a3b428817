/// \file HTTP/1.1 client without Beast in its header. One I/O context, callbacks on its thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::http {

struct Header {
  std::string name;
  std::string value;
};

struct Request {
  std::string method = "GET";
  std::string address;  ///< `ip:port`.
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeLimit = seconds(30);
  /// Longest time for a new connection to come up; zero: only `timeLimit` holds.
  Duration connectTimeLimit = Duration::zero();
};

struct Response {
  unsigned status = 0;
  std::vector<Header> headers;
  std::string body;  ///< Empty when `onBody` took it.
};

/// Why a request got no whole response.
enum class FailureStage : std::uint8_t {
  NotSent,  ///< Not one byte of the request left: refused connection, unusable address.
  Broken,   ///< After the first byte: cut, time-out, malformed response.
};
struct Failure {
  FailureStage stage = FailureStage::Broken;
  std::string reason;
};

/// Called on the I/O thread; exactly one of `onDone`, `onFailure` ends a request, unless it is
/// cancelled first.
struct ResponseHandler {
  /// Optional: \return whether a response is this request's own. Others are surplus answers to
  /// earlier requests of the connection: they are read to their end and dropped.
  std::function<bool(unsigned status, const std::vector<Header>&)> isOwn;
  /// Optional: head of the response, before any body.
  std::function<void(unsigned status, const std::vector<Header>&)> onHead;
  /// Optional: parts of the body as they come (streams); else the body is gathered.
  std::function<void(std::string_view part)> onBody;
  std::function<void(Response)> onDone;
  std::function<void(Failure)> onFailure;
};

/// A request under way. Destroying it does not cancel it.
class RequestHandle {
 public:
  virtual ~RequestHandle() = default;
  /// Closes the connection; no callback follows.
  virtual void cancel() = 0;
};
using RequestHandlePtr = std::shared_ptr<RequestHandle>;

/// Keeps idle connections per address (a bounded number) and reuses them; a request that fails on
/// a reused connection before any byte of the response came is NOT silently sent again.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual RequestHandlePtr send(Request request, ResponseHandler handler) = 0;
  /// \return whether a request to the address would probably need no new connection.
  [[nodiscard]] virtual bool hasIdleConnection(const std::string& /*address*/) const {
    return false;
  }
  /// Closes the idle connections to an address whose process has ended. A machine that lost its
  /// power closes none: the next request on one of them would wait for an answer in vain.
  virtual void closeIdleConnections(const std::string& /*address*/) {}
  /// Opens a connection, kept for later requests if it comes up. Calls back once with whether
  /// anything answered within the limit: a refusal is an answer, silence is none.
  virtual void checkReachable(const std::string& address, Duration limit,
                              std::function<void(bool reachable)> callback) = 0;
};
using HttpClientPtr = std::unique_ptr<HttpClient>;

/// \param context outlives the client.
HttpClientPtr makeHttpClient(boost::asio::io_context& context);

/// Blocking convenience for the command line and tests: one request, its response or failure.
std::pair<Response, std::string> sendAndWait(const Request& request);

}  // namespace gorsetrail::http
