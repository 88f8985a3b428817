#include "node/incoming_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include "base/log.h"

namespace gorsetrail::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Reads of one link before the others get their turn.
constexpr int kReadsATurn = 4;

}  // namespace

IncomingLink::IncomingLink(TransportSharedPtr shared, Socket socket, OnClosed onClosed)
    : shared_(std::move(shared)),
      socket_(std::move(socket)),
      onClosed_(std::move(onClosed)),
      lastHeard_(steadyNow()) {}

void IncomingLink::start() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  waitForBytes();
}

void IncomingLink::stop() {
  error_code ignored;
  socket_.close(ignored);
}

void IncomingLink::waitForBytes() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    if (!self->shared_->stopped && self->socket_.is_open()) {
      error ? self->close() : self->readTurn();
    }
  });
}

void IncomingLink::readTurn() {
  for (int turn = 0; turn < kReadsATurn; ++turn) {
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(shared_->readBuffer), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error || !take(std::span(shared_->readBuffer).first(count))) {
      close();
      return;
    }
  }
  waitForBytes();
}

bool IncomingLink::take(std::span<const std::uint8_t> bytes) {
  lastHeard_ = steadyNow();
  if (const auto fed = reader_.feed(bytes); !succeeded(fed)) {
    refuse("peer_frame_too_long", errorOf(fed));
    return false;
  }
  std::vector<std::uint8_t> frame;
  while (reader_.next(frame)) {
    // The callback may stop the transport.
    if (!takeFrame(frame) || shared_->stopped) {
      return false;
    }
  }
  return true;
}

bool IncomingLink::takeFrame(const std::vector<std::uint8_t>& bytes) {
  Result<wire::PeerFrame> decoded = wire::decodeFrame(bytes);
  if (!succeeded(decoded)) {
    refuse("peer_frame_invalid", errorOf(decoded));
    return false;
  }
  wire::PeerFrame& frame = valueOf(decoded);
  if (!acceptSender(frame.sender)) {
    return false;
  }
  TrafficCounter& counter = shared_->counters.received[frame.message.index()];
  ++counter.frames;
  counter.bytes += wire::kLengthPrefixBytes + bytes.size();
  shared_->onMessage(frame.sender, std::move(frame.message));
  return true;
}

bool IncomingLink::acceptSender(NodeId sender) {
  if (!sender_ && shared_->isOtherMember(sender)) {
    sender_ = sender;
  }
  if (sender_ == sender) {
    return true;
  }
  ++shared_->counters.sendersUnknown;
  logEvent(LogLevel::Warning, "peer_sender_unknown",
           {{"sender", std::uint64_t{sender.value()}}, {"remote", remoteText()}});
  return false;
}

void IncomingLink::refuse(const char* event, const Error& error) {
  ++shared_->counters.framesInvalid;
  logEvent(LogLevel::Warning, event, {{"remote", remoteText()}, {"error", error.toText()}});
}

std::string IncomingLink::remoteText() const {
  error_code error;
  const tcp::endpoint remote = socket_.remote_endpoint(error);
  return error ? std::string("gone") : remote.address().to_string();
}

void IncomingLink::close() {
  stop();
  if (!shared_->stopped) {
    onClosed_(shared_from_this());
  }
}

}  // namespace gorsetrail::node
