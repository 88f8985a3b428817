#include "node/outgoing_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "http/endpoint.h"

namespace gorsetrail::node {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBatchFrames = 64;
constexpr std::size_t kBatchBytes = std::size_t{256} * 1024;

}  // namespace

OutgoingLink::OutgoingLink(TransportSharedPtr shared, const membership::Member& member)
    : shared_(std::move(shared)),
      member_(member),
      queue_(shared_->options.knobs.queue),
      socket_(shared_->context),
      timer_(shared_->context) {}

void OutgoingLink::push(wire::QueuedFrame frame) {
  const wire::SendQueue::DropCounts dropped = queue_.push(std::move(frame));
  for (std::size_t index = 0; index < dropped.size(); ++index) {
    shared_->counters.dropped[index] += dropped[index];
  }
  scheduleFlush();
}

void OutgoingLink::stop() {
  ++generation_;
  closeSocket();
  timer_.cancel();
}

void OutgoingLink::scheduleFlush() {
  if (flushScheduled_) {
    return;
  }
  flushScheduled_ = true;
  asio::post(shared_->context, [self = shared_from_this()] {
    self->flushScheduled_ = false;
    self->flush();
  });
}

void OutgoingLink::flush() {
  if (shared_->stopped || queue_.empty()) {
    return;
  }
  if (state_ == State::Idle) {
    connect();
  } else if (state_ == State::Connected && batch_.empty()) {
    write();
  }
}

void OutgoingLink::startTimer(Duration delay, void (OutgoingLink::*work)()) {
  timer_.expires_after(delay);
  timer_.async_wait(guarded([work](OutgoingLink& link, const error_code& error) {
    if (!error) {
      (link.*work)();
    }
  }));
}

void OutgoingLink::connect() {
  const std::optional<tcp::endpoint> endpoint = http::parseEndpoint(member_.peerAddress);
  if (!endpoint) {
    connectFailed();
    return;
  }
  state_ = State::Connecting;
  ++generation_;
  socket_ = tcp::socket(shared_->context);
  socket_.async_connect(*endpoint, guarded([](OutgoingLink& link, const error_code& error) {
    error ? link.connectFailed() : link.connected();
  }));
  startTimer(shared_->options.knobs.connectTimeout, &OutgoingLink::connectFailed);
}

void OutgoingLink::connectFailed() {
  ++shared_->counters.connectsFailed;
  backOff();
}

void OutgoingLink::connected() {
  ++generation_;  // The time limit of the attempt may have run out in this very moment.
  state_ = State::Connected;
  connectedAt_ = lastUsed_ = steadyNow();
  ++shared_->counters.linksOpened;
  ++shared_->counters.linksOutgoing;
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  // What waited too long is worth less than the time of a peer that has just come back.
  shared_->counters.framesExpired +=
      queue_.dropQueuedBefore(connectedAt_ - shared_->options.knobs.maximumFrameAge);
  watchForClose();
  startTimer(shared_->options.knobs.idleTimeout, &OutgoingLink::checkIdle);
  flush();
}

void OutgoingLink::watchForClose() {
  socket_.async_wait(tcp::socket::wait_read,
                     guarded([](OutgoingLink& link, const error_code&) { link.broken(); }));
}

void OutgoingLink::write() {
  batch_ = queue_.takeBatch(kBatchFrames, kBatchBytes);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(batch_.size());
  for (const wire::QueuedFrame& frame : batch_) {
    buffers.emplace_back(frame.bytes.data(), frame.bytes.size());
  }
  // The handler keeps the link, and with it the batch, alive; `broken` leaves the batch to it.
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), generation = generation_](const error_code& error, std::size_t) {
        self->written(generation, error);
      });
}

void OutgoingLink::written(std::uint64_t generation, const error_code& error) {
  const std::vector<wire::QueuedFrame> batch = std::exchange(batch_, {});
  if (error) {
    shared_->counters.framesLost += batch.size();
  } else {
    countSent(batch);
  }
  if (shared_->stopped) {
    return;
  }
  if (error && generation == generation_) {
    broken();
    return;
  }
  lastUsed_ = steadyNow();
  flush();
}

void OutgoingLink::countSent(const std::vector<wire::QueuedFrame>& batch) {
  for (const wire::QueuedFrame& frame : batch) {
    TrafficCounter& counter = shared_->counters.sent[static_cast<std::size_t>(frame.subsystem)];
    ++counter.frames;
    counter.bytes += frame.bytes.size();
  }
}

void OutgoingLink::checkIdle() {
  const Duration idle = steadyNow() - lastUsed_;
  const Duration limit = shared_->options.knobs.idleTimeout;
  if (idle < limit || !batch_.empty() || !queue_.empty()) {
    startTimer(std::max(limit - idle, Duration(milliseconds(1))), &OutgoingLink::checkIdle);
    return;
  }
  ++generation_;
  closeSocket();
  --shared_->counters.linksOutgoing;
  state_ = State::Idle;
  failures_ = 0;
}

void OutgoingLink::broken() {
  --shared_->counters.linksOutgoing;
  if (steadyNow() - connectedAt_ >= shared_->options.knobs.stableAfter) {
    failures_ = 0;
  }
  backOff();
}

void OutgoingLink::backOff() {
  ++generation_;
  closeSocket();
  state_ = State::BackingOff;
  startTimer(nextBackoff(), &OutgoingLink::backoffOver);
}

Duration OutgoingLink::nextBackoff() {
  const PeerTransportKnobs& knobs = shared_->options.knobs;
  constexpr std::uint32_t kMostDoublings = 16;
  const Duration doubled = knobs.shortestBackoff * (1U << std::min(failures_, kMostDoublings));
  const Duration whole = std::min(doubled, knobs.longestBackoff);
  ++failures_;
  const auto half = static_cast<std::uint64_t>(whole.count() / 2);
  return whole / 2 + Duration(static_cast<Duration::rep>(shared_->random.below(half + 1)));
}

void OutgoingLink::backoffOver() {
  state_ = State::Idle;
  flush();
}

void OutgoingLink::closeSocket() {
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace gorsetrail::node
