#include "edge/peer_monitor.h"

#include <boost/asio/ip/address_v4.hpp>
#include <utility>
#include <vector>

#include "membership/membership_codec.h"

namespace gorsetrail::edge {
namespace {

using boost::asio::ip::make_address_v4;

/// \return the node id for an IPv4 address; nothing for other text.
std::optional<NodeId> nodeOf(const std::string& ip) {
  boost::system::error_code error;
  const auto address = make_address_v4(ip, error);
  return error ? std::nullopt : std::optional(NodeId(address.to_uint()));
}

std::string ipOf(NodeId node) { return make_address_v4(node.value()).to_string(); }

membership::MembershipKnobs detectorKnobsOf(const PeerMonitorKnobs& knobs) {
  membership::MembershipKnobs detector;
  detector.probePeriod = knobs.probePeriod;
  detector.probeTimeout = knobs.probeTimeout;
  detector.suspicionTimeout = knobs.suspicionTimeout;
  detector.isolationTimeout = knobs.isolationTimeout;
  detector.answersUnknownNodes = true;
  return detector;
}

}  // namespace

PeerMonitor::PeerMonitor(boost::asio::io_context& context, services::TimerService& timers,
                         logstore::ClockFunction clock, Incarnation incarnation,
                         PeerMonitorKnobs knobs, std::uint64_t seed, StateObserver onStateChanged)
    : timers_(timers),
      clock_(std::move(clock)),
      incarnation_(incarnation),
      knobs_(knobs),
      seed_(seed),
      onStateChanged_(std::move(onStateChanged)),
      socket_(context, [this](const DatagramSocket::Endpoint& sender, std::string_view bytes) {
        onDatagram(sender, bytes);
      }) {}

Result<Success> PeerMonitor::listen(const std::string& ip, std::uint16_t port) {
  const std::optional<NodeId> self = nodeOf(ip);
  if (!self) {
    return Error{ErrorKind::InvalidSettings, "own address " + ip,
                 "the address must be an IPv4 address", "set the node's IPv4 address"};
  }
  auto listening = socket_.listen(ip + ":" + std::to_string(port));
  if (!succeeded(listening)) {
    return listening;
  }
  port_ = port;
  detector_ = membership::makeMembershipService(*self, incarnation_, {{*self, {}, ip, {}}},
                                                detectorKnobsOf(knobs_), seed_);
  tickLoop();
  return Success{};
}

void PeerMonitor::watch(const std::string& ip) {
  const std::optional<NodeId> node = nodeOf(ip);
  if (detector_ && node) {
    // If the detector is full, the node is not probed and never suspected; missing heartbeats in
    // the store still show its failure.
    static_cast<void>(detector_->addMember({*node, {}, ip, {}}));
  }
}

void PeerMonitor::forget(const std::string& ip) {
  const std::optional<NodeId> node = nodeOf(ip);
  if (detector_ && node) {
    detector_->removeMember(*node);
    suspectedOrDead_.erase(ip);
  }
}

void PeerMonitor::tickLoop() {
  detector_->onTick(clock_());
  executeCommands();
  timers_.runAfter(knobs_.tickPeriod, [this] { tickLoop(); });
}

void PeerMonitor::onDatagram(const DatagramSocket::Endpoint& sender, std::string_view bytes) {
  auto message = membership::decodeMembershipMessage(bytes);
  if (!succeeded(message) || !sender.address().is_v4()) {
    return;  // Ignored: not from a node of this fleet, or damaged.
  }
  const NodeId from(sender.address().to_v4().to_uint());
  detector_->onMembershipMessage(from, valueOf(message), clock_());
  executeCommands();
}

void PeerMonitor::executeCommands() {
  for (const membership::MembershipCommand& command : detector_->takeCommands()) {
    if (const auto* const sending = std::get_if<membership::SendMembershipMessage>(&command)) {
      send(*sending);
    } else if (const auto* const changed = std::get_if<membership::MemberChanged>(&command)) {
      onMemberChanged(changed->update);
    }
  }
}

void PeerMonitor::onMemberChanged(const membership::MemberUpdate& update) {
  const std::string ip = ipOf(update.node);
  const bool isDown = update.state == membership::MemberState::Suspected ||
                      update.state == membership::MemberState::Dead;
  const bool changed = isDown ? suspectedOrDead_.insert(ip).second : suspectedOrDead_.erase(ip) > 0;
  // The transition from suspected to dead is reported too; a first contact is not.
  if (changed || update.state == membership::MemberState::Dead) {
    onStateChanged_(ip, update.state);
  }
}

void PeerMonitor::send(const membership::SendMembershipMessage& command) {
  socket_.send(ipOf(command.to) + ":" + std::to_string(port_),
               membership::encodeMembershipMessage(command.message));
}

}  // namespace gorsetrail::edge
