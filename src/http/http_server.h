/// \file Asynchronous HTTP/1.1 server; does not include Beast. Callbacks run on the thread of its
/// I/O context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "http/connection_limit.h"
#include "http/http_client.h"
#include "http/request_memory.h"

namespace gorsetrail::http {

/// A completely received request.
struct ServerRequest {
  std::string method;
  std::string target;
  std::vector<Header> headers;  ///< In the order received, duplicates included.
  std::string body;
  /// What the request takes; null if that is not counted. Kept by whoever keeps the body.
  RequestMemorySharePtr memory{};
};

/// A response with a complete body. The server adds `Content-Length` and `Connection`.
struct WholeResponse {
  unsigned status = 200;
  std::vector<Header> headers;
  std::string body;
};

/// Events of one response. Neither callback runs inside a method of `ResponseWriter`.
struct ResponseObserver {
  /// The client disconnected or stopped reading before the end of the response; called at most
  /// once.
  std::function<void()> onGone;
  /// The kernel has accepted all bytes written so far; more may be written.
  std::function<void()> onFlushed;
};

/// Writes the response to one request: either `sendWhole`, or `beginStream`, any number of `write`
/// and `endStream`. Calls after the end of the response or after a disconnect do nothing, so that
/// a writer cannot affect the next response on its connection. Destroying a writer before the end
/// of the response closes the connection.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void observe(ResponseObserver observer) = 0;
  virtual void sendWhole(WholeResponse response) = 0;
  virtual void beginStream(unsigned status, const std::vector<Header>& headers) = 0;
  /// Queues bytes; all bytes queued by one handler are sent in one write.
  virtual void write(std::string_view bytes) = 0;
  virtual void endStream() = 0;
  /// \return the bytes that are queued or part of the write in progress.
  [[nodiscard]] virtual std::size_t bytesWaiting() const = 0;
};
using ResponseWriterPtr = std::unique_ptr<ResponseWriter>;

/// Why a request could not be read.
enum class ProtocolFault : std::uint8_t {
  Malformed,        ///< Not HTTP, forbidden characters, conflicting lengths.
  HeadTooLarge,     ///< Over `maximumHeadBytes`.
  BodyTooLarge,     ///< Over `maximumBodyBytes`.
  RequestTimedOut,  ///< The head or body exceeded its time limit.
  /// `CONNECT` asks for a tunnel, and `TRACE` returns credentials to whoever had it sent.
  MethodNotAllowed,
  OutOfMemory,  ///< `HttpServerOptions::memory` has no room for the request now.
};

/// Size limits and timeouts of the server.
struct HttpServerLimits {
  std::uint32_t maximumHeadBytes = 16 * 1024;
  std::uint64_t maximumBodyBytes = std::uint64_t{1024} * 1024;
  std::size_t maximumConnections = 1024;
  Duration headTimeLimit = seconds(10);   ///< From the first byte to the end of the head.
  Duration bodyTimeLimit = seconds(30);   ///< From the end of the head to the end of the body.
  Duration idleTimeLimit = seconds(75);   ///< Between requests.
  Duration writeTimeLimit = seconds(30);  ///< For one write to the kernel to complete.
  Duration sweepPeriod = seconds(1);      ///< How often the time limits are checked.
  /// Bytes of blocked writes and of the data queued behind them, over all connections. A connection
  /// that would exceed the limit is closed, so that clients that stop reading cannot exhaust the
  /// memory. Without the limit, a thousand clients that do not read responses of 1 MB end a process
  /// of 88 MB.
  std::uint64_t maximumUntakenBytes = std::uint64_t{64} * 1024 * 1024;
  /// Receive buffer of each connection in the kernel; 0: chosen by the kernel. What has arrived and
  /// is not read takes memory too, from clients that send on while their request is in progress.
  std::uint32_t receiveBufferBytes = 0;
};

/// Values for `/metrics`: monotonic counters, except where marked as gauges.
struct HttpServerCounters {
  std::uint64_t connectionsAccepted = 0;
  std::uint64_t connectionsRefused = 0;  ///< Over the limit, where nothing gave way.
  std::uint64_t requests = 0;            ///< Completely received.
  std::uint64_t faults = 0;              ///< Requests answered with a `ProtocolFault`.
  std::uint64_t requestsCut = 0;         ///< The client disconnected within a request.
  std::uint64_t responses = 0;           ///< Completely written.
  std::uint64_t callersGone = 0;         ///< Disconnected before the end of the response.
  std::uint64_t bytesWritten = 0;
  std::uint64_t connectionsOpen = 0;  ///< Gauge.
  std::uint64_t responsesOpen = 0;    ///< Gauge: received requests without a complete response.
  std::uint64_t unreadBytes = 0;      ///< Gauge, limited by `maximumUntakenBytes`.
  std::uint64_t connectionsClosedForUnreadBytes =
      0;  ///< Connections closed because of `maximumUntakenBytes`.
};

struct HttpServerOptions {
  std::string listenAddress;  ///< `ip:port`; port 0 selects a free port.
  HttpServerLimits knobs;
  std::function<void(ServerRequest, ResponseWriterPtr)> onRequest;
  /// Builds the response to a request that could not be read; the connection is closed after it.
  std::function<WholeResponse(ProtocolFault)> onFault;
  /// Optional: told of the same request before, with what was read of it.
  std::function<void(ProtocolFault, const ServerRequest&)> onUnreadable{};
  std::function<Instant()> clock;  ///< Defaults to the steady clock.
  /// Bounds the memory of requests, together with other servers of the process; null: no bound.
  std::shared_ptr<RequestMemory> memory{};
  /// Limits the connections, together with other servers of the process; null: those of this server
  /// alone, to `HttpServerLimits::maximumConnections`.
  std::shared_ptr<ConnectionLimit> connections{};
};

/// How a drain treats connections without a request in progress.
enum class IdleConnections : std::uint8_t {
  Close,  ///< Close them immediately.
  Keep,   ///< Serve one more request, answered with `Connection: close`.
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  [[nodiscard]] virtual std::uint16_t listeningPort() const = 0;
  [[nodiscard]] virtual HttpServerCounters counters() const = 0;
  /// Applies to requests that begin afterwards; time limits apply at once. The receive buffer and
  /// the sweep period stay as they are.
  virtual void setLimits(const HttpServerLimits& limits) = 0;
  [[nodiscard]] virtual const HttpServerLimits& limits() const = 0;
  /// Closes each connection after its next response. New connections are still accepted.
  virtual void beginDrain(IdleConnections idle = IdleConnections::Close) = 0;
  /// Closes the listener and all connections. No callback runs afterwards.
  virtual void stop() = 0;
};
using HttpServerPtr = std::unique_ptr<HttpServer>;

/// Starts listening. `context` must outlive the server.
/// Errors: `InvalidSettings` when the address is invalid or cannot be bound.
Result<HttpServerPtr> makeHttpServer(boost::asio::io_context& context, HttpServerOptions options);

}  // namespace gorsetrail::http
