/// \file Small HTTP/1.1 server without Beast in its header: requests in, response writers out.
/// One I/O context; everything runs on its thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "http/http_client.h"

namespace gorsetrail::http {

/// A request that was read whole.
struct ServerRequest {
  std::string method;
  std::string target;
  std::vector<Header> headers;  ///< In the order they came, duplicates included.
  std::string body;
};

/// A response whose body is known whole. `Content-Length` and `Connection` are added.
struct WholeResponse {
  unsigned status = 200;
  std::vector<Header> headers;
  std::string body;
};

/// What the writer of a response is told; neither is called inside one of the writer's methods.
struct ResponseObserver {
  /// The caller closed its connection, or stopped reading, before the response's end; at most once.
  std::function<void()> onGone;
  /// Everything written so far is with the kernel; more may be written.
  std::function<void()> onFlushed;
};

/// Writes the response of one request: either `sendWhole`, or `beginStream`, `write`..., and
/// `endStream`. Calls after the response's end, or after the caller has gone, do nothing; so a
/// writer can never reach the next response of its connection. Destroying a writer before the
/// response's end closes the connection.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void observe(ResponseObserver observer) = 0;
  virtual void sendWhole(WholeResponse response) = 0;
  virtual void beginStream(unsigned status, const std::vector<Header>& headers) = 0;
  /// Queues bytes; everything queued by one handler leaves in one write.
  virtual void write(std::string_view bytes) = 0;
  virtual void endStream() = 0;
  /// \return bytes that wait for the caller to read.
  [[nodiscard]] virtual std::size_t bytesWaiting() const = 0;
};
using ResponseWriterPtr = std::unique_ptr<ResponseWriter>;

/// What was wrong with a request that never became a `ServerRequest`.
enum class ProtocolFault : std::uint8_t {
  Malformed,        ///< Not HTTP, bad characters in a header, contradicting lengths.
  HeadTooLarge,     ///< Over `maximumHeadBytes`.
  BodyTooLarge,     ///< Over `maximumBodyBytes`.
  RequestTimedOut,  ///< The request did not come whole in time.
};

/// Limits and timings of the server.
struct HttpServerKnobs {
  std::uint32_t maximumHeadBytes = 16 * 1024;
  std::uint64_t maximumBodyBytes = std::uint64_t{1024} * 1024;
  std::size_t maximumConnections = 1024;
  Duration headTimeLimit = seconds(10);   ///< From the first byte of a request to its last header.
  Duration bodyTimeLimit = seconds(30);   ///< From the last header to the last byte.
  Duration idleTimeLimit = seconds(75);   ///< Between requests.
  Duration writeTimeLimit = seconds(30);  ///< A write that the caller does not take.
  Duration sweepPeriod = seconds(1);      ///< How often the time limits are looked at.
  /// Bytes of responses that callers do not take, of all connections together. Past it the
  /// connection that would add to them is cut; callers that read are not touched. Without a limit
  /// a thousand callers that stop reading answers of 1 MB end a process of 88 MB.
  std::uint64_t maximumUntakenBytes = std::uint64_t{64} * 1024 * 1024;
};

/// Counters for `/metrics`; all only rise, but for the gauges.
struct HttpServerCounters {
  std::uint64_t connectionsAccepted = 0;
  std::uint64_t connectionsRefused = 0;  ///< Over `maximumConnections`.
  std::uint64_t requests = 0;            ///< Read whole.
  std::uint64_t faults = 0;              ///< Answered for a `ProtocolFault`.
  std::uint64_t requestsCut = 0;         ///< The caller closed amid its request.
  std::uint64_t responses = 0;           ///< Written whole.
  std::uint64_t callersGone = 0;         ///< Closed before the response's end.
  std::uint64_t bytesWritten = 0;
  std::uint64_t connectionsOpen = 0;  ///< Gauge.
  std::uint64_t responsesOpen = 0;    ///< Gauge: requests read whole, responses not yet written.
  std::uint64_t unreadBytes = 0;      ///< Gauge: of responses, that callers do not take.
  std::uint64_t connectionsClosedForUnreadBytes = 0;  ///< For `maximumUntakenBytes`.
};

struct HttpServerOptions {
  std::string listenAddress;  ///< `ip:port`; port 0 takes any free port.
  HttpServerKnobs knobs;
  std::function<void(ServerRequest, ResponseWriterPtr)> onRequest;
  /// Renders the answer to a request that could not be read; the connection closes after it.
  std::function<WholeResponse(ProtocolFault)> onFault;
  std::function<Instant()> clock;  ///< For the time limits; the steady clock when empty.
};

/// What becomes of connections that carry no request when a drain begins.
enum class IdleConnections : std::uint8_t {
  Close,  ///< At once.
  Keep,   ///< They may bring one more request, whose answer says that the connection closes.
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  [[nodiscard]] virtual std::uint16_t listeningPort() const = 0;
  [[nodiscard]] virtual HttpServerCounters counters() const = 0;
  /// Every connection closes after its next response; new ones are still served.
  virtual void beginDrain(IdleConnections idle = IdleConnections::Close) = 0;
  /// Closes the listener and every connection; nothing is called back after it.
  virtual void stop() = 0;
};
using HttpServerPtr = std::unique_ptr<HttpServer>;

/// Starts listening. `context` outlives the server.
/// Errors: `InvalidSettings` (an address that cannot be read or cannot be listened on).
Result<HttpServerPtr> makeHttpServer(boost::asio::io_context& context, HttpServerOptions options);

}  // namespace gorsetrail::http
