/// \file SWIM failure detection: one probe per period in random order, indirect probes, suspicion
/// with refutation, and updates piggybacked on probes and replies.
///
/// All message rates are constant, independent of the number of nodes.
#pragma once

#include <optional>
#include <vector>

#include "membership/backend_notices.h"
#include "membership/member_table.h"
#include "membership/membership_service.h"
#include "membership/update_queue.h"

namespace gorsetrail::membership {

/// Implements `MembershipService` with SWIM.
class SwimMembership final : public MembershipService {
 public:
  SwimMembership(NodeId self, Incarnation incarnation, std::vector<Member> members,
                 MembershipKnobs knobs, std::uint64_t seed);

  bool addMember(Member member) override;
  void removeMember(NodeId node) override;
  void onMembershipMessage(NodeId from, const MembershipMessage& message, Instant now) override;
  void onMachineList(const std::vector<MachineListEntry>& entries, Instant now) override;
  void onTick(Instant now) override;
  void announceBackend(std::uint32_t backendHash, bool leaving, Instant now) override;
  void setActiveBundleVersion(BundleVersion version) override;
  void beginLeave(Instant now) override;
  [[nodiscard]] bool knows(NodeId node) const override { return table_.find(node).has_value(); }
  [[nodiscard]] MemberState stateOf(NodeId node) const override;
  [[nodiscard]] Incarnation incarnationOf(NodeId node) const override;
  [[nodiscard]] const std::vector<Member>& members() const override { return members_; }
  [[nodiscard]] std::vector<MembershipCommand> takeCommands() override;

 private:
  struct OutstandingProbe {
    std::uint32_t probe = 0;
    MemberIndex target = 0;
    Incarnation incarnation;  ///< Incarnation that was probed.
    Instant sentAt;
    bool indirectSent = false;
  };
  /// Expires to `Dead` at `deadline` unless the member refutes it.
  struct Suspicion {
    MemberIndex member = 0;
    Instant deadline;
    /// Time of the next probe that lets the member refute; only for suspicions from this node's own
    /// probe.
    std::optional<Instant> nextProbeAt;
  };
  /// A probe sent on behalf of `origin`.
  struct RelayedProbe {
    std::uint32_t ownProbe = 0;
    std::uint32_t originProbe = 0;
    NodeId origin;
    Instant deadline;
  };

  void handle(NodeId from, const ProbeRequest& request, Instant now);
  void handle(NodeId from, const ProbeReply& reply, Instant now);
  void handle(NodeId from, const IndirectProbeRequest& request, Instant now);
  /// \return whether the sender used its latest known incarnation.
  bool readPiggyback(MemberIndex sender, const Piggyback& piggyback, Instant now);
  void reportNewerBundle(MemberIndex sender, BundleVersion version, Instant now);
  /// \param receiverIsOutdated the receiver's last message carried an older incarnation than the
  /// one known here.
  Piggyback makePiggyback(NodeId to, bool receiverIsOutdated = false);
  void addRefreshEntries(Piggyback& piggyback);

  void applyUpdate(MemberIndex index, const MemberUpdate& update, Instant now);
  void applyUpdateAboutSelf(const MemberUpdate& update);
  void adoptIncarnationAbove(Incarnation knownIncarnation);
  void refute(std::uint32_t atLeast);
  void onNoticeChanged(std::uint32_t noticeIndex);

  void extendDeadlinesAfterPause(Instant now);
  void expireProbe(Instant now);
  void extendSuspicions(Duration span);
  [[nodiscard]] bool isIsolated(Instant now) const;
  void expireSuspicions(Instant now);
  void probeSuspects(Instant now);
  void startProbe(Instant now);
  void probeDeadMember();
  /// Sends a pending urgent probe if its interval has passed.
  void sendUrgentProbes(Instant now);
  void sendProbe(MemberIndex target, std::uint32_t probe);
  void sendIndirectProbes();
  std::optional<MemberIndex> nextProbeTarget();
  std::optional<MemberIndex> randomMember(bool (*predicate)(MemberState));
  void shuffleProbeOrder();
  void send(NodeId to, MembershipMessage message);

  NodeId self_;
  Incarnation incarnation_;
  std::vector<Member> members_;
  MembershipKnobs knobs_;
  RandomSource random_;
  MemberStateTable table_;
  std::optional<MemberIndex> selfIndex_;
  MemberState ownState_ = MemberState::Alive;
  std::uint32_t ownRefutation_ = 0;
  BundleVersion bundleInForce_;

  UpdateQueue memberQueue_;
  UpdateQueue noticeQueue_;
  BackendNotices notices_;
  MemberIndex nextRefreshMember_ = 0;
  std::uint32_t nextRefreshNotice_ = 0;
  std::uint32_t pendingUrgentProbes_ = 0;
  Instant nextUrgentProbeAt_;
  Instant nextBundleReportAt_;

  std::vector<std::uint16_t> probeOrder_;
  std::size_t probeCursor_ = 0;
  std::uint32_t nextProbeId_ = 1;
  std::uint32_t periodCount_ = 0;
  std::optional<OutstandingProbe> outstandingProbe_;
  std::vector<Suspicion> suspicions_;
  std::vector<RelayedProbe> relayedProbes_;
  std::vector<MemberIndex> freeIndices_;  ///< Indices of removed members.
  bool started_ = false;
  Instant lastReceivedAt_;  ///< Time of the last message from any node.
  Instant lastTick_;
  Instant nextPeriodAt_;
  std::vector<MembershipCommand> commands_;
};

}  // namespace gorsetrail::membership
