/// \file One accepted connection of the HTTP server.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/endpoint.h"
#include "http/error_boundary.h"
#include "http/http_server.h"
#include "http/request_parser.h"

namespace gorsetrail::http {

class ServerConnection;

/// State that the server shares with its connections. It has shared ownership because handlers
/// of a connection may run after the server is destroyed.
struct ServerContext {
  HttpServerOptions options;
  HttpServerCounters counters;
  bool draining = false;
  /// What a connection has just read. All connections of a server run on one thread, and none keeps
  /// bytes here when its handler returns.
  static constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
  std::array<char, kReadBytes> readBuffer{};
  std::function<void(const std::shared_ptr<ServerConnection>&)> onClosed;

  [[nodiscard]] Instant now() const { return options.clock(); }
};

/// Reads requests from one connection and writes their responses, one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Socket socket, std::shared_ptr<ServerContext> shared);

  /// Starts reading. The connection is closed at once if the limit leaves no place for it.
  void start();
  /// Closes the connection if its time limit has passed; called periodically by the server.
  void checkTimeLimit(Instant now);
  void closeIfIdle();
  /// Closes the connection without running the callbacks of the response observer.
  void closeWithoutCallbacks();

  /// \name Called by the response writer of request number `exchange`.
  /// Ignored when the response to that request has ended.
  /// @{
  void observe(std::uint64_t exchange, ResponseObserver observer);
  void sendWhole(std::uint64_t exchange, const WholeResponse& response);
  void beginStream(std::uint64_t exchange, unsigned status, const std::vector<Header>& headers);
  void write(std::uint64_t exchange, std::string_view bytes);
  void endStream(std::uint64_t exchange);
  void onWriterDestroyed(std::uint64_t exchange);
  [[nodiscard]] std::size_t bytesWaiting(std::uint64_t exchange) const;
  /// @}

 private:
  static constexpr std::string_view kRole = "server";
  enum class State : std::uint8_t { Idle, ReadingHead, ReadingBody, Responding, Lingering, Closed };
  /// Runs a handler; ends this connection if it throws.
  template <class Handler>
  void guard(Handler&& handler) {
    if (!runInBoundary(kRole, std::forward<Handler>(handler))) {
      endAfterException();
    }
  }
  void endAfterException();
  void endIfOverdue(Instant now);
  void waitReadable();
  void onReadable(const boost::system::error_code& error);
  void checkClientConnected();
  /// Reads what has arrived, up to a limit, and parses it.
  void readRequest();
  /// Reads once, without waiting.
  /// \return what was read, in the buffer that all connections share, empty if nothing has arrived;
  /// nothing if the connection is closed.
  std::optional<std::string_view> readAvailable();
  /// Starts the parser of the next request.
  void beginRequest();
  /// Parses the bytes behind those that were kept before.
  void parse(std::string_view bytes);
  /// Parses as much as possible. Answers a request that cannot be read.
  /// \return the bytes that are left.
  std::string_view parseRequest(std::string_view bytes);
  /// Called once the head is read, before any byte of the body.
  /// \return whether the body is to be read.
  bool onHeadRead();
  /// Takes memory for what the request holds. \return false if there is no room.
  [[nodiscard]] bool holdMemory(std::size_t bytes);
  /// \return the memory of the request that has been read, without that of reading it.
  RequestMemorySharePtr releaseMemory();
  void setReceiveBuffer(std::size_t bytes);
  /// Another request needs the memory of this one, which is not read yet.
  void onEvicted();
  bool sendContinue();
  void deliverRequest();
  void beginExchange();
  void onReadFailed();
  void sendErrorResponse(ProtocolFault fault);
  /// Ends the response with 502 in place of one whose status HTTP does not have.
  void sendBadGateway(unsigned invalidStatus);
  void queueHead(unsigned status, const std::vector<Header>& headers,
                 std::optional<std::size_t> contentLength);
  void scheduleFlush();
  void flush();
  void writeRest(std::size_t taken);
  /// Updates `HttpServerCounters::unreadBytes` and closes the connection if the sum exceeds
  /// `maximumUntakenBytes`.
  /// \return whether the connection stays open.
  bool updateUnreadBytes(std::size_t bytes);
  void onWritten(const boost::system::error_code& error, std::size_t bytes);
  void finishExchange();
  void linger();
  void discardInput();
  void onClientDisconnected();
  void close();
  [[nodiscard]] bool isResponding(std::uint64_t exchange) const;
  [[nodiscard]] Duration timeLimitOfState() const;
  void enter(State state);
  [[nodiscard]] static ConnectionStage stageOf(State state);

  Socket socket_;
  std::shared_ptr<ServerContext> shared_;
  State state_ = State::Idle;
  Instant stateEnteredAt_;
  Instant writeStartedAt_;
  std::string unparsed_;  ///< Read, but neither parsed nor part of a request yet.
  std::optional<RequestParser> parser_;
  ConnectionSlotPtr slot_;             ///< Null once the connection is closed.
  RequestMemorySharePtr memory_;       ///< Of the request that is being read.
  std::uint64_t currentExchange_ = 0;  ///< Number of the latest request on this connection.
  ResponseObserver observer_;
  std::string outgoing_;         ///< Response bytes queued for the next write.
  std::string inFlight_;         ///< Bytes of the write in progress.
  std::size_t unreadBytes_ = 0;  ///< Share of this connection in `unreadBytes`.
  std::size_t discardedBytes_ = 0;
  bool hasLargeReceiveBuffer_ = false;
  bool waitingForReadable_ = false;  ///< A wait for readability is pending.
  bool writing_ = false;             ///< An asynchronous write is in progress.
  bool flushScheduled_ = false;      ///< A flush is posted.
  bool chunked_ = false;
  bool keepAlive_ = false;
  bool responseBegun_ = false;
  bool responseEnded_ = false;
};

}  // namespace gorsetrail::http
