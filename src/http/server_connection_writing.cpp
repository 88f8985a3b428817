/// \file Response writing of `ServerConnection`.
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <utility>

#include "base/log.h"
#include "http/server_connection.h"
#include "http/server_message.h"
#include "http/status.h"

namespace gorsetrail::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr unsigned kHttpVersion11 = 11;
constexpr unsigned kBadGateway = 502;

}  // namespace

bool ServerConnection::isResponding(std::uint64_t exchange) const {
  return state_ == State::Responding && exchange == currentExchange_ && !responseEnded_;
}

void ServerConnection::observe(std::uint64_t exchange, ResponseObserver observer) {
  if (isResponding(exchange)) {
    observer_ = std::move(observer);
  }
}

void ServerConnection::sendWhole(std::uint64_t exchange, const WholeResponse& response) {
  if (!isResponding(exchange) || responseBegun_) {
    return;
  }
  if (!isFinalStatus(response.status)) {
    sendBadGateway(response.status);
    return;
  }
  queueHead(response.status, response.headers, response.body.size());
  outgoing_ += response.body;
  responseEnded_ = true;
  scheduleFlush();
}

void ServerConnection::beginStream(std::uint64_t exchange, unsigned status,
                                   const std::vector<Header>& headers) {
  if (!isResponding(exchange) || responseBegun_) {
    return;
  }
  if (!isFinalStatus(status)) {
    sendBadGateway(status);
    return;
  }
  keepAlive_ = keepAlive_ && chunked_;
  queueHead(status, headers, std::nullopt);
  scheduleFlush();
}

void ServerConnection::sendBadGateway(unsigned invalidStatus) {
  logEvent(LogLevel::Error, "response_status_invalid",
           {{"status", std::uint64_t{invalidStatus}},
            {"remedy",
             "report it as a bug: the request handler passed a status outside 200 to "
             "599, and the client was answered 502"}});
  queueHead(kBadGateway, {}, 0);
  responseEnded_ = true;
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
    head.insert(header.name, header.value);
  }
  if (contentLength) {
    head.content_length(*contentLength);
  } else {
    head.chunked(chunked_);
  }
  if (!keepAlive_) {
    head.set(beast::http::field::connection, "close");
  }
  outgoing_ += serializeHead(head);
}

void ServerConnection::write(std::uint64_t exchange, std::string_view bytes) {
  if (!isResponding(exchange) || !responseBegun_ || bytes.empty()) {
    return;
  }
  if (chunked_) {
    appendChunk(outgoing_, bytes);
  } else {
    outgoing_ += bytes;
  }
  if (writing_ && !updateUnreadBytes(inFlight_.size() + outgoing_.size())) {
    return;
  }
  scheduleFlush();
}

void ServerConnection::endStream(std::uint64_t exchange) {
  if (!isResponding(exchange) || !responseBegun_) {
    return;
  }
  if (chunked_) {
    outgoing_ += "0\r\n\r\n";
  }
  responseEnded_ = true;
  scheduleFlush();
}

void ServerConnection::onWriterDestroyed(std::uint64_t exchange) {
  if (isResponding(exchange)) {
    observer_ = {};
    onClientDisconnected();
  }
}

std::size_t ServerConnection::bytesWaiting(std::uint64_t exchange) const {
  return exchange == currentExchange_ ? outgoing_.size() + inFlight_.size() : 0;
}

void ServerConnection::scheduleFlush() {
  if (flushScheduled_ || writing_) {
    return;
  }
  flushScheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->guard([&self] {
      self->flushScheduled_ = false;
      self->flush();
    });
  });
}

// Writes synchronously first, because most writes fit into the socket's send buffer. Only the
// remainder is written asynchronously.
void ServerConnection::flush() {
  if (state_ == State::Closed || writing_ || outgoing_.empty()) {
    return;
  }
  inFlight_.swap(outgoing_);
  error_code error;
  const std::size_t taken = socket_.write_some(asio::buffer(inFlight_), error);
  const bool sendBufferFull = error == asio::error::would_block || error == asio::error::try_again;
  if (sendBufferFull || (!error && taken < inFlight_.size())) {
    writeRest(taken);
  } else {
    onWritten(error, taken);
  }
}

bool ServerConnection::updateUnreadBytes(std::size_t bytes) {
  std::uint64_t& all = shared_->counters.unreadBytes;
  all = all - unreadBytes_ + bytes;
  unreadBytes_ = bytes;
  if (bytes == 0 || all <= shared_->options.knobs.maximumUntakenBytes) {
    return true;
  }
  ++shared_->counters.connectionsClosedForUnreadBytes;
  onClientDisconnected();
  return false;
}

void ServerConnection::writeRest(std::size_t taken) {
  if (!updateUnreadBytes(inFlight_.size() - taken + outgoing_.size())) {
    return;
  }
  writing_ = true;
  writeStartedAt_ = shared_->now();
  shared_->counters.bytesWritten += taken;
  asio::async_write(socket_, asio::buffer(inFlight_) + taken,
                    [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                      self->guard([&] { self->onWritten(error, bytes); });
                    });
}

void ServerConnection::onWritten(const error_code& error, std::size_t bytes) {
  writing_ = false;
  inFlight_.clear();
  updateUnreadBytes(0);
  shared_->counters.bytesWritten += bytes;
  if (state_ == State::Closed) {
    return;
  }
  if (error) {
    onClientDisconnected();
    return;
  }
  if (!outgoing_.empty()) {
    flush();
    return;
  }
  if (responseEnded_) {
    finishExchange();
  } else if (observer_.onFlushed) {
    // A copy, because the callback may end the response, which clears `observer_`.
    const auto onFlushed = observer_.onFlushed;
    onFlushed();
  }
}

}  // namespace gorsetrail::http
