/// \file One accepted connection: reads requests one after another and writes their responses.
#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http/endpoint.h"
#include "http/http_server.h"

namespace gorsetrail::http {

class ServerConnection;

/// What connections share with their server; it outlives no handler, so they hold it shared.
struct ServerShared {
  HttpServerOptions options;
  HttpServerCounters counters;
  bool draining = false;
  std::function<void(const std::shared_ptr<ServerConnection>&)> onClosed;

  [[nodiscard]] Instant now() const { return options.clock(); }
};

/// Reading a request, answering it, or waiting: one at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared);

  void start();
  /// Closes the connection if its time limit has passed; called by the server's sweep.
  void checkTimeLimit(Instant now);
  void closeIfIdle();
  /// Closes without calling anybody back.
  void abandon();

  /// \name For the writer of exchange number `exchange`; ignored when that one has ended.
  /// @{
  void observe(std::uint64_t exchange, ResponseObserver observer);
  void sendWhole(std::uint64_t exchange, const WholeResponse& response);
  void beginStream(std::uint64_t exchange, unsigned status, const std::vector<Header>& headers);
  void write(std::uint64_t exchange, std::string_view bytes);
  void endStream(std::uint64_t exchange);
  void dropWriter(std::uint64_t exchange);
  [[nodiscard]] std::size_t bytesWaiting(std::uint64_t exchange) const;
  /// @}

 private:
  enum class State : std::uint8_t { Idle, ReadingHead, ReadingBody, Answering, Lingering, Closed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void waitReadable();
  void onReadable(const boost::system::error_code& error);
  void checkCallerThere();
  void readHead();
  void onHead(const boost::system::error_code& error);
  void sendContinue();
  void readBody();
  void onBody(const boost::system::error_code& error);
  void deliverRequest();
  void beginExchange();
  void onReadFailed(const boost::system::error_code& error);
  void answerFault(ProtocolFault fault);
  void queueHead(unsigned status, const std::vector<Header>& headers,
                 std::optional<std::size_t> contentLength);
  void scheduleFlush();
  void flush();
  void writeRest(std::size_t taken);
  /// Notes how many bytes the caller does not take. \return whether the connection goes on.
  bool holdUntaken(std::size_t bytes);
  void onWritten(const boost::system::error_code& error, std::size_t bytes);
  void finishExchange();
  void linger();
  void discardMore();
  void callerGone();
  void close();
  [[nodiscard]] bool isAnswering(std::uint64_t exchange) const;
  [[nodiscard]] Duration timeLimitOfState() const;
  void enter(State state);

  Socket socket_;
  std::shared_ptr<ServerShared> shared_;
  State state_ = State::Idle;
  Instant stateSince_;
  Instant writeSince_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::uint64_t exchange_ = 0;  ///< Number of the request being answered.
  ResponseObserver observer_;
  std::string outgoing_;          ///< Bytes of the response that wait for the write under way.
  std::string inFlight_;          ///< Bytes of the write under way.
  std::size_t untakenBytes_ = 0;  ///< As counted in `HttpServerCounters::unreadBytes`.
  std::array<char, 512> discarded_{};
  std::size_t discardedBytes_ = 0;
  bool watching_ = false;        ///< A wait for readability is under way.
  bool writing_ = false;         ///< A write is under way.
  bool flushScheduled_ = false;  ///< A flush is posted.
  bool chunked_ = false;
  bool keepAlive_ = false;
  bool responseBegun_ = false;
  bool responseEnded_ = false;
};

}  // namespace gorsetrail::http
