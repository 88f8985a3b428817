#include "http/server_connection.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <utility>

#include "http/exchange_writer.h"
#include "http/server_message.h"

namespace gorsetrail::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr unsigned kHttpVersion11 = 11;
/// Input that is read and discarded after the last response, because closing a socket with unread
/// input sends a reset and the client may lose the response.
constexpr std::size_t kMaximumDiscardedBytes = std::size_t{4} * 1024 * 1024;
constexpr std::chrono::seconds kLingerTimeLimit{2};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ServerConnection::ServerConnection(Socket socket, std::shared_ptr<ServerContext> shared)
    : socket_(std::move(socket)), shared_(std::move(shared)) {}

void ServerConnection::start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  setTcpUserTimeout(socket_);
  // `flush` writes synchronously first, which must not block the thread.
  socket_.non_blocking(true, ignored);
  enter(State::Idle);
  waitReadable();
}

void ServerConnection::enter(State state) {
  state_ = state;
  stateEnteredAt_ = shared_->now();
}

Duration ServerConnection::timeLimitOfState() const {
  const HttpServerLimits& knobs = shared_->options.knobs;
  switch (state_) {
    case State::Idle:
      return knobs.idleTimeLimit;
    case State::ReadingHead:
      return knobs.headTimeLimit;
    case State::ReadingBody:
      return knobs.bodyTimeLimit;
    case State::Lingering:
      return kLingerTimeLimit;
    case State::Responding:
    case State::Closed:
      break;
  }
  return Duration::max();
}

void ServerConnection::checkTimeLimit(Instant now) {
  if (writing_ && now - writeStartedAt_ > shared_->options.knobs.writeTimeLimit) {
    onClientDisconnected();
    return;
  }
  if (now - stateEnteredAt_ <= timeLimitOfState()) {
    return;
  }
  if (state_ == State::ReadingHead || state_ == State::ReadingBody) {
    sendErrorResponse(ProtocolFault::RequestTimedOut);
  } else {
    close();
  }
}

void ServerConnection::closeIfIdle() {
  if (state_ == State::Idle) {
    close();
  }
}

void ServerConnection::closeWithoutCallbacks() {
  observer_ = {};
  close();
}

// The wait detects the next request in state `Idle` and a disconnect in state `Responding`. It
// reads no bytes, so a pipelined request stays in the kernel until the response has ended.
void ServerConnection::waitReadable() {
  if (waitingForReadable_) {
    return;
  }
  waitingForReadable_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->onReadable(error);
  });
}

void ServerConnection::onReadable(const error_code& error) {
  waitingForReadable_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (state_ == State::Idle) {
    error ? close() : readHead();
  } else if (state_ == State::Responding) {
    error ? onClientDisconnected() : checkClientConnected();
  }
}

void ServerConnection::checkClientConnected() {
  char byte = 0;
  const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return;  // A pipelined request is waiting; the next write detects a disconnect.
  }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    waitReadable();
    return;
  }
  onClientDisconnected();
}

void ServerConnection::readHead() {
  enter(State::ReadingHead);
  parser_.emplace();
  parser_->header_limit(shared_->options.knobs.maximumHeadBytes);
  parser_->body_limit(shared_->options.knobs.maximumBodyBytes);
  beast::http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->onHead(error); });
}

void ServerConnection::onHead(const error_code& error) {
  if (state_ != State::ReadingHead) {
    return;
  }
  if (error) {
    onReadFailed(error);
    return;
  }
  enter(State::ReadingBody);
  const auto expectation = parser_->get()[beast::http::field::expect];
  if (beast::iequals(expectation, "100-continue")) {
    sendContinue();
  } else {
    readBody();
  }
}

void ServerConnection::sendContinue() {
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      if (self->state_ != State::ReadingBody) {
                        return;
                      }
                      error ? self->onReadFailed(error) : self->readBody();
                    });
}

void ServerConnection::readBody() {
  beast::http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) { self->onBody(error); });
}

void ServerConnection::onBody(const error_code& error) {
  if (state_ != State::ReadingBody) {
    return;
  }
  if (error) {
    onReadFailed(error);
    return;
  }
  deliverRequest();
}

void ServerConnection::deliverRequest() {
  ++shared_->counters.requests;
  keepAlive_ = parser_->get().keep_alive();
  chunked_ = parser_->get().version() >= kHttpVersion11;
  ServerRequest request = toServerRequest(parser_->release());
  parser_.reset();
  buffer_.shrink_to_fit();
  beginExchange();
  waitReadable();
  shared_->options.onRequest(std::move(request),
                             makeExchangeWriter(weak_from_this(), currentExchange_));
}

void ServerConnection::beginExchange() {
  ++shared_->counters.responsesOpen;
  ++currentExchange_;
  responseBegun_ = false;
  responseEnded_ = false;
  enter(State::Responding);
}

void ServerConnection::onReadFailed(const error_code& error) {
  if (!isDisconnect(error)) {
    sendErrorResponse(protocolFaultOf(error));
    return;
  }
  if (error != beast::http::error::end_of_stream) {
    ++shared_->counters.requestsCut;
  }
  close();
}

void ServerConnection::sendErrorResponse(ProtocolFault fault) {
  ++shared_->counters.faults;
  keepAlive_ = false;
  // The pending read uses `parser_`, so it must end before the parser is destroyed.
  error_code ignored;
  socket_.cancel(ignored);
  beginExchange();
  sendWhole(currentExchange_, shared_->options.onFault(fault));
}

void ServerConnection::finishExchange() {
  observer_ = {};
  ++shared_->counters.responses;
  --shared_->counters.responsesOpen;
  if (!keepAlive_ || shared_->draining) {
    linger();
    return;
  }
  enter(State::Idle);
  if (buffer_.size() > 0) {
    readHead();
  } else {
    waitReadable();
  }
}

void ServerConnection::linger() {
  enter(State::Lingering);
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  discardInput();
}

void ServerConnection::discardInput() {
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                            self->discardedBytes_ += bytes;
                            if (error || self->discardedBytes_ > kMaximumDiscardedBytes) {
                              self->close();
                            } else {
                              self->discardInput();
                            }
                          });
}

void ServerConnection::onClientDisconnected() {
  if (state_ != State::Responding) {
    close();
    return;
  }
  ++shared_->counters.callersGone;
  --shared_->counters.responsesOpen;
  const auto onGone = std::move(observer_.onGone);
  observer_ = {};
  close();
  if (onGone) {
    onGone();
  }
}

void ServerConnection::close() {
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  updateUnreadBytes(0);
  error_code ignored;
  socket_.close(ignored);
  if (shared_->onClosed) {
    shared_->onClosed(shared_from_this());
  }
}

}  // namespace gorsetrail::http
