/// \file Asynchronous HTTP/1.1 client; does not include Beast. Callbacks run on the thread of its
/// I/O context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

#include "http/body.h"

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
  Body body;
  Duration timeLimit = seconds(30);  ///< For the whole request, connecting included.
  /// Timeout for establishing a new connection; zero means that only `timeLimit` applies.
  Duration connectTimeLimit = Duration::zero();
  /// If set, only an idle connection that was opened before then is used; the request fails as
  /// `NotSent` if there is none.
  std::optional<Instant> connectionOpenedBefore{};
};

struct Response {
  unsigned status = 0;
  std::vector<Header> headers;
  std::string body;  ///< Empty when `onBody` is set.
};

/// How far a request came before it failed.
enum class FailureStage : std::uint8_t {
  NotSent,  ///< No byte was sent, so the server has not seen the request.
  Broken,   ///< Bytes may have been sent; the outcome at the server is unknown.
};
struct Failure {
  FailureStage stage = FailureStage::Broken;
  std::string reason;
};

/// Callbacks of one request, run on the I/O thread. Exactly one of `onDone` and `onFailure` is
/// called, unless the request is cancelled first.
struct ResponseHandler {
  /// Optional: returns whether a response belongs to this request. Other responses are surplus
  /// responses to earlier requests on the connection; they are read and discarded.
  std::function<bool(unsigned status, const std::vector<Header>&)> isOwn;
  /// Whether a response may have a status that HTTP does not have, such as 000 or 600. Otherwise
  /// the request fails, although the server has answered it.
  bool acceptsInvalidStatus = false;
  /// Optional: called with the status and headers before any part of the body.
  std::function<void(unsigned status, const std::vector<Header>&)> onHead;
  /// Optional: called with each part of the body as it arrives. When empty, the body is collected
  /// in `Response::body`.
  std::function<void(std::string_view part)> onBody;
  std::function<void(Response)> onDone;
  std::function<void(Failure)> onFailure;
};

/// Handle of a request in progress. Destroying the handle does not cancel the request.
class RequestHandle {
 public:
  virtual ~RequestHandle() = default;
  /// Closes the connection; no callback follows.
  virtual void cancel() = 0;
  /// \return when the connection of the request was established; empty before that.
  [[nodiscard]] virtual std::optional<Instant> connectionOpenedAt() const { return std::nullopt; }
};
using RequestHandlePtr = std::shared_ptr<RequestHandle>;

/// HTTP client with a bounded pool of idle connections per address. A request that fails after
/// bytes may have been sent is never retried, also on a reused connection.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual RequestHandlePtr send(Request request, ResponseHandler handler) = 0;
  /// \return whether the pool has an unexpired idle connection to the address; the peer may still
  /// have closed it.
  [[nodiscard]] virtual bool hasIdleConnection(const std::string& /*address*/) const {
    return false;
  }
  /// Closes the idle connections to an address whose process is known to have ended. A machine
  /// that lost power sends no FIN, so a request on such a connection would run into its timeout.
  virtual void closeIdleConnections(const std::string& /*address*/) {}
  /// Opens a connection and adds it to the pool if it is established and the pool has none to the
  /// address. Calls back once:
  /// `reachable` is true when the connection was established, refused or reset within `limit`,
  /// and false on a timeout or another error.
  virtual void checkReachable(const std::string& address, Duration limit,
                              std::function<void(bool reachable)> callback) = 0;
};
using HttpClientPtr = std::unique_ptr<HttpClient>;

/// \param context must outlive the client.
HttpClientPtr makeHttpClient(boost::asio::io_context& context);

/// Sends one request and blocks until it ends; for the command line and tests.
/// \return the response and the reason of the failure, which is empty on success.
std::pair<Response, std::string> sendAndWait(const Request& request);

}  // namespace gorsetrail::http
