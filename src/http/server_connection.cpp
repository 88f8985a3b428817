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
/// A refused caller may still be sending: this much is read and dropped, so that the refusal
/// reaches it instead of a connection reset.
constexpr std::size_t kMaximumDiscardedBytes = std::size_t{4} * 1024 * 1024;
constexpr std::chrono::seconds kLingerTimeLimit{2};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ServerConnection::ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared)
    : socket_(std::move(socket)), shared_(std::move(shared)) {}

void ServerConnection::start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  limitUnacknowledgedTime(socket_);
  // For the writes that are tried before they wait: they must not block the thread.
  socket_.non_blocking(true, ignored);
  enter(State::Idle);
  waitReadable();
}

void ServerConnection::enter(State state) {
  state_ = state;
  stateSince_ = shared_->now();
}

Duration ServerConnection::timeLimitOfState() const {
  const HttpServerKnobs& knobs = shared_->options.knobs;
  switch (state_) {
    case State::Idle:
      return knobs.idleTimeLimit;
    case State::ReadingHead:
      return knobs.headTimeLimit;
    case State::ReadingBody:
      return knobs.bodyTimeLimit;
    case State::Lingering:
      return kLingerTimeLimit;
    case State::Answering:
    case State::Closed:
      break;
  }
  return Duration::max();
}

void ServerConnection::checkTimeLimit(Instant now) {
  if (writing_ && now - writeSince_ > shared_->options.knobs.writeTimeLimit) {
    callerGone();
    return;
  }
  if (now - stateSince_ <= timeLimitOfState()) {
    return;
  }
  if (state_ == State::ReadingHead || state_ == State::ReadingBody) {
    answerFault(ProtocolFault::RequestTimedOut);
  } else {
    close();
  }
}

void ServerConnection::closeIfIdle() {
  if (state_ == State::Idle) {
    close();
  }
}

void ServerConnection::abandon() {
  observer_ = {};
  close();
}

// One wait serves two ends: in `Idle` it finds the next request, in `Answering` a caller that hung
// up. So the kernel is never asked twice, and no byte of a next request is taken early.
void ServerConnection::waitReadable() {
  if (watching_) {
    return;
  }
  watching_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->onReadable(error);
  });
}

void ServerConnection::onReadable(const error_code& error) {
  watching_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (state_ == State::Idle) {
    error ? close() : readHead();
  } else if (state_ == State::Answering) {
    error ? callerGone() : checkCallerThere();
  }
}

void ServerConnection::checkCallerThere() {
  char byte = 0;
  const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return;  // The next request is there already; a hang-up is found by the next write.
  }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    waitReadable();
    return;
  }
  callerGone();
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
  shared_->options.onRequest(std::move(request), makeExchangeWriter(weak_from_this(), exchange_));
}

void ServerConnection::beginExchange() {
  ++shared_->counters.responsesOpen;
  ++exchange_;
  responseBegun_ = false;
  responseEnded_ = false;
  enter(State::Answering);
}

void ServerConnection::onReadFailed(const error_code& error) {
  if (!isCut(error)) {
    answerFault(faultOf(error));
    return;
  }
  if (error != beast::http::error::end_of_stream) {
    ++shared_->counters.requestsCut;
  }
  close();
}

void ServerConnection::answerFault(ProtocolFault fault) {
  ++shared_->counters.faults;
  keepAlive_ = false;
  // The operation that reads the request must end before its parser goes.
  error_code ignored;
  socket_.cancel(ignored);
  beginExchange();
  sendWhole(exchange_, shared_->options.onFault(fault));
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
  discardMore();
}

void ServerConnection::discardMore() {
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                            self->discardedBytes_ += bytes;
                            if (error || self->discardedBytes_ > kMaximumDiscardedBytes) {
                              self->close();
                            } else {
                              self->discardMore();
                            }
                          });
}

void ServerConnection::callerGone() {
  if (state_ != State::Answering) {
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
  holdUntaken(0);
  error_code ignored;
  socket_.close(ignored);
  if (shared_->onClosed) {
    shared_->onClosed(shared_from_this());
  }
}

}  // namespace gorsetrail::http
