/// \file Receiver side of the journals: promises, stores, and refuses by epoch and group version.
///
/// Why it is safe. A record is chosen when a quorum stored it under one epoch; a candidate reads a
/// quorum before it writes, and every replica that answered refuses lower epochs from then on. Any
/// two quorums share a replica, so nothing chosen is missed and no fenced owner reaches a quorum.
///
/// The argument needs replicas that keep their promises. One that restarted with an empty memory
/// would not. So for each program that it may have held it first sets a *barrier*: every other
/// member of the group raises its promise above all epochs that the earlier life can have granted
/// or acknowledged. From then on what the earlier life said, also answers still on their way,
/// completes no quorum: the rest of that quorum refuses. If any member has content, the replica
/// stays *unfilled* (it grants nothing) until an owner that was sealed above the barrier, hence by
/// the others, sends the whole record.
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "program/command_queue.h"
#include "program/life_register.h"

namespace gorsetrail::program {

/// How far a replica may vouch for what it holds of one program.
enum class ReplicaTrust : std::uint8_t {
  Recovering,  ///< Waits for the barrier's answers; answers no seal and stores nothing.
  Unfilled,    ///< Others hold content: grants nothing until the whole record came.
  Filled,      ///< Counts for quorums.
};

/// The replicas of all programs that this node holds copies of.
class JournalReplica {
 public:
  /// \param groups, commands outlive the replica.
  JournalReplica(NodeId self, Incarnation incarnation, const ProgramKnobs& knobs,
                 const ReplicaGroups& groups, CommandQueue& commands);

  void onSealRequest(NodeId from, const SealRequest& request, Instant now);
  void onAppendRequest(NodeId from, const AppendRequest& request, Instant now);
  /// Takes an answer to this node's own barrier request.
  void onBarrierReply(NodeId from, const SealReply& reply, Instant now);
  void onRelease(const ReleaseNotice& notice);
  /// Asks again for missing barrier answers; drops what has outlived its retention.
  void onTick(Instant now);
  /// The node's home zone, learnt from the first program of which it is a member.
  void learnZone(const std::string& zone, ProgramId program);

  /// \name Repair of replicas that lost their memory (see `replica_repair.h`)
  /// @{
  /// Whom a copy names as owner, and under which epoch.
  struct NamedOwner {
    NodeId node;  ///< 0 when the program was released.
    Incarnation incarnation;
    Epoch sealed;
  };
  /// \return and clears the peers of which a new life was met.
  [[nodiscard]] std::vector<NodeId> takeNewLives() { return std::exchange(newLives_, {}); }
  /// \return and clears the programs that a peer without content asked for and that are held here.
  [[nodiscard]] std::vector<ProgramId> takeRefillRequests() {
    return std::exchange(refillRequests_, {});
  }
  /// \return the programs with content here of whose groups the peer is a member.
  [[nodiscard]] std::vector<ProgramId> programsSharedWith(NodeId peer) const;
  /// \return the group's members; empty while the zone is not known.
  [[nodiscard]] std::vector<NodeId> membersOf(ProgramId program) const;
  [[nodiscard]] NamedOwner namedOwnerOf(ProgramId program) const;
  /// Tells a member that a program exists: one that forgot it begins to recover.
  void introduceTo(NodeId member, ProgramId program) const;
  /// Introduces one program to one of the peers found among the first `limit` copies, another one
  /// at each turn.
  void probePeer(std::size_t turn, std::size_t limit) const;
  /// @}

  /// \return the record held, or null.
  [[nodiscard]] const ProgramRecord* recordOf(ProgramId program) const;
  /// \return how far the copy may be counted on; `Unfilled` when the program is not known.
  [[nodiscard]] ReplicaTrust trustOf(ProgramId program) const;
  /// \return the epoch promised; 0 when the program is not known.
  [[nodiscard]] Epoch promisedOf(ProgramId program) const;
  /// \return the epoch of the last write taken; 0 when there was none.
  [[nodiscard]] Epoch writtenOf(ProgramId program) const;

 private:
  /// A barrier that a restarted peer set here; the same life is answered the same way.
  struct SetBarrier {
    NodeId peer;
    Incarnation incarnation;
    Epoch floor;
  };
  struct Copy {
    ReplicaTrust trust = ReplicaTrust::Recovering;
    Epoch promised;
    Epoch written;  ///< Epoch of the last write taken; 0 when there was none.
    NodeId owner;
    Incarnation ownerIncarnation;
    Epoch sealed;  ///< Last epoch promised to a candidate; `promised` may be a barrier above it.
    ProgramRecord record;
    Instant lastTouched;
    std::vector<SetBarrier> barriers;
    bool isKnownNew = false;  ///< Enough members were sure that the program never existed.
    // Only while recovering:
    bool contentElsewhere = false;
    std::size_t vouchers = 0;  ///< Members without content that cannot have forgotten it.
    std::vector<NodeId> answered;
    std::optional<SealRequest> heldSeal;
    Instant lastAsked;
    Duration askInterval{};
  };

  Copy& copyOf(ProgramId program, Instant now);
  [[nodiscard]] bool trustsIgnorance(ProgramId program, Instant now) const;
  [[nodiscard]] bool refusesGroup(ProgramId program, GroupVersion version) const;

  /// \return whether this replica would know of a program that exists.
  [[nodiscard]] bool remembers(Instant now) const;
  void decideSeal(const SealRequest& request, Copy& copy, Instant now);
  void answerBarrier(NodeId from, const SealRequest& request, Instant now);
  void noteRefillRequest(ProgramId program, const Copy& copy);
  void onIntroduction(ProgramId program, Instant now);
  Epoch setBarrier(NodeId peer, Incarnation incarnation, Copy& copy);
  void askBarrier(ProgramId program, Copy& copy, Instant now);
  void takeBarrierVerdict(NodeId from, const SealReply& reply, Copy& copy);
  /// \return whether the program still waits for answers; asks again when it is time.
  bool keepRecovering(ProgramId program, Instant now);
  void finishRecovery(ProgramId program, Copy& copy, Instant now);
  void reply(NodeId to, const AppendRequest& request, const Copy& copy, AppendVerdict verdict);
  [[nodiscard]] static AppendVerdict store(const AppendRequest& request, Copy& copy);
  [[nodiscard]] bool isExpired(const Copy& copy, Instant now) const;
  void noteStart(Instant now);

  NodeId self_;
  Incarnation incarnation_;
  ProgramKnobs knobs_;
  const ReplicaGroups& groups_;
  CommandQueue& commands_;
  LifeRegister lives_;
  std::string zone_;
  std::optional<Instant> startedAt_;
  std::optional<Instant> heardRememberingAt_;  ///< First answer of a member that remembers.
  Instant nextSweep_;
  Instant nextRecoveryStep_;
  std::unordered_map<ProgramId, Copy> copies_;
  std::vector<ProgramId> recovering_;  ///< Not filled yet.
  std::vector<NodeId> newLives_;
  std::vector<ProgramId> refillRequests_;
};

}  // namespace gorsetrail::program
