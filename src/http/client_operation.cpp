#include "http/client_operation.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <cstdlib>
#include <string>
#include <utility>

#include "base/steady_clock.h"
#include "http/status.h"

namespace gorsetrail::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// Safety margin before the idle timeout that the server announces, so that a request is not sent
/// while the server closes the connection.
constexpr std::chrono::milliseconds kIdleTimeMargin{500};

bool hasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < ' ' || byte == 0x7f;
  });
}

bool isToken(std::string_view text) {
  static constexpr std::string_view kSeparators = "()<>@,;:\\\"/[]?={} \t";
  return !text.empty() && !hasControlCharacter(text) &&
         text.find_first_of(kSeparators) == std::string_view::npos;
}

/// \return whether the header describes the length of the body, which the client knows itself.
bool isFramingHeader(std::string_view name) {
  return beast::iequals(name, "content-length") || beast::iequals(name, "transfer-encoding");
}

/// \return whether a request of the method tells its length even if it is zero (RFC 9110, 8.6).
bool mayHaveBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH" || method == "OPTIONS";
}

void appendField(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

bool isTarget(std::string_view text) {
  return !text.empty() && text.front() == '/' && !hasControlCharacter(text) &&
         text.find(' ') == std::string_view::npos;
}

}  // namespace

ClientOperation::ClientOperation(asio::io_context& context, std::weak_ptr<ConnectionPool> pool,
                                 Request request, ResponseHandler handler,
                                 std::function<void(ClientOperation*)> onEnded)
    : context_(context),
      pool_(std::move(pool)),
      request_(std::move(request)),
      handler_(std::move(handler)),
      onEnded_(std::move(onEnded)),
      timer_(context),
      connectTimer_(context) {}

void ClientOperation::start() {
  // Posted so that no callback runs inside `send`.
  asio::post(context_, [self = shared_from_this()] { self->guard([&self] { self->begin(); }); });
}

void ClientOperation::cancel() { end(); }

void ClientOperation::begin() {
  if (ended_) {
    return;
  }
  endpoint_ = parseEndpoint(request_.address);
  if (!endpoint_) {
    fail(FailureStage::NotSent, "unusable address " + request_.address);
    return;
  }
  if (!prepareMessage()) {
    fail(FailureStage::NotSent, "the method, target or a header has a forbidden character");
    return;
  }
  startTimer();
  const std::shared_ptr<ConnectionPool> pool = pool_.lock();
  const Instant openedBefore = request_.connectionOpenedBefore.value_or(Instant::max());
  auto idle = pool ? pool->acquire(request_.address, openedBefore) : std::nullopt;
  reused_ = idle.has_value();
  if (reused_) {
    socket_ = std::move(idle->socket);
    openedAt_ = idle->openedAt;
    writeRequest();
  } else {
    openConnection();
  }
}

void ClientOperation::failAfterException() {
  const FailureStage stage = bytesMayHaveLeft_ ? FailureStage::Broken : FailureStage::NotSent;
  // The callback may fail for the same reason.
  runInBoundary(kRole, [&] { fail(stage, "a handler failed, see connection_handler_failed"); });
  end();
}

// Written here and not by a message of Beast, which throws for long headers and for methods that it
// knows to have no body.
bool ClientOperation::prepareMessage() {
  if (!isToken(request_.method) || !isTarget(request_.target)) {
    return false;
  }
  std::string host = request_.address;
  std::string fields;
  for (const Header& header : request_.headers) {
    if (!isToken(header.name) || hasControlCharacter(header.value)) {
      return false;
    }
    if (beast::iequals(header.name, "host")) {
      host = header.value;
    } else if (!isFramingHeader(header.name)) {
      appendField(fields, header.name, header.value);
    }
  }
  if (!request_.body.empty() || mayHaveBody(request_.method)) {
    appendField(fields, "Content-Length", std::to_string(request_.body.size()));
  }
  head_ = request_.method + " " + request_.target + " HTTP/1.1\r\n";
  appendField(head_, "Host", host);
  head_ += fields + "\r\n";
  return true;
}

void ClientOperation::startTimer() {
  timer_.expires_after(request_.timeLimit);
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) {
      const FailureStage stage =
          self->bytesMayHaveLeft_ ? FailureStage::Broken : FailureStage::NotSent;
      self->guard([&] { self->fail(stage, "time limit reached"); });
    }
  });
}

void ClientOperation::openConnection() {
  if (request_.connectionOpenedBefore) {
    fail(FailureStage::NotSent, "no idle connection of that age");
    return;
  }
  reused_ = false;
  openedAt_.reset();
  socket_.emplace(context_);
  error_code ignored;
  socket_->open(endpoint_->protocol(), ignored);
  setTcpUserTimeout(*socket_);
  startConnectTimer();
  socket_->async_connect(*endpoint_, [self = shared_from_this()](const error_code& error) {
    self->guard([&] { self->onConnected(error); });
  });
}

void ClientOperation::startConnectTimer() {
  if (request_.connectTimeLimit == Duration::zero()) {
    return;
  }
  connectTimer_.expires_after(request_.connectTimeLimit);
  connectTimer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error && !self->bytesMayHaveLeft_) {
      self->guard(
          [&] { self->fail(FailureStage::NotSent, "no connection within the time limit"); });
    }
  });
}

void ClientOperation::onConnected(const error_code& error) {
  if (ended_) {
    return;
  }
  connectTimer_.cancel();
  if (error) {
    fail(FailureStage::NotSent, "connect to " + request_.address + ": " + error.message());
    return;
  }
  openedAt_ = steadyNow();
  error_code ignored;
  socket_->set_option(asio::ip::tcp::no_delay(true), ignored);
  writeRequest();
}

void ClientOperation::writeRequest() {
  // From here on bytes may have been sent, so a timeout must be reported as `Broken`.
  bytesMayHaveLeft_ = true;
  const std::array<asio::const_buffer, 2> message = {asio::buffer(head_),
                                                     asio::buffer(request_.body.text())};
  asio::async_write(*socket_, message,
                    [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                      self->guard([&] { self->onWritten(error, bytes); });
                    });
}

void ClientOperation::onWritten(const error_code& error, std::size_t bytes) {
  if (ended_) {
    return;
  }
  if (!error) {
    head_ = {};
    request_.body.reset();
    resetParser();
    readMore();
    return;
  }
  if (bytes > 0) {
    fail(FailureStage::Broken, "write to " + request_.address + ": " + error.message());
    return;
  }
  // The kernel accepted no byte of the request, so sending it again is safe. A reused connection
  // fails like this when the peer has closed it while it was idle.
  bytesMayHaveLeft_ = false;
  if (reused_) {
    openConnection();
  } else {
    fail(FailureStage::NotSent, "write to " + request_.address + ": " + error.message());
  }
}

void ClientOperation::resetParser() {
  headBytes_ = 0;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaximumResponseHeadBytes);
  parser_->body_limit(kMaximumResponseBodyBytes);
  parser_->skip(request_.method == "HEAD");
  parser_->get().body().onHeadRead = [this] { reportHead(); };
  parser_->get().body().onBodyRead = [this](std::string_view part) { deliverBody(part); };
}

void ClientOperation::readMore() {
  socket_->async_read_some(buffer_.prepare(kReadBytes),
                           [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                             self->guard([&] { self->onRead(error, bytes); });
                           });
}

void ClientOperation::onRead(const error_code& error, std::size_t bytes) {
  if (ended_) {
    return;
  }
  if (error == asio::error::eof) {
    onPeerClosed();
    return;
  }
  if (error) {
    fail(FailureStage::Broken, "read from " + request_.address + ": " + error.message());
    return;
  }
  buffer_.commit(bytes);
  receivedBytes_ += bytes;
  parseBuffered();
}

bool ClientOperation::hasSkippedTooMuch() const {
  const bool isSkipping = surplus_ || !headReported_;
  return (isSkipping ? receivedBytes_ : firstOwnByte_) > kMaximumSkippedBytes;
}

void ClientOperation::parseBuffered() {
  error_code error;
  while (!ended_ && !parser_->is_done() && buffer_.size() > 0) {
    const bool wasInHead = !parser_->is_header_done();
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    // Beast limits what it has not consumed yet, which is one field at a time.
    headBytes_ += wasInHead && !parser_->is_header_done() ? used : 0;
    if (headBytes_ > kMaximumResponseHeadBytes) {
      error = beast::http::error::header_limit;
    }
    if (error == beast::http::error::need_more) {
      error = {};
      // The parser wants the whole of a line, and does not limit that of a chunk's size.
      if (buffer_.size() > kMaximumResponseHeadBytes) {
        error = beast::http::error::buffer_overflow;
      } else {
        break;
      }
    }
    if (error) {
      fail(FailureStage::Broken, "malformed response: " + error.message());
      return;
    }
    if (used == 0) {
      break;
    }
  }
  if (ended_) {
    return;
  }
  if (hasSkippedTooMuch()) {
    fail(FailureStage::Broken, "malformed response: too many bytes before it");
    return;
  }
  if (parser_->is_done()) {
    finishResponse();
  } else {
    readMore();
  }
}

void ClientOperation::onPeerClosed() {
  error_code error;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  } else {
    error = beast::http::error::end_of_stream;
  }
  if (error || !parser_->is_done()) {
    fail(FailureStage::Broken, "closed by " + request_.address + " before the response's end");
    return;
  }
  finishResponse();
}

void ClientOperation::reportHead() {
  if (headReported_ || ended_) {
    return;
  }
  headReported_ = true;
  const auto& head = parser_->get();
  response_.status = head.result_int();
  if (!isStatus(response_.status) && !handler_.acceptsInvalidStatus) {
    fail(FailureStage::Broken, "malformed response: status " + std::to_string(response_.status));
    return;
  }
  response_.headers.clear();
  for (const auto& field : head) {
    response_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  surplus_ = response_.status / 100 != 1 && handler_.isOwn &&
             !handler_.isOwn(response_.status, response_.headers);
  firstOwnByte_ = surplus_ ? firstOwnByte_ : receivedBytes_ - buffer_.size();
  if (!surplus_ && handler_.onHead) {
    handler_.onHead(response_.status, response_.headers);
  }
}

void ClientOperation::deliverBody(std::string_view part) {
  if (ended_ || surplus_) {
    return;
  }
  if (handler_.onBody) {
    handler_.onBody(part);
  } else {
    response_.body.append(part);
  }
}

void ClientOperation::finishResponse() {
  const bool interim = parser_->get().result_int() / 100 == 1;
  if (!interim) {
    reportHead();
  }
  // `onHead` may have cancelled the request, or the status is not one of HTTP.
  if (ended_) {
    return;
  }
  if (interim || surplus_) {
    readNextResponse();
    return;
  }
  releaseConnection();
  const auto onDone = std::move(handler_.onDone);
  Response response = std::move(response_);
  end();
  if (onDone) {
    onDone(std::move(response));
  }
}

void ClientOperation::readNextResponse() {
  if (!parser_->keep_alive()) {
    fail(FailureStage::Broken, "closed by " + request_.address + " after a surplus response");
    return;
  }
  headReported_ = false;
  surplus_ = false;
  resetParser();
  parseBuffered();
}

std::chrono::steady_clock::duration ClientOperation::reusableIdleTime() const {
  const auto field = parser_->get()[beast::http::field::keep_alive];
  const std::string text(field);
  const std::size_t at = text.find("timeout=");
  if (at == std::string::npos) {
    return kMaximumIdleTime;
  }
  const int timeoutSeconds = std::atoi(text.c_str() + at + std::string_view("timeout=").size());
  const std::chrono::steady_clock::duration serverTimeout = std::chrono::seconds(timeoutSeconds);
  return std::clamp<std::chrono::steady_clock::duration>(serverTimeout - kIdleTimeMargin, {},
                                                         kMaximumIdleTime);
}

void ClientOperation::releaseConnection() {
  const std::shared_ptr<ConnectionPool> pool = pool_.lock();
  if (pool && parser_->keep_alive() && buffer_.size() == 0) {
    pool->release(request_.address, {std::move(*socket_), *openedAt_}, reusableIdleTime());
    socket_.reset();
  }
}

void ClientOperation::fail(FailureStage stage, const std::string& reason) {
  const auto onFailure = std::move(handler_.onFailure);
  if (end() && onFailure) {
    onFailure({stage, reason});
  }
}

bool ClientOperation::end() {
  if (ended_) {
    return false;
  }
  ended_ = true;
  timer_.cancel();
  connectTimer_.cancel();
  if (socket_) {
    error_code ignored;
    socket_->close(ignored);
  }
  // The callbacks may own this operation, so they are released to break the cycle. Posted because
  // one of them may be running.
  asio::post(context_, [self = shared_from_this()] { self->handler_ = {}; });
  if (onEnded_) {
    onEnded_(this);
  }
  return true;
}

}  // namespace gorsetrail::http
