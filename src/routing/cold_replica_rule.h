/// \file A rate over the whole fleet for each cold replica, kept without messages. No I/O, no
/// clock.
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

/// Who may send to a cold replica.
enum class ColdSharing : std::uint8_t {
  Feeders,       ///< A few nodes that all agree on, each with a token bucket.
  StaticShares,  ///< Every node, in its own random part of the time.
};

/// By what a request to a replica that may be cold is allowed.
enum class ColdGrant : std::uint8_t {
  Unlimited,    ///< The replica is warm.
  Feeder,       ///< It is cold; this node is one of its feeders.
  StaticShare,  ///< It is cold; this node uses its part of the time.
  Unsure,       ///< This node cannot know its state.
  Trusted,      ///< As before, and the replica answers this node all the time.
};

/// \return a stable snake_case name for log lines; empty: nothing limits the request.
[[nodiscard]] std::string_view coldGrantName(ColdGrant grant);

/// Knobs of `ColdReplicaRule`. All nodes must use the same. The limit is what may reach one replica
/// in any second; how it is divided is worked out in docs/design/0015-cold-replicas.md.
struct ColdReplicaKnobs {
  ColdSharing sharing = ColdSharing::Feeders;
  /// A cold replica's limit: the rate it bears times this, and `slack`.
  double overshoot = 1.5;
  double slack = 5;
  /// Between two registrations of a replica.
  Duration heartbeat = milliseconds(1200);
  /// A registration is written, and a request travels, so much later than planned at most.
  Duration margin = milliseconds(300);
  /// Nodes that send to one cold replica, by one view of the members. With more of them, more of
  /// the fleet's requests are at a feeder; with fewer, each may send at a higher rate.
  std::size_t feeders = 4;
  /// Of the limit, for the feeders of two views of the members that have no feeder in common. At
  /// the usual limit a feeder then sends two whole requests in any second; a little more would make
  /// it three, and the owners' part is what eight feeders leave.
  double feederShare = 0.56;
  /// Tokens that a feeder may save up.
  double feederBurst = 1.0;
  /// Tokens that a node has as it becomes a feeder: another one, or an earlier life of this node,
  /// may just have sent.
  double firstTokens = 0;
  /// A node that does not know the state of a replica sends it one request in so long, and only at
  /// the beginning of that time, for `unsureWindow`. The time is counted by the machine's clock,
  /// which goes on when the process starts again, so that two requests lie a second apart whichever
  /// process sent them, and a process that has just started need not wait for that long.
  Duration unsureSlot = milliseconds(1300);
  Duration unsureWindow = milliseconds(300);
  /// Two nodes' lists of the members may differ in such a part of the ring. Lists are read from the
  /// store, within seconds of one another, and members stay listed for minutes after their end.
  double listsDifference = 0.25;
  /// Of the limit, in each slot, for all nodes where `sharing` says so. A second may touch three
  /// slots of a node: 0.36 of the limit in the mean, with room for chance sums of many nodes.
  double staticShare = 0.12;
  /// A node that may send in a slot sends in it or not at all: nothing is saved up.
  Duration slot = milliseconds(500);
  /// Without an answer of the store for so long a node does not know who is cold: the heartbeat
  /// and the longest pauses between reads, with room for one lost read.
  Duration staleAfter = seconds(3);
  /// A replica that has answered within this, and went on answering while the store is silent, has
  /// not come back cold from an absence.
  Duration trustTime = seconds(2);
  /// Requests in a slot to such a replica, for each node that does not know its state: programs
  /// under way keep their replica, with a turn each half second.
  std::uint32_t trustedPerSlot = 1;
  /// A feeder makes a token in about 0.3 s.
  Duration retryAfter = milliseconds(150);
};

/// What the rule needs to know of the node's surroundings; asked when needed.
struct ColdReplicaSources {
  /// \return the service's description; null: not known.
  std::function<const Service*(std::string_view name)> serviceOf;
  /// \return names of the nodes that take clients, this one included where it does; empty: not
  /// known.
  std::function<const std::vector<std::string>&()> nodes;
  /// \return all members that are listed, whether they live or not, by the same names and weighted
  /// by the clients that come to them; empty: they were not listed yet.
  std::function<const std::vector<RingMember>&()> members;
};

/// One replica turned cold or warm, or this node became its feeder or is none any more; for a log
/// line.
struct ColdReplicaChange {
  std::string id;
  std::string zone;
  bool isCold = false;
  Duration remaining = Duration::zero();  ///< Zero: not known.
  bool isFeeder = false;                  ///< This node sends to it.
};

/// Keeps the limit of cold replicas. A replica counts as cold by what its registration says; while
/// it is new here and its registration says nothing; and while its zone has just been taken back
/// from an evacuation. A node that cannot know (it has just started, or the store is silent) sends
/// one request a second to a few replicas, and more only to those that answer it all the time.
///
/// Why the limit holds: of all nodes that know the state, only the feeders send; of those that do
/// not, only the replica's owners on the ring of members. Both are limited in number by agreement
/// and not by chance, and so is what each of them sends in a second. Not covered: nodes that do not
/// know the state and trust the replica, since it answers them all the time; nothing limits their
/// number.
class ColdReplicaRule final : public PlacementRule {
 public:
  /// \param ownName this node's name among `ColdReplicaSources::nodes`.
  /// \param life differs between processes.
  ColdReplicaRule(ColdReplicaKnobs knobs, ColdReplicaSources sources, std::string ownName,
                  std::uint64_t life);

  /// A registration was read into the replica.
  /// \param isNew it was not known before, and this node followed the registrations already.
  void onRegistration(Replica& replica, bool isNew, Instant now);
  /// The replica's process has started again: the rate and the state of before are no longer its
  /// own. What this node sent lately still spaces its requests, since some may have reached the
  /// new life.
  void onLifeEnded(const std::string& id);
  /// A whole listing told which zones are evacuated. Where this node did not know before (it has
  /// just started, or the store was silent), a zone may have been taken back just before that.
  void onEvacuationsListed(Instant now);
  /// Everything that operators wrote before that moment has been read.
  void onEvacuationsFresh(Instant askedAt);
  /// Everything that was registered before that moment has been read.
  void onFresh(Instant askedAt);
  /// A zone's evacuation was taken back: its replicas may have turned cold before, and their
  /// registrations may not tell it yet.
  void onZoneReturned(const std::string& zone, Instant now);
  /// Call it with all replicas some times a second, and when services change.
  /// \return what changed since the last call.
  std::vector<ColdReplicaChange> tend(const std::vector<ReplicaPtr>& replicas, Instant now);

  [[nodiscard]] std::optional<PlacementBar> barOf(const Replica& replica,
                                                  const PlacementSubject& subject,
                                                  Instant now) const override;
  void onSent(const Replica& replica, Instant now) override;
  [[nodiscard]] std::string_view grantNameOf(const Replica& replica, Instant now) const override;
  void onPassedOver(const Replica& replica) override;
  [[nodiscard]] Duration retryAfter(PlacementBar bar) const override;

  [[nodiscard]] bool isCold(const Replica& replica, Instant now) const;
  /// \return whether this node knows which replicas are cold.
  [[nodiscard]] bool isSure(Instant now) const;
  /// \return cold replicas as of the last `tend`.
  [[nodiscard]] std::size_t coldReplicas() const { return cold_.size(); }
  /// \return replicas that have a limit while they are cold, as of the last `tend`.
  [[nodiscard]] std::size_t limitedReplicas() const { return limitedReplicas_; }
  /// \return how often a placement passed a replica over.
  [[nodiscard]] std::uint64_t passedOver() const { return passedOver_; }

 private:
  struct Bucket {
    double tokens = 0;
    Instant filledAt;
  };
  /// What was sent to a replica in one slot of time.
  struct SlotUse {
    std::int64_t slot = 0;
    std::uint32_t sent = 0;
  };
  [[nodiscard]] double limitOf(const Replica& replica) const;
  [[nodiscard]] double feederRateOf(const Replica& replica) const;
  [[nodiscard]] std::size_t feederCountOf(const Replica& replica) const;
  [[nodiscard]] bool isFeederOf(const Replica& replica) const;
  /// \return requests that a feeder may send in one second.
  [[nodiscard]] double mostOfFeeder(const Replica& replica) const;
  /// \return nodes that may send to the replica, by one list of the members, while they cannot
  /// know its state.
  [[nodiscard]] std::size_t unsureSendersOf(const Replica& replica) const;
  [[nodiscard]] double tokensOf(const Bucket& bucket, const Replica& replica, Instant now) const;
  [[nodiscard]] std::int64_t slotOf(Instant now) const;
  /// \return requests that this node may send in a slot, of `share` of the limit.
  [[nodiscard]] std::uint32_t slotAllowance(const Replica& replica, double share,
                                            std::int64_t slot) const;
  [[nodiscard]] std::uint32_t sentInSlot(const Replica& replica, std::int64_t slot) const;
  [[nodiscard]] bool hasSlotLeft(const Replica& replica, double share, Instant now) const;
  /// The part of time in which this node may send one request to a replica whose state it cannot
  /// know.
  struct UnsureSlot {
    std::int64_t number = 0;
    bool isOpen = false;  ///< Its window.
  };
  [[nodiscard]] UnsureSlot unsureSlotOf(const Replica& replica, Instant now) const;
  /// \return whether this node may send a request to the replica, whose state it cannot know.
  [[nodiscard]] bool mayGetUnsure(const Replica& replica, Instant now) const;
  [[nodiscard]] bool isTrusted(const Replica& replica, Instant now) const;
  /// \return by what this node may send to the replica now; nothing: it may not.
  [[nodiscard]] std::optional<ColdGrant> grantOf(const Replica& replica, Instant now) const;
  void tendReplica(Replica& replica, Instant now, std::vector<ColdReplicaChange>& changes);
  void endCautions();
  void forgetSlots(Instant now);

  ColdReplicaKnobs knobs_;
  ColdReplicaSources sources_;
  std::string ownName_;
  std::uint64_t life_;
  Duration slotPhase_;
  Instant freshAt_;             ///< The registrations.
  Instant evacuationsFreshAt_;  ///< A zone's return is no news to who reads only registrations.
  /// Registrations of before this moment do not tell who was cold when the process started.
  Instant unsureUntilReadAt_ = Instant::max();
  /// Zones that were taken back: registrations of after that moment tell who is cold.
  std::map<std::string, Instant, std::less<>> cautions_;
  std::map<std::string, Bucket, std::less<>> buckets_;  ///< Of replicas that this node feeds.
  std::map<std::string, SlotUse, std::less<>> slots_;
  std::optional<Instant> begunAt_;  ///< The first look at the replicas.
  MemberRing members_;              ///< As of the last `tend` at which this node was unsure.
  /// When this node last sent to a replica whose state it did not know, of the last slots.
  std::map<std::string, Instant, std::less<>> unsureSentAt_;
  std::map<std::string, bool, std::less<>> cold_;  ///< By id; whether this node feeds it.
  std::size_t limitedReplicas_ = 0;
  std::uint64_t passedOver_ = 0;
};

}  // namespace gorsetrail::routing
