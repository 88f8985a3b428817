/// \file Which other edge nodes can be reached, by probes between the nodes.
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
#include "logstore/persistent_store.h"
#include "membership/membership_service.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Settings of `PeerMonitor`.
struct PeerMonitorKnobs {
  /// How often a node probes another one, and so what the detector costs it. With a quarter of a
  /// second a dead node is probed by somebody within 1.2 s in 99 of 100 cases, whatever the size.
  Duration probePeriod = milliseconds(250);
  /// Then two others probe for it. Thirty times the longest way there and back that is known (1.4
  /// ms between zones), since a node with 0.12 of a core may take some tens of milliseconds to
  /// answer.
  Duration probeTimeout = milliseconds(100);
  /// A suspect that does not refute within this is dead. A rule of thumb: as long as news took to
  /// reach 400 nodes in virtual time (note 0005), so that the suspect hears of it and can answer.
  Duration suspicionTimeout = milliseconds(600);
  Duration isolationSilence = milliseconds(600);  ///< As long as a suspicion lasts.
  /// Timers of the detector are looked at so often; a fifth of the probe period.
  Duration tick = milliseconds(50);
};

/// Runs the failure detector of `src/membership` over datagrams. Nodes are named by their IPv4
/// address; all of a fleet listen at the same port. The store's member list says who exists; this
/// says who answers, at a cost that does not depend on the size of the fleet.
class PeerMonitor {
 public:
  /// Told when a node becomes silent (`Suspected`, then `Dead`) and when it answers again.
  using StateObserver = std::function<void(const std::string& ip, membership::MemberState state)>;

  /// \param incarnation higher than those of earlier processes of this node, as far as is known.
  /// \param timers outlives this object.
  PeerMonitor(boost::asio::io_context& context, services::TimerService& timers,
              logstore::ClockFunction clock, Incarnation incarnation, PeerMonitorKnobs knobs,
              std::uint64_t seed, StateObserver onStateChanged);

  /// Begins to probe and to answer. Errors: `InvalidSettings`.
  Result<Success> listen(const std::string& ip, std::uint16_t port);
  /// Probes this node from now on.
  void watch(const std::string& ip);
  /// The node has left the member list.
  void forget(const std::string& ip);
  /// \return whether the node did not answer its last probes, as far as the nodes told each other.
  [[nodiscard]] bool isSilent(const std::string& ip) const { return silent_.contains(ip); }
  [[nodiscard]] std::size_t silentNodes() const { return silent_.size(); }

 private:
  void tickLoop();
  void onDatagram(const DatagramSocket::Endpoint& sender, std::string_view bytes);
  void carryOut();
  void onChanged(const membership::MemberUpdate& update);
  void send(const membership::SendMembershipMessage& command);

  services::TimerService& timers_;
  logstore::ClockFunction clock_;
  Incarnation incarnation_;
  PeerMonitorKnobs knobs_;
  std::uint64_t seed_;
  StateObserver onStateChanged_;
  DatagramSocket socket_;
  std::uint16_t port_ = 0;
  membership::MembershipServicePtr detector_;  ///< Null before `listen`: nobody is silent.
  std::set<std::string, std::less<>> silent_;  ///< Addresses of nodes that do not answer.
};

}  // namespace gorsetrail::edge
