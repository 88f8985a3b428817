/// \file State machine of one client request, from connecting to the end of the response.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/connection_pool.h"
#include "http/endpoint.h"
#include "http/error_boundary.h"
#include "http/http_client.h"
#include "http/response_parser.h"

namespace gorsetrail::http {

/// A response with a larger head fails as malformed.
inline constexpr std::uint32_t kMaximumResponseHeadBytes = 16 * 1024;
/// A response with a larger body fails as malformed.
inline constexpr std::uint64_t kMaximumResponseBodyBytes = std::uint64_t{64} * 1024 * 1024;

/// Interim responses and responses to earlier requests are skipped up to this size, heads included.
inline constexpr std::uint64_t kMaximumSkippedBytes = std::uint64_t{4} * 1024 * 1024;

/// Sends one request at most once and reads its response. A second connection is opened only if
/// the kernel accepted no byte of the request on the first.
class ClientOperation final : public RequestHandle,
                              public std::enable_shared_from_this<ClientOperation> {
 public:
  /// \param onEnded called once when the operation completes, fails or is cancelled.
  ClientOperation(boost::asio::io_context& context, std::weak_ptr<ConnectionPool> pool,
                  Request request, ResponseHandler handler,
                  std::function<void(ClientOperation*)> onEnded);

  void start();
  void cancel() override;
  [[nodiscard]] std::optional<Instant> connectionOpenedAt() const override { return openedAt_; }

 private:
  static constexpr std::string_view kRole = "client";
  /// Runs a handler; fails the request if it throws.
  template <class Handler>
  void guard(Handler&& handler) {
    if (!runInBoundary(kRole, std::forward<Handler>(handler))) {
      failAfterException();
    }
  }
  void failAfterException();
  void begin();
  bool prepareMessage();
  void startTimer();
  void openConnection();
  void startConnectTimer();
  void onConnected(const boost::system::error_code& error);
  void writeRequest();
  void onWritten(const boost::system::error_code& error, std::size_t bytes);
  void resetParser();
  void readMore();
  void onRead(const boost::system::error_code& error, std::size_t bytes);
  void parseBuffered();
  void onPeerClosed();
  void reportHead();
  void deliverBody(std::string_view part);
  void finishResponse();
  void readNextResponse();
  /// \return whether more was skipped before the response than is allowed.
  [[nodiscard]] bool hasSkippedTooMuch() const;
  void releaseConnection();
  [[nodiscard]] std::chrono::steady_clock::duration reusableIdleTime() const;
  void fail(FailureStage stage, const std::string& reason);
  bool end();

  boost::asio::io_context& context_;
  std::weak_ptr<ConnectionPool> pool_;
  Request request_;
  ResponseHandler handler_;
  std::function<void(ClientOperation*)> onEnded_;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
  std::optional<Socket> socket_;
  std::optional<Instant> openedAt_;  ///< Of `socket_`; empty while it is connecting.
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer connectTimer_;
  std::string head_;  ///< Of the request, as it is sent.
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  std::size_t headBytes_ = 0;  ///< Consumed of the head that is being read.
  Response response_;
  bool reused_ = false;
  bool bytesMayHaveLeft_ = false;
  bool headReported_ = false;
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t firstOwnByte_ = 0;  ///< Of what was received, the rest was skipped.
  bool surplus_ = false;            ///< The response being read belongs to an earlier request.
  bool ended_ = false;
};

}  // namespace gorsetrail::http
