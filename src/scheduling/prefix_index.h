/// \file Which replica is believed to have which prefix; bounded, and tolerant of lost events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "scheduling/prefix_chain.h"
#include "scheduling/scheduling_policy.h"

namespace gorsetrail::scheduling {

/// The end of one part of a prompt (a message, a shared document): a prefix worth remembering.
struct PrefixMark {
  PrefixHash prefix;
  std::uint32_t tokens = 0;  ///< Length of the whole prefix.
};

/// Tokens of a prompt that a replica is believed to have.
struct CachedTokens {
  ReplicaIndex replica;
  std::uint32_t tokens = 0;
};

/// Beliefs about the replicas' prefix caches. They may be wrong: a call then costs a recomputation
/// and never an answer. Each replica has room for a fixed number of marks; the one used longest
/// ago gives way.
class PrefixIndex {
 public:
  /// \param maximumMarksPerReplica at least 1.
  explicit PrefixIndex(std::size_t maximumMarksPerReplica);

  /// A prefix is in a replica's memory now (a cache event, or a call that ended there).
  void stored(ReplicaIndex replica, const PrefixMark& mark);
  /// A prefix left a replica's memory. Longer prefixes with it leave by events of their own.
  void evicted(ReplicaIndex replica, PrefixHash prefix);
  /// Events of a replica were lost: what was believed of it counts half until seen again.
  void eventsLost(ReplicaIndex replica);
  /// Takes a full inventory: all marks that are not in it are dropped, the others confirmed.
  void reconcile(ReplicaIndex replica, const std::vector<PrefixHash>& inventory);
  /// Drops all that is believed of a replica (it restarted, or it left).
  void forget(ReplicaIndex replica);

  /// \param marks of a prompt, shortest first.
  /// \return for each replica with any of them, the tokens of the longest; ordered by replica.
  [[nodiscard]] std::vector<CachedTokens> lookup(const std::vector<PrefixMark>& marks) const;
  /// Sets `cachedProgramTokens` of every view for a prompt (0 where nothing is believed).
  void applyTo(const std::vector<PrefixMark>& marks, std::vector<ReplicaView>& replicas) const;

  /// \return marks kept for a replica.
  [[nodiscard]] std::size_t marksOf(ReplicaIndex replica) const;

 private:
  using UseOrder = std::list<PrefixHash>;
  struct Holder {
    ReplicaIndex replica;
    std::uint32_t generation = 0;
    UseOrder::iterator position;
  };
  struct Entry {
    std::uint32_t tokens = 0;
    std::vector<Holder> holders;
  };
  struct ReplicaState {
    UseOrder order;  ///< Most recently confirmed first.
    std::uint32_t generation = 0;
  };

  /// Calls `take(replica, tokens)` for every replica of every mark.
  template <class Take>
  void forEachBelief(const std::vector<PrefixMark>& marks, const Take& take) const;
  ReplicaState& stateOf(ReplicaIndex replica);
  Holder* findHolder(PrefixHash prefix, ReplicaIndex replica);
  void remove(ReplicaIndex replica, PrefixHash prefix);

  std::size_t maximumMarksPerReplica_;
  std::vector<ReplicaState> replicas_;
  std::unordered_map<PrefixHash, Entry> entries_;
};

}  // namespace gorsetrail::scheduling
