/// \file SWIM-like failure detection: one probe a period in a random order, indirect probes,
/// suspicion with refutation, and news that rides on probes and replies.
///
/// All rates are constants: they do not grow with the fleet.
#pragma once

#include <optional>
#include <vector>

#include "membership/backend_notices.h"
#include "membership/member_table.h"
#include "membership/membership_service.h"
#include "membership/update_queue.h"

namespace gorsetrail::membership {

/// See `membership_service.h` for the contract.
class SwimMembership final : public MembershipService {
 public:
  SwimMembership(NodeId self, Incarnation incarnation, std::vector<Member> members,
                 MembershipKnobs knobs, std::uint64_t seed);

  bool addMember(Member member) override;
  void removeMember(NodeId node) override;
  void onMembershipMessage(NodeId from, const MembershipMessage& message, Instant now) override;
  void onMachineList(const std::vector<MachineListLine>& lines, Instant now) override;
  void onTick(Instant now) override;
  void announceBackend(std::uint32_t backendHash, bool leaving, Instant now) override;
  void setBundleInForce(BundleVersion version) override;
  void beginLeave(Instant now) override;
  [[nodiscard]] bool knows(NodeId node) const override { return table_.find(node).has_value(); }
  [[nodiscard]] MemberState stateOf(NodeId node) const override;
  [[nodiscard]] Incarnation incarnationOf(NodeId node) const override;
  [[nodiscard]] const std::vector<Member>& members() const override { return members_; }
  [[nodiscard]] std::vector<MembershipCommand> takeCommands() override;

 private:
  /// The probe of the current period.
  struct OutstandingProbe {
    std::uint32_t probe = 0;
    MemberIndex target = 0;
    Incarnation incarnation;  ///< Life that was probed.
    Instant sentAt;
    bool indirectSent = false;
  };
  /// A suspicion that becomes Dead unless it is refuted.
  struct Suspicion {
    MemberIndex member = 0;
    Instant deadline;
    /// When this node tells the suspect again; only for suspicions from its own probe.
    std::optional<Instant> nextChallenge;
  };
  /// A probe made for another node.
  struct Relay {
    std::uint32_t ownProbe = 0;
    std::uint32_t originProbe = 0;
    NodeId origin;
    Instant deadline;
  };

  void handle(NodeId from, const ProbeRequest& request, Instant now);
  void handle(NodeId from, const ProbeReply& reply, Instant now);
  void handle(NodeId from, const IndirectProbeRequest& request, Instant now);
  bool readPiggyback(MemberIndex sender, const Piggyback& piggyback, Instant now);
  void noteBundle(MemberIndex sender, BundleVersion version, Instant now);
  /// \param receiverIsOutdated the receiver spoke as an incarnation before the one believed in.
  Piggyback makePiggyback(NodeId to, bool receiverIsOutdated = false);
  void addRefresh(Piggyback& piggyback);

  void applyUpdate(MemberIndex index, const MemberUpdate& update, Instant now);
  void applyUpdateAboutSelf(const MemberUpdate& update);
  void adoptIncarnationAfter(Incarnation believed);
  void refute(std::uint32_t atLeast);
  void noticeChanged(std::uint32_t noticeIndex);

  void forgiveOwnPause(Instant now);
  void expireProbe(Instant now);
  void extendSuspicions(Duration span);
  [[nodiscard]] bool isIsolated(Instant now) const;
  void expireSuspicions(Instant now);
  void challengeSuspects(Instant now);
  void startProbe(Instant now);
  void probeDeadMember();
  void spreadUrgentNews(Instant now);
  void sendProbe(MemberIndex target, std::uint32_t probe);
  void sendIndirectProbes();
  std::optional<MemberIndex> nextProbeTarget();
  std::optional<MemberIndex> randomMember(bool (*wanted)(MemberState));
  void shuffleProbeOrder();
  void send(NodeId to, MembershipMessage message);

  NodeId self_;
  Incarnation incarnation_;
  std::vector<Member> members_;
  MembershipKnobs knobs_;
  RandomSource random_;
  MemberTable table_;
  std::optional<MemberIndex> selfIndex_;
  MemberState ownState_ = MemberState::Alive;
  std::uint32_t ownRefutation_ = 0;
  BundleVersion bundleInForce_;

  UpdateQueue memberNews_;
  UpdateQueue noticeNews_;
  BackendNotices notices_;
  MemberIndex refreshMember_ = 0;
  std::uint32_t refreshNotice_ = 0;
  std::uint32_t urgentSends_ = 0;
  Instant nextUrgentAt_;
  Instant nextBundleReportAt_;

  std::vector<std::uint16_t> probeOrder_;
  std::size_t probeCursor_ = 0;
  std::uint32_t nextProbe_ = 1;
  std::uint32_t periods_ = 0;
  std::optional<OutstandingProbe> outstanding_;
  std::vector<Suspicion> suspicions_;
  std::vector<Relay> relays_;
  std::vector<MemberIndex> freePlaces_;  ///< Of members that were removed.
  bool started_ = false;
  Instant lastHeardAt_;  ///< Any message from any node.
  Instant lastTick_;
  Instant nextPeriodAt_;
  std::vector<MembershipCommand> commands_;
};

}  // namespace gorsetrail::membership
