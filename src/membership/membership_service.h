/// \file SWIM failure detector and member list of one node. Does no I/O and reads no clock.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/membership_interface.h"

namespace gorsetrail::membership {

/// Limits memory to about 330 KB; indices in the probe order have 16 bits.
inline constexpr std::size_t kMaximumMembers = 8192;

/// A node as listed in the settings or in the machine list.
struct Member {
  NodeId node;
  std::string zone;
  std::string peerAddress;    ///< `host:port` used by other nodes.
  std::string callerAddress;  ///< `host:port` used by callers.
};

/// An entry of the platform's machine list. The list may be stale, and a node missing from it may
/// still be running.
struct MachineListEntry {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::Alive;  ///< Alive, Leaving or Terminated.
};

struct SendMembershipMessage {
  NodeId to;
  MembershipMessage message;
};
/// The state of a member changed; the caller informs the other subsystems.
struct MemberChanged {
  MemberUpdate update;
};
/// A back end started or stopped draining.
struct BackendChanged {
  BackendNotice notice;
};
/// A peer has activated a higher bundle version than this node.
struct NewerBundleSeen {
  NodeId peer;
  BundleVersion version;
};

using MembershipCommand =
    std::variant<SendMembershipMessage, MemberChanged, BackendChanged, NewerBundleSeen>;

struct MembershipKnobs {
  /// One member is probed per period.
  Duration probePeriod = milliseconds(500);
  /// Indirect probes are sent if the direct probe is not answered in this time.
  Duration probeTimeout = milliseconds(150);
  /// A suspected member that does not refute in this time is declared dead.
  Duration suspicionTimeout = milliseconds(1000);
  /// Number of nodes asked to probe a member that did not reply to the direct probe.
  std::size_t indirectProbeCount = 2;
  /// Number of messages that carry each update.
  std::size_t transmissionsPerUpdate = 12;
  /// A node that received no message for this long assumes that its own links failed: it suspects
  /// no member and declares none dead. At least `suspicionTimeout`, so that no suspicion that began
  /// in the meantime can expire.
  Duration isolationTimeout = seconds(1);
  /// Whether probes from unknown nodes are answered. Needed where nodes join at run time, since the
  /// prober may know this node before this node knows the prober.
  bool answersUnknownNodes = false;
};

/// Failure detector and membership view of one node; collects commands for the caller to execute.
class MembershipService {
 public:
  virtual ~MembershipService() = default;
  /// Adds a node, presumed alive until a probe fails. For a known node only the addresses are
  /// updated.
  /// \return false if the table is full (`kMaximumMembers`); the node is then not monitored.
  virtual bool addMember(Member member) = 0;
  /// Removes a node; its table index is reused by the next one that is added.
  virtual void removeMember(NodeId node) = 0;
  virtual void onMembershipMessage(NodeId from, const MembershipMessage& message, Instant now) = 0;
  virtual void onMachineList(const std::vector<MachineListEntry>& entries, Instant now) = 0;
  /// Sends due probes and handles expired timeouts. Call it periodically.
  virtual void onTick(Instant now) = 0;
  /// Disseminates that a back end is draining (`leaving`) or available again.
  virtual void announceBackend(std::uint32_t backendHash, bool leaving, Instant now) = 0;
  /// Sets the configuration bundle version that this node announces; never lowers it.
  virtual void setActiveBundleVersion(BundleVersion version) = 0;
  /// Announces a planned shutdown of this node to all members.
  virtual void beginLeave(Instant now) = 0;
  [[nodiscard]] virtual bool knows(NodeId node) const = 0;
  /// \return the node's last known state; `Dead` for an unknown node.
  [[nodiscard]] virtual MemberState stateOf(NodeId node) const = 0;
  /// \return the node's last known incarnation; 0 for an unknown node.
  [[nodiscard]] virtual Incarnation incarnationOf(NodeId node) const = 0;
  [[nodiscard]] virtual const std::vector<Member>& members() const = 0;
  /// \return the commands collected since the last call, in order.
  [[nodiscard]] virtual std::vector<MembershipCommand> takeCommands() = 0;
};
using MembershipServicePtr = std::unique_ptr<MembershipService>;

/// \param members all configured nodes, including `self`.
MembershipServicePtr makeMembershipService(NodeId self, Incarnation incarnation,
                                           std::vector<Member> members, MembershipKnobs knobs,
                                           std::uint64_t seed);

}  // namespace gorsetrail::membership
