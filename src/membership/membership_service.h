/// \file Failure detector and member view of one node: no I/O, no clock.
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

/// Bound of the table. Positions are 16 bits in the probe order; an eighth of that is ten times the
/// largest fleet planned for (400 nodes) and takes 330 KB.
inline constexpr std::size_t kMaximumMembers = 8192;

/// A node as the settings or the machine list name it.
struct Member {
  NodeId node;
  std::string zone;
  std::string peerAddress;    ///< `host:port` for other nodes.
  std::string callerAddress;  ///< `host:port` for callers.
};

/// A line of the platform's machine list (lagging; silence in it proves nothing).
struct MachineListLine {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::Alive;  ///< Alive, Leaving or Terminated.
};

struct SendMembershipMessage {
  NodeId to;
  MembershipMessage message;
};
/// The view changed: the node tells the other subsystems.
struct MemberChanged {
  MemberUpdate update;
};
/// A back end began or ceased to leave.
struct BackendChanged {
  BackendNotice notice;
};
/// A peer has a higher bundle in force than this node.
struct NewerBundleSeen {
  NodeId peer;
  BundleVersion version;
};

using MembershipCommand =
    std::variant<SendMembershipMessage, MemberChanged, BackendChanged, NewerBundleSeen>;

struct MembershipKnobs {
  Duration probePeriod = milliseconds(500);
  Duration probeTimeout = milliseconds(150);
  Duration suspicionTimeout = milliseconds(1000);
  std::size_t indirectProbes = 2;
  std::size_t updateTransmissions = 12;
  /// A node that heard from nobody for so long doubts its own links: it suspects nobody and
  /// declares nobody dead. As long as a suspicion lasts, so that none can end in between; eight
  /// messages are usual in this time.
  Duration isolationSilence = seconds(1);
  /// Probes of nodes that are not members are answered: in a fleet that nodes join, the one that
  /// asks may know this node before it is known here.
  bool answersUnknownNodes = false;
};

class MembershipService {
 public:
  virtual ~MembershipService() = default;
  /// Takes a node in that was not known at the start; presumed to run until a probe says otherwise.
  /// A known node only gets its addresses renewed. \return false when the table is full
  /// (`kMaximumMembers`): the node is then not watched.
  virtual bool addMember(Member member) = 0;
  /// Forgets a node: its place is used for the next one that is added.
  virtual void removeMember(NodeId node) = 0;
  virtual void onMembershipMessage(NodeId from, const MembershipMessage& message, Instant now) = 0;
  virtual void onMachineList(const std::vector<MachineListLine>& lines, Instant now) = 0;
  virtual void onTick(Instant now) = 0;
  /// Spreads that a back end is leaving (or serves again).
  virtual void announceBackend(std::uint32_t backendHash, bool leaving, Instant now) = 0;
  virtual void setBundleInForce(BundleVersion version) = 0;
  /// Planned stop: tells everybody that this node is leaving.
  virtual void beginLeave(Instant now) = 0;
  [[nodiscard]] virtual bool knows(NodeId node) const = 0;
  /// \return what is believed of the node; `Dead` for one that is not known.
  [[nodiscard]] virtual MemberState stateOf(NodeId node) const = 0;
  [[nodiscard]] virtual Incarnation incarnationOf(NodeId node) const = 0;
  [[nodiscard]] virtual const std::vector<Member>& members() const = 0;
  [[nodiscard]] virtual std::vector<MembershipCommand> takeCommands() = 0;
};
using MembershipServicePtr = std::unique_ptr<MembershipService>;

/// \param members every configured node, `self` among them.
MembershipServicePtr makeMembershipService(NodeId self, Incarnation incarnation,
                                           std::vector<Member> members, MembershipKnobs knobs,
                                           std::uint64_t seed);

}  // namespace gorsetrail::membership
