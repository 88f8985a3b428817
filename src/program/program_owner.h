/// \file Owner side of one program's journal: seal, install, append, count quorums.
///
/// Order of steps, and the failure each guards against:
/// 1. *Seal*: a quorum promises the new epoch. A paused earlier owner can reach no quorum from then
///    on, and whatever it got chosen is in at least one of the granted records.
/// 2. *Install*: the record of the highest written epoch (then the longest) goes to a quorum under
///    the new epoch before anything is decided from it. Else a later candidate that reads another
///    quorum could choose differently than what a caller was told from this record.
/// 3. *Append*: an entry stands once a quorum stored it under this epoch.
/// A restarted replica fences the epoch with a barrier; the owner then seals again above it
/// (*renews*) and keeps its own record, unless the quorum shows that somebody wrote in between.
#pragma once

#include <optional>
#include <vector>

#include "program/command_queue.h"

namespace gorsetrail::program {

enum class OwnerPhase : std::uint8_t {
  Sealing,    ///< Not the owner yet.
  Serving,    ///< Sealed; the record is known and being installed or appended to.
  Renewing,   ///< Owner, sealing again above a barrier; nothing new stands meanwhile.
  Elsewhere,  ///< Another live node owns the program (`liveOwner`).
  Lost,       ///< Was the owner; a higher epoch was promised to somebody else.
};

/// One program's journal as its owner (or candidate) writes it.
class ProgramOwner {
 public:
  struct Identity {
    NodeId self;
    Incarnation incarnation;
    ProgramId program;
    ProgramKey key;
    BudgetLimits limits;  ///< Used if the program is opened by this owner.
  };

  /// Starts to seal at once. \param liveness, commands outlive the owner.
  ProgramOwner(Identity identity, const ReplicaGroups::Group& group, const ProgramKnobs& knobs,
               const PeerLiveness& liveness, CommandQueue& commands, Instant now);

  void onSealReply(NodeId from, const SealReply& reply, Instant now);
  void onAppendReply(NodeId from, const AppendReply& reply, Instant now);

  /// Adds an entry to the journal; it is sent by the next `flush` if urgent, else by `onTick`, so
  /// that entries of a few milliseconds share a message.
  /// \return its position, to be compared with `standingThrough`.
  SequenceNumber append(EntryBody body, bool isUrgent);
  /// Sends what is urgent.
  void flush(Instant now);
  /// Sends what waited, and what got no answer, with growing pauses.
  void onTick(Instant now);
  /// Tells the replicas that anybody may take over at once.
  void release();

  [[nodiscard]] OwnerPhase phase() const { return phase_; }
  /// \return whether the record may be served from: installed on a quorum, or found empty.
  [[nodiscard]] bool isReady() const;
  [[nodiscard]] SequenceNumber standingThrough() const { return standing_; }
  /// \return whether the program looked new to replicas that may have forgotten it.
  [[nodiscard]] bool mayBeForgotten() const { return mayBeForgotten_; }
  /// \return whether every entry stands.
  [[nodiscard]] bool isSettled() const;
  /// \return whether every replica has every entry, so that ticks have nothing to do.
  [[nodiscard]] bool isQuiet() const;
  [[nodiscard]] const ProgramRecord& record() const { return record_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] NodeId liveOwner() const { return liveOwner_; }

 private:
  /// What the owner knows of one replica, all of it for the current epoch.
  struct Progress {
    Progress(NodeId replica, Duration firstPause) : node(replica), pause(firstPause) {}
    NodeId node;
    bool granted = false;
    bool forgetful = false;  ///< It granted without a record, but may have had one.
    bool installed = false;  ///< It confirmed a write of this epoch.
    std::optional<SealRefused> refused;
    std::uint64_t stored = 0;
    std::uint64_t sent = 0;
    std::optional<Instant> lastSent;
    Duration pause;
  };

  /// Whom a refusing replica holds for the owner.
  enum class NamedOwner : std::uint8_t { None, ThisLife, OtherLive, OtherDead };

  void seal(Epoch epoch, Instant now);
  void sendSeal(Progress& replica, Instant now);
  void sealed();
  void onRefused(const SealRefused& refused, Progress& replica, Instant now);
  /// Answers to the present seal.
  struct Tally {
    std::size_t replies = 0;
    std::size_t refusals = 0;
    std::size_t live = 0;         ///< Refusals that name another live owner.
    std::size_t forThisLife = 0;  ///< Promised to this candidate, with or without a record.
    NodeId lowestLive;            ///< Lowest of the live nodes named.
  };

  [[nodiscard]] Tally tally() const;
  [[nodiscard]] bool isNamedByQuorum(NodeId owner) const;
  void decideRefusals(Instant now);
  void sealAboveRefusals(Instant now);
  [[nodiscard]] NamedOwner namedIn(const SealRefused& refused) const;
  [[nodiscard]] bool wasWrittenByOthers(Epoch written) const;
  void onStored(SequenceNumber through, Progress& replica, Instant now);
  void onMissingPrefix(const AppendReply& reply, Progress& replica, Instant now);
  void onStale(Epoch promised, Instant now);
  void hurryRefills(Instant now);
  void updateStanding();
  void sendEntries(Progress& replica, std::uint64_t after, Instant now);
  void sendBase(Progress& replica, Instant now);
  void sendTo(Progress& replica, Instant now);
  void sendWaiting(Instant now);
  void introduce(const Progress& replica);
  void noteSent(Progress& replica, Instant now);
  [[nodiscard]] bool isDue(const Progress& replica, Instant now) const;
  [[nodiscard]] std::size_t quorum() const { return replicas_.size() / 2 + 1; }
  Progress* replicaOf(NodeId node);

  Identity identity_;
  GroupVersion group_;
  ProgramKnobs knobs_;
  const PeerLiveness& liveness_;
  CommandQueue& commands_;
  std::vector<Progress> replicas_;

  OwnerPhase phase_ = OwnerPhase::Sealing;
  Epoch epoch_;
  Epoch ownedSince_;  ///< First epoch under which this owner's record was read from a quorum.
  Instant sealedAt_;
  Epoch bestWritten_;
  std::optional<ProgramRecord> best_;
  ProgramRecord record_;
  bool foundEmpty_ = false;
  bool mayBeForgotten_ = false;
  SequenceNumber standing_;
  bool isUrgent_ = false;
  std::uint64_t urgentThrough_ = 0;  ///< Position of the last urgent entry.
  NodeId liveOwner_;
};

}  // namespace gorsetrail::program
