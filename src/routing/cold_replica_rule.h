/// \file Fleet-wide rate limit for each cold replica, enforced without messages between nodes. No
/// I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/configuration.h"
#include "routing/member_ring.h"
#include "routing/placement_rule.h"

namespace gorsetrail::routing {

/// How a cold replica's rate limit is divided among nodes.
enum class ColdSharing : std::uint8_t {
  /// Among a few designated senders, each with a token bucket; nodes agree on them.
  DesignatedSenders,
  /// Among all nodes: each may send in pseudo-random time slots.
  StaticShares,
};

/// Why a request to a replica that may be cold is admitted.
enum class ColdGrant : std::uint8_t {
  Unlimited,         ///< The replica is warm.
  DesignatedSender,  ///< It is cold, and this node is a designated sender with a token.
  StaticShare,       ///< It is cold, and this node has allowance left in this slot.
  UnknownState,      ///< Its state is unknown here, and this node may send its occasional request.
  Responsive,        ///< Its state is unknown here, but it has kept responding to this node.
};

/// \return a stable snake_case name for log lines; empty if nothing limits the request.
[[nodiscard]] std::string_view coldGrantName(ColdGrant grant);

/// Settings of `ColdReplicaRule`, which must be the same at all nodes. The limit bounds the
/// requests that reach one replica in any second; docs/design/0015-cold-replicas.md derives its
/// division.
struct ColdReplicaKnobs {
  ColdSharing sharing = ColdSharing::DesignatedSenders;
  /// The limit is `coldRequestsPerSecond * overshoot + slack`, in requests per second.
  double overshoot = 1.5;
  double slack = 5;
  /// Interval between two registrations of a replica.
  Duration heartbeat = milliseconds(1200);
  /// Maximum delay of a registration's write, and of a request on its way to the replica.
  Duration margin = milliseconds(300);
  /// Designated senders of a replica under one membership view, chosen by rendezvous hashing. More
  /// senders cover more of the fleet's requests; fewer senders have a higher rate each.
  std::size_t designatedSenders = 4;
  /// Fraction of the limit for the designated senders of two disjoint membership views. The rest of
  /// the limit is left for nodes in unknown state; a larger fraction would let a sender reach three
  /// requests per second at the usual limit.
  double senderShare = 0.56;
  /// Capacity of a sender's token bucket.
  double senderBurst = 1.0;
  /// Initial tokens of a new sender's bucket. Zero, since another sender, or an earlier process of
  /// this node, may have sent just before.
  double initialTokens = 0;
  /// A node that does not know a replica's state sends it at most one request per
  /// `unknownStateSlot`, and only within `unknownStateWindow` of the slot's start. Slots follow the
  /// machine's clock, which continues over a process restart, so that requests of two processes are
  /// a second apart too.
  Duration unknownStateSlot = milliseconds(1300);
  Duration unknownStateWindow = milliseconds(300);
  /// Maximum difference of two nodes' member lists, as a fraction of the hash ring. Nodes read the
  /// lists within seconds of each other, and ended members stay listed for minutes.
  double maxMemberListDifference = 0.25;
  /// Fraction of the limit (0 to 1) per `slot`, for all nodes together, with
  /// `ColdSharing::StaticShares`. One second overlaps at most three slots of a node, 0.36 of the
  /// limit on average, which leaves room for random variation over many nodes.
  double staticShare = 0.12;
  /// Length of a slot. Unused allowance does not carry over to the next slot.
  Duration slot = milliseconds(500);
  /// A node does not know which replicas are cold if the store has not answered for this long.
  /// Covers the heartbeat, the longest pauses between reads and one lost read.
  Duration staleAfter = seconds(3);
  /// A replica that has kept responding within this time while the store is unavailable counts as
  /// responsive: it cannot have restarted cold.
  Duration responsiveWithin = seconds(2);
  /// Requests per slot to a responsive replica, for each node in unknown state, so that running
  /// programs keep their replica with a turn each half second.
  std::uint32_t trustedPerSlot = 1;
  /// Shorter than the interval in which a sender usually gains a token.
  Duration retryAfter = milliseconds(150);
};

/// Queries for the node's current view of services and members.
struct ColdReplicaSources {
  /// \return the service; null if it is unknown.
  std::function<const Service*(std::string_view name)> serviceOf;
  /// \return names of the nodes that accept clients, including this node if it does; empty if
  /// unknown.
  std::function<const std::vector<std::string>&()> nodes;
  /// \return all listed members, alive or not, under the same names and weighted by their client
  /// traffic; empty before the first listing.
  std::function<const std::vector<RingMember>&()> members;
};

/// A change of a replica's cold state or of this node's sender role, for a log line.
struct ColdReplicaChange {
  std::string id;
  std::string zone;
  bool isCold = false;
  Duration remaining = Duration::zero();  ///< Remaining cold time; zero if unknown.
  bool isDesignatedSender = false;        ///< This node is a designated sender of the replica.
};

/// Enforces the rate limit of cold replicas. A replica counts as cold if its registration says so,
/// if it is new and its registration does not report its state, or if its zone has just returned
/// from an evacuation. A node that does not know which replicas are cold (after a start, or while
/// the store is unavailable) is in unknown state. It sends about one request per second to each of
/// a few replicas, and more only to responsive ones.
///
/// Guarantee: among nodes that know the state only designated senders send, among the others only
/// the replica's owners on the member ring. The numbers of both and the rate of each are bounded,
/// so the limit holds. Not covered: nodes in unknown state that send to a responsive replica; their
/// number is not bounded.
class ColdReplicaRule final : public PlacementRule {
 public:
  /// \param ownName this node's name in `ColdReplicaSources::nodes`.
  /// \param incarnation identifies this process; differs between processes.
  ColdReplicaRule(ColdReplicaKnobs knobs, ColdReplicaSources sources, std::string ownName,
                  std::uint64_t incarnation);

  /// Applies a registration to the replica.
  /// \param isNew whether the replica has appeared since this node began to follow registrations.
  void onRegistration(Replica& replica, bool isNew, Instant now);
  /// Forgets the state of a replica whose process has restarted. Keeps the times of recent
  /// requests, since some of them may have reached the new process.
  void onLifeEnded(const std::string& id);
  /// Handles the first complete listing of evacuated zones after a start or an outage of the store.
  /// A zone may have returned just before, so the state stays unknown until newer registrations
  /// have been read.
  void onEvacuationsListed(Instant now);
  /// All evacuation records written before `askedAt` have been read.
  void onEvacuationsFresh(Instant askedAt);
  /// All registrations written before `askedAt` have been read.
  void onFresh(Instant askedAt);
  /// Handles the end of a zone's evacuation. The zone's replicas count as cold until their
  /// registrations report their current state.
  void onZoneReturned(const std::string& zone, Instant now);
  /// Updates the state of all replicas. Must be called several times a second and when services
  /// change.
  /// \return the changes since the last call.
  std::vector<ColdReplicaChange> updateColdStates(const std::vector<ReplicaPtr>& replicas,
                                                  Instant now);

  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const override;
  void onSent(const Replica& replica, Instant now) override;
  [[nodiscard]] std::string_view grantNameOf(const Replica& replica, Instant now) const override;
  void onExcluded(const Replica& replica) override;
  [[nodiscard]] Duration retryAfter(ExclusionReason reason) const override;

  [[nodiscard]] bool isCold(const Replica& replica, Instant now) const;
  /// \return whether this node knows which replicas are cold.
  [[nodiscard]] bool isStateKnown(Instant now) const;
  /// \return the number of cold replicas as of the last `updateColdStates`.
  [[nodiscard]] std::size_t coldReplicas() const { return cold_.size(); }
  /// \return the number of replicas with a cold rate limit as of the last `updateColdStates`.
  [[nodiscard]] std::size_t limitedReplicas() const { return limitedReplicas_; }
  /// \return how often this rule excluded a replica from a placement.
  [[nodiscard]] std::uint64_t exclusionCount() const { return exclusionCount_; }

 private:
  struct Bucket {
    double tokens = 0;
    Instant filledAt;
  };
  /// Requests sent to a replica in one time slot.
  struct SlotUse {
    std::int64_t slot = 0;
    std::uint32_t sent = 0;
  };
  [[nodiscard]] double limitOf(const Replica& replica) const;
  [[nodiscard]] double senderTokensPerSecond(const Replica& replica) const;
  [[nodiscard]] std::size_t senderCountOf(const Replica& replica) const;
  [[nodiscard]] bool isSenderOf(const Replica& replica) const;
  /// \return the maximum requests of one designated sender in any second.
  [[nodiscard]] double maxSenderRequestsPerSecond(const Replica& replica) const;
  /// \return the number of owners under one member list that may send in unknown state: the part of
  /// the limit that designated senders leave, for two lists.
  [[nodiscard]] std::size_t unknownStateSenderCountOf(const Replica& replica) const;
  [[nodiscard]] double tokensOf(const Bucket& bucket, const Replica& replica, Instant now) const;
  [[nodiscard]] std::int64_t slotOf(Instant now) const;
  /// \return requests that this node may send in a slot, from the given share of the limit.
  [[nodiscard]] std::uint32_t slotAllowance(const Replica& replica, double share,
                                            std::int64_t slot) const;
  [[nodiscard]] std::uint32_t sentInSlot(const Replica& replica, std::int64_t slot) const;
  [[nodiscard]] bool hasSlotAllowance(const Replica& replica, double share, Instant now) const;
  /// The time slot in which this node may send one request to a replica of unknown state.
  struct UnknownStateSlot {
    std::int64_t number = 0;
    bool isOpen = false;  ///< Whether its send window is open.
  };
  [[nodiscard]] UnknownStateSlot unknownStateSlotOf(const Replica& replica, Instant now) const;
  /// \return whether this node may send a request to a replica whose state it does not know.
  [[nodiscard]] bool maySendInUnknownState(const Replica& replica, Instant now) const;
  [[nodiscard]] bool isResponsive(const Replica& replica, Instant now) const;
  /// \return why a request to the replica is admitted now; empty if it is not.
  [[nodiscard]] std::optional<ColdGrant> grantOf(const Replica& replica, Instant now) const;
  void updateReplica(Replica& replica, Instant now, std::vector<ColdReplicaChange>& changes);
  void dropOutdatedZoneReturns();
  void dropExpiredSlots(Instant now);

  ColdReplicaKnobs knobs_;
  ColdReplicaSources sources_;
  std::string ownName_;
  std::uint64_t incarnation_;
  Duration slotPhase_;
  Instant freshAt_;             ///< All registrations written before it have been read.
  Instant evacuationsFreshAt_;  ///< All evacuation records written before it have been read.
  /// The state stays unknown until registrations written after this time have been read.
  Instant unknownUntilReadAt_ = Instant::max();
  /// When each zone returned from evacuation; dropped once newer registrations have been read.
  std::map<std::string, Instant, std::less<>> zoneReturnedAt_;
  std::map<std::string, Bucket, std::less<>> buckets_;  ///< Of replicas that this node sends to.
  std::map<std::string, SlotUse, std::less<>> slots_;
  std::optional<Instant> firstUpdateAt_;  ///< Time of the first `updateColdStates`.
  MemberRing members_;                    ///< As of the last `updateColdStates` in unknown state.
  /// When this node last sent to each replica in unknown state, within the last `unknownStateSlot`.
  std::map<std::string, Instant, std::less<>> unknownStateSentAt_;
  std::map<std::string, bool, std::less<>> cold_;  ///< Id to whether this node is a sender.
  std::size_t limitedReplicas_ = 0;
  std::uint64_t exclusionCount_ = 0;
};

}  // namespace gorsetrail::routing
