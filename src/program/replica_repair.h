/// \file Background repair: replicas that restarted with an empty memory are filled again within
/// seconds, whether or not a caller comes.
///
/// Steps, and what each is for:
/// 1. *Probe*: each second one program is introduced to one peer, in turn; every node is probed
///    about once a second by one of its peers. A peer that restarted begins to recover that
///    program, and by its barrier request makes its new life known to the group.
/// 2. *Introduce*: to a peer whose new life was met, every program that it shares, paced.
/// 3. *Refill*: a peer that has no content repeats its barrier request until it is filled. A
///    member with content then wakes the live owner, which seals again above the barrier; if there
///    is none, it takes the program over, installs the record and releases it. The members do so
///    one after another by their place in the group. It is an ordinary takeover: the candidate
///    gives way to any owner that the replicas name and that lives.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "program/journal_replica.h"

namespace gorsetrail::program {

/// Decides which programs are introduced to whom, and which to take over for a refill.
class ReplicaRepair {
 public:
  /// \param liveness, replica, commands outlive the repair.
  ReplicaRepair(NodeId self, const ProgramKnobs& knobs, const PeerLiveness& liveness,
                JournalReplica& replica, CommandQueue& commands);

  /// \return programs without a live owner which this node should now take over.
  [[nodiscard]] std::vector<ProgramId> onTick(Instant now);
  /// \return whether no peer is known to lack what this node holds.
  [[nodiscard]] bool isIdle() const { return introductions_.empty() && needs_.empty(); }

 private:
  struct Introduction {
    NodeId peer;
    ProgramId program;
  };
  /// A program that a member of its group asks for.
  struct Need {
    Instant lastAsked;
    Epoch writtenWhenAsked;  ///< A later write here was an install, which fills the asker too.
    Instant nextStep;
    std::optional<Instant> lastStep;
    Duration pause{};
  };

  void collect(Instant now);
  void noteNeed(ProgramId program, Instant now);
  void sendIntroductions(std::size_t& allowance);
  [[nodiscard]] std::vector<ProgramId> advanceNeeds(std::size_t& allowance, Instant now);
  /// \return whether nothing speaks for a peer that still waits; it would ask again.
  [[nodiscard]] bool isMet(ProgramId program, const Need& need, Instant now) const;
  /// \return whether a live owner was told.
  bool wakeOwner(ProgramId program);
  /// \return how long this node leaves the refill to the members before it.
  [[nodiscard]] Duration turnOf(ProgramId program) const;

  NodeId self_;
  ProgramKnobs knobs_;
  const PeerLiveness& liveness_;
  JournalReplica& replica_;
  CommandQueue& commands_;
  std::deque<Introduction> introductions_;
  std::unordered_map<ProgramId, Need> needs_;
  Instant nextSlice_;
  Instant nextProbe_;
  std::size_t probeTurn_;  ///< Starts at another peer on each node, so that probes spread.
};

}  // namespace gorsetrail::program
