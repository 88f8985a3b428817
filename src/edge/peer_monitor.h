/// \file Failure detection between edge nodes by probes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/result.h"
#include "edge/datagram_socket.h"
#include "logstore/retrying_store.h"
#include "membership/membership_service.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `PeerMonitor`.
struct PeerMonitorKnobs {
  /// Interval between two probes by one node; bounds the cost of the failure detector. With 250 ms,
  /// a dead node is probed within 1.2 s in 99 of 100 cases, whatever the fleet size.
  Duration probePeriod = milliseconds(250);
  /// Without an answer within this time, two other nodes probe on this node's behalf. Far longer
  /// than a round trip, because a node with 0.12 of a core may take tens of milliseconds to answer.
  Duration probeTimeout = milliseconds(100);
  /// A suspect that does not refute the suspicion within this time is declared dead. Long enough
  /// for the suspicion to reach it and for its refutation to return. A rule of thumb: updates took
  /// as long to reach 400 nodes in virtual time (note 0005).
  Duration suspicionTimeout = milliseconds(600);
  /// Without any message for this time, a node assumes that its own links failed and suspects no
  /// other node.
  Duration isolationTimeout = milliseconds(600);
  /// Interval at which the detector's timers are checked.
  Duration tickPeriod = milliseconds(50);
};

/// Runs the SWIM failure detector of `src/membership` over UDP. Nodes are identified by their IPv4
/// address; all nodes of a fleet use the same port. The store's member list defines which nodes
/// exist, the detector which of them respond, at a cost per node that does not depend on the fleet
/// size.
class PeerMonitor {
 public:
  /// Called when a node becomes `Suspected`, when it becomes `Dead`, and when it is alive again.
  using StateObserver = std::function<void(const std::string& ip, membership::MemberState state)>;

  /// \param incarnation should be higher than those of earlier processes of this node.
  /// \param timers outlives this object.
  PeerMonitor(boost::asio::io_context& context, services::TimerService& timers,
              logstore::ClockFunction clock, Incarnation incarnation, PeerMonitorKnobs knobs,
              std::uint64_t seed, StateObserver onStateChanged);

  /// Starts probing and answering probes. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& ip, std::uint16_t port);
  /// Adds a node to the probed ones.
  void watch(const std::string& ip);
  /// Stops probing a node that has left the member list.
  void forget(const std::string& ip);
  /// \return whether the detector currently considers the node suspected or dead.
  [[nodiscard]] bool isSuspectedOrDead(const std::string& ip) const {
    return suspectedOrDead_.contains(ip);
  }
  /// \return the number of probed nodes that are suspected or dead.
  [[nodiscard]] std::size_t suspectedOrDeadNodes() const { return suspectedOrDead_.size(); }

 private:
  void tickLoop();
  void onDatagram(const DatagramSocket::Endpoint& sender, std::string_view bytes);
  void executeCommands();
  void onMemberChanged(const membership::MemberUpdate& update);
  void send(const membership::SendMembershipMessage& command);

  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  Incarnation incarnation_;
  PeerMonitorKnobs knobs_;
  std::uint64_t seed_;
  StateObserver onStateChanged_;
  DatagramSocket socket_;
  std::uint16_t port_ = 0;
  membership::MembershipServicePtr detector_;  ///< Null before `listen`; then no node is suspected.
  std::set<std::string, std::less<>> suspectedOrDead_;  ///< Addresses of suspected and dead nodes.
};

}  // namespace gorsetrail::edge
