#include "http/server_connection.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

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

std::string textOfHead(beast::http::response<beast::http::empty_body>& head) {
  beast::http::response_serializer<beast::http::empty_body> serializer(head);
  serializer.split(true);
  std::string text;
  error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](error_code&, const auto& buffers) {
      std::size_t bytes = 0;
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      serializer.consume(bytes);
    });
  }
  return text;
}

void appendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 16> digits{};
  constexpr int kHexadecimal = 16;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), kHexadecimal).ptr;
  out.append(digits.data(), end);
  out.append("\r\n");
  out.append(bytes);
  out.append("\r\n");
}

/// Writer of one exchange; holds the connection weakly, since the front may keep it for long.
class ExchangeWriter final : public ResponseWriter {
 public:
  ExchangeWriter(std::weak_ptr<ServerConnection> connection, std::uint64_t exchange)
      : connection_(std::move(connection)), exchange_(exchange) {}
  ExchangeWriter(const ExchangeWriter&) = delete;
  ExchangeWriter& operator=(const ExchangeWriter&) = delete;
  ~ExchangeWriter() override {
    if (const auto connection = connection_.lock()) {
      connection->dropWriter(exchange_);
    }
  }

  void observe(ResponseObserver observer) override {
    if (const auto connection = connection_.lock()) {
      connection->observe(exchange_, std::move(observer));
    }
  }
  void sendWhole(WholeResponse response) override {
    if (const auto connection = connection_.lock()) {
      connection->sendWhole(exchange_, response);
    }
  }
  void beginStream(unsigned status, const std::vector<Header>& headers) override {
    if (const auto connection = connection_.lock()) {
      connection->beginStream(exchange_, status, headers);
    }
  }
  void write(std::string_view bytes) override {
    if (const auto connection = connection_.lock()) {
      connection->write(exchange_, bytes);
    }
  }
  void endStream() override {
    if (const auto connection = connection_.lock()) {
      connection->endStream(exchange_);
    }
  }
  [[nodiscard]] std::size_t bytesWaiting() const override {
    const auto connection = connection_.lock();
    return connection ? connection->bytesWaiting(exchange_) : 0;
  }

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t exchange_;
};

ServerRequest toServerRequest(beast::http::request<beast::http::string_body> message) {
  ServerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

ProtocolFault faultOf(const error_code& error) {
  if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
    return ProtocolFault::HeadTooLarge;
  }
  if (error == beast::http::error::body_limit) {
    return ProtocolFault::BodyTooLarge;
  }
  return ProtocolFault::Malformed;
}

/// The caller closed or the connection broke, as against a request that came and is wrong.
bool isCut(const error_code& error) {
  return error == beast::http::error::end_of_stream ||
         error == beast::http::error::partial_message ||
         error.category() == asio::error::get_system_category() ||
         error.category() == asio::error::get_misc_category();
}

}  // namespace

ServerConnection::ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared)
    : socket_(std::move(socket)), shared_(std::move(shared)) {}

void ServerConnection::start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
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
  ++shared_->counters.responsesOpen;
  ++exchange_;
  responseBegun_ = false;
  responseEnded_ = false;
  keepAlive_ = parser_->get().keep_alive();
  chunked_ = parser_->get().version() >= kHttpVersion11;
  ServerRequest request = toServerRequest(parser_->release());
  parser_.reset();
  buffer_.shrink_to_fit();
  enter(State::Answering);
  waitReadable();
  shared_->options.onRequest(std::move(request),
                             std::make_unique<ExchangeWriter>(weak_from_this(), exchange_));
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
  ++shared_->counters.responsesOpen;
  ++exchange_;
  responseBegun_ = false;
  responseEnded_ = false;
  keepAlive_ = false;
  // The operation that reads the request must end before its parser goes.
  error_code ignored;
  socket_.cancel(ignored);
  enter(State::Answering);
  sendWhole(exchange_, shared_->options.onFault(fault));
}

bool ServerConnection::isAnswering(std::uint64_t exchange) const {
  return state_ == State::Answering && exchange == exchange_ && !responseEnded_;
}

void ServerConnection::observe(std::uint64_t exchange, ResponseObserver observer) {
  if (isAnswering(exchange)) {
    observer_ = std::move(observer);
  }
}

void ServerConnection::sendWhole(std::uint64_t exchange, const WholeResponse& response) {
  if (!isAnswering(exchange) || responseBegun_) {
    return;
  }
  queueHead(response.status, response.headers, response.body.size());
  outgoing_ += response.body;
  responseEnded_ = true;
  scheduleFlush();
}

void ServerConnection::beginStream(std::uint64_t exchange, unsigned status,
                                   const std::vector<Header>& headers) {
  if (!isAnswering(exchange) || responseBegun_) {
    return;
  }
  keepAlive_ = keepAlive_ && chunked_;
  queueHead(status, headers, std::nullopt);
  scheduleFlush();
}

void ServerConnection::queueHead(unsigned status, const std::vector<Header>& headers,
                                 std::optional<std::size_t> contentLength) {
  responseBegun_ = true;
  keepAlive_ = keepAlive_ && !shared_->draining;
  beast::http::response<beast::http::empty_body> head;
  head.version(kHttpVersion11);
  head.result(status);
  for (const Header& header : headers) {
    head.set(header.name, header.value);
  }
  if (contentLength) {
    head.content_length(*contentLength);
  } else {
    head.chunked(chunked_);
  }
  if (!keepAlive_) {
    head.set(beast::http::field::connection, "close");
  }
  outgoing_ += textOfHead(head);
}

void ServerConnection::write(std::uint64_t exchange, std::string_view bytes) {
  if (!isAnswering(exchange) || !responseBegun_ || bytes.empty()) {
    return;
  }
  if (chunked_) {
    appendChunk(outgoing_, bytes);
  } else {
    outgoing_ += bytes;
  }
  scheduleFlush();
}

void ServerConnection::endStream(std::uint64_t exchange) {
  if (!isAnswering(exchange) || !responseBegun_) {
    return;
  }
  if (chunked_) {
    outgoing_ += "0\r\n\r\n";
  }
  responseEnded_ = true;
  scheduleFlush();
}

void ServerConnection::dropWriter(std::uint64_t exchange) {
  if (isAnswering(exchange)) {
    observer_ = {};
    callerGone();
  }
}

std::size_t ServerConnection::bytesWaiting(std::uint64_t exchange) const {
  return exchange == exchange_ ? outgoing_.size() + inFlight_.size() : 0;
}

void ServerConnection::scheduleFlush() {
  if (flushScheduled_ || writing_) {
    return;
  }
  flushScheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flushScheduled_ = false;
    self->flush();
  });
}

void ServerConnection::flush() {
  if (state_ == State::Closed || writing_ || outgoing_.empty()) {
    return;
  }
  writing_ = true;
  writeSince_ = shared_->now();
  inFlight_.swap(outgoing_);
  asio::async_write(socket_, asio::buffer(inFlight_),
                    [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                      self->onWritten(error, bytes);
                    });
}

void ServerConnection::onWritten(const error_code& error, std::size_t bytes) {
  writing_ = false;
  inFlight_.clear();
  shared_->counters.bytesWritten += bytes;
  if (state_ == State::Closed) {
    return;
  }
  if (error) {
    callerGone();
    return;
  }
  if (!outgoing_.empty()) {
    flush();
    return;
  }
  if (responseEnded_) {
    finishExchange();
  } else if (observer_.onFlushed) {
    // A copy: the observer may end the exchange and so drop itself.
    const auto onFlushed = observer_.onFlushed;
    onFlushed();
  }
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
  error_code ignored;
  socket_.close(ignored);
  if (shared_->onClosed) {
    shared_->onClosed(shared_from_this());
  }
}

}  // namespace gorsetrail::http
