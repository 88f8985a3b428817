#include "http/server_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "http/exchange_writer.h"
#include "http/server_message.h"

namespace gorsetrail::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// A connection reads at most this often in one turn of the event loop, so that others are read in
/// between.
constexpr int kReadsPerTurn = 4;
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
  const auto giveWay = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->close();
    }
  };
  slot_ = shared_->options.connections->open(giveWay, shared_->now());
  if (!slot_) {
    ++shared_->counters.connectionsRefused;
    close();
    return;
  }
  ++shared_->counters.connectionsAccepted;
  enter(State::Idle);
  waitReadable();
}

void ServerConnection::endAfterException() {
  // The request's observer may fail for the same reason.
  runInBoundary(kRole, [this] { onClientDisconnected(); });
  close();
}

void ServerConnection::enter(State state) {
  state_ = state;
  stateEnteredAt_ = shared_->now();
  slot_->enter(stageOf(state), stateEnteredAt_);
}

ConnectionStage ServerConnection::stageOf(State state) {
  switch (state) {
    case State::Idle:
      return ConnectionStage::Idle;
    case State::ReadingHead:
      return ConnectionStage::ReadingHead;
    case State::ReadingBody:
      return ConnectionStage::ReadingBody;
    case State::Lingering:
    case State::Closed:
      return ConnectionStage::Lingering;
    case State::Responding:
      break;
  }
  return ConnectionStage::Responding;
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
  guard([this, now] { endIfOverdue(now); });
}

void ServerConnection::endIfOverdue(Instant now) {
  if (writing_ && now - writeStartedAt_ > shared_->options.knobs.writeTimeLimit) {
    onClientDisconnected();
    return;
  }
  if (now - stateEnteredAt_ <= timeLimitOfState()) {
    return;
  }
  if (state_ == State::Lingering) {
    close();
    return;
  }
  // What arrived while the process was suspended counts as in time.
  const State before = state_;
  readRequest();
  if (state_ != before) {
    return;
  }
  if (state_ == State::Idle) {
    close();
  } else {
    sendErrorResponse(ProtocolFault::RequestTimedOut);
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
    self->guard([&] { self->onReadable(error); });
  });
}

void ServerConnection::onReadable(const error_code& error) {
  waitingForReadable_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (state_ == State::Idle) {
    error ? close() : readRequest();
  } else if (state_ == State::ReadingHead || state_ == State::ReadingBody) {
    error ? onReadFailed() : readRequest();
  } else if (state_ == State::Lingering) {
    error ? close() : discardInput();
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

void ServerConnection::readRequest() {
  for (int reads = 0; reads < kReadsPerTurn; ++reads) {
    const auto bytes = readAvailable();
    if (!bytes) {
      onReadFailed();
      return;
    }
    if (bytes->empty()) {
      break;
    }
    parse(*bytes);
    const bool isReading = state_ == State::ReadingHead || state_ == State::ReadingBody;
    if (!isReading) {
      return;
    }
    if (bytes->size() < shared_->readBuffer.size()) {
      break;  // Nothing is left to read.
    }
  }
  waitReadable();
}

std::optional<std::string_view> ServerConnection::readAvailable() {
  std::array<char, ServerContext::kReadBytes>& buffer = shared_->readBuffer;
  error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return std::string_view();
  }
  return error ? std::nullopt : std::optional(std::string_view(buffer.data(), bytes));
}

void ServerConnection::beginRequest() {
  enter(State::ReadingHead);
  const HttpServerLimits& knobs = shared_->options.knobs;
  parser_.emplace(RequestParserLimits{knobs.maximumHeadBytes, knobs.maximumBodyBytes});
  if (shared_->options.memory) {
    const auto evict = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->onEvicted();
      }
    };
    memory_ = shared_->options.memory->open(evict, shared_->now());
    parser_->limitMemory([this](std::size_t bytes) { return holdMemory(bytes); });
  }
}

bool ServerConnection::holdMemory(std::size_t bytes) {
  if (!memory_) {
    return true;
  }
  const RequestMemoryLimits& limits = shared_->options.memory->limits();
  const bool isLarge = bytes > limits.smallRequestBytes;
  const std::size_t inKernel = isLarge ? limits.largeReceiveBufferBytes : 0;
  if (!memory_->resize(bytes + unparsed_.capacity() + inKernel, shared_->now())) {
    return false;
  }
  if (isLarge && !hasLargeReceiveBuffer_) {
    hasLargeReceiveBuffer_ = true;
    setReceiveBuffer(limits.largeReceiveBufferBytes);
  }
  return true;
}

RequestMemorySharePtr ServerConnection::releaseMemory() {
  if (!memory_) {
    return nullptr;
  }
  if (std::exchange(hasLargeReceiveBuffer_, false)) {
    setReceiveBuffer(shared_->options.knobs.receiveBufferBytes);
    const std::size_t inKernel = shared_->options.memory->limits().largeReceiveBufferBytes;
    memory_->shrink(memory_->bytes() - inKernel);
  }
  memory_->finish();
  return std::move(memory_);
}

void ServerConnection::setReceiveBuffer(std::size_t bytes) {
  if (shared_->options.knobs.receiveBufferBytes > 0) {
    error_code ignored;  // The kernel keeps the size that it had.
    socket_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
  }
}

void ServerConnection::onEvicted() {
  if (state_ == State::ReadingHead || state_ == State::ReadingBody) {
    sendErrorResponse(ProtocolFault::OutOfMemory);
  }
}

void ServerConnection::parse(std::string_view bytes) {
  if (state_ == State::Idle) {
    beginRequest();
  }
  std::string joined;
  if (!unparsed_.empty()) {
    joined = std::exchange(unparsed_, {});
    joined += bytes;
    bytes = joined;
  }
  if (memory_) {
    memory_->noteReceived(bytes.size(), shared_->now());
  }
  unparsed_ = parseRequest(bytes);
  if (!parser_) {
    return;
  }
  if (!holdMemory(parser_->heldBytes())) {
    sendErrorResponse(ProtocolFault::OutOfMemory);
  } else if (parser_->is_done()) {
    deliverRequest();
  }
}

std::string_view ServerConnection::parseRequest(std::string_view bytes) {
  bytes.remove_prefix(parser_->consume(bytes));
  if (state_ == State::ReadingHead && parser_->is_header_done() && !parser_->fault()) {
    if (!onHeadRead()) {
      return {};
    }
    bytes.remove_prefix(parser_->consume(bytes));
  }
  if (const auto fault = parser_->fault()) {
    sendErrorResponse(*fault);
    return {};
  }
  return bytes;
}

bool ServerConnection::onHeadRead() {
  enter(State::ReadingBody);
  parser_->readBody();
  // Refused before the client sends a body that there is no room for.
  if (!parser_->reserveBody(parser_->announcedBodyBytes().value_or(0))) {
    sendErrorResponse(*parser_->fault());
    return false;
  }
  return !parser_->expectsContinue() || parser_->is_done() || sendContinue();
}

bool ServerConnection::sendContinue() {
  error_code error;
  const std::size_t sent = socket_.write_some(asio::buffer(kContinue), error);
  // The socket's buffer is empty but for responses that the client does not read.
  if (error || sent < kContinue.size()) {
    close();
    return false;
  }
  return true;
}

void ServerConnection::deliverRequest() {
  ++shared_->counters.requests;
  keepAlive_ = parser_->keep_alive();
  chunked_ = parser_->isHttp11();
  ServerRequest request = parser_->release();
  parser_.reset();
  request.memory = releaseMemory();
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

void ServerConnection::onReadFailed() {
  const bool isWithinRequest = state_ == State::ReadingHead || state_ == State::ReadingBody;
  shared_->counters.requestsCut += isWithinRequest ? 1 : 0;
  close();
}

void ServerConnection::sendErrorResponse(ProtocolFault fault) {
  ++shared_->counters.faults;
  if (shared_->options.onUnreadable) {
    shared_->options.onUnreadable(fault, parser_->request());
  }
  keepAlive_ = false;
  parser_.reset();
  unparsed_ = {};
  releaseMemory().reset();
  beginExchange();
  sendWhole(currentExchange_, shared_->options.onFault(fault));
}

void ServerConnection::finishExchange() {
  observer_ = {};
  slot_->noteAnswered();
  ++shared_->counters.responses;
  --shared_->counters.responsesOpen;
  if (!keepAlive_ || shared_->draining) {
    linger();
    return;
  }
  enter(State::Idle);
  if (!unparsed_.empty()) {
    const std::string pipelined = std::move(unparsed_);
    unparsed_ = {};
    parse(pipelined);
  }
  waitReadable();
}

void ServerConnection::linger() {
  enter(State::Lingering);
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  discardInput();
}

void ServerConnection::discardInput() {
  for (int reads = 0; reads < kReadsPerTurn; ++reads) {
    const auto bytes = readAvailable();
    if (bytes && bytes->empty()) {
      break;
    }
    discardedBytes_ += bytes ? bytes->size() : 0;
    if (!bytes || discardedBytes_ > kMaximumDiscardedBytes) {
      close();
      return;
    }
  }
  waitReadable();
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
  memory_.reset();
  slot_.reset();
  error_code ignored;
  socket_.close(ignored);
  if (shared_->onClosed) {
    shared_->onClosed(shared_from_this());
  }
}

}  // namespace gorsetrail::http
