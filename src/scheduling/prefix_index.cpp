#include "scheduling/prefix_index.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace gorsetrail::scheduling {
namespace {

/// A belief from before a gap in the events counts 1 of so many tokens.
constexpr std::uint32_t kDoubtDivisor = 2;

}  // namespace

PrefixIndex::PrefixIndex(std::size_t maximumMarksPerReplica)
    : maximumMarksPerReplica_(std::max<std::size_t>(1, maximumMarksPerReplica)) {}

PrefixIndex::ReplicaState& PrefixIndex::stateOf(ReplicaIndex replica) {
  if (replica.value() >= replicas_.size()) {
    replicas_.resize(replica.value() + 1U);
  }
  return replicas_[replica.value()];
}

PrefixIndex::Holder* PrefixIndex::findHolder(PrefixHash prefix, ReplicaIndex replica) {
  const auto entry = entries_.find(prefix);
  if (entry == entries_.end()) {
    return nullptr;
  }
  std::vector<Holder>& holders = entry->second.holders;
  const auto found = std::find_if(holders.begin(), holders.end(), [replica](const Holder& holder) {
    return holder.replica == replica;
  });
  return found == holders.end() ? nullptr : &*found;
}

void PrefixIndex::stored(ReplicaIndex replica, const PrefixMark& mark) {
  ReplicaState& state = stateOf(replica);
  if (Holder* known = findHolder(mark.prefix, replica)) {
    state.order.splice(state.order.begin(), state.order, known->position);
    known->generation = state.generation;
    return;
  }
  if (state.order.size() >= maximumMarksPerReplica_) {
    remove(replica, state.order.back());
  }
  state.order.push_front(mark.prefix);
  Entry& entry = entries_[mark.prefix];
  entry.tokens = mark.tokens;
  entry.holders.push_back({replica, state.generation, state.order.begin()});
}

void PrefixIndex::evicted(ReplicaIndex replica, PrefixHash prefix) { remove(replica, prefix); }

void PrefixIndex::remove(ReplicaIndex replica, PrefixHash prefix) {
  const Holder* holder = findHolder(prefix, replica);
  if (holder == nullptr) {
    return;
  }
  stateOf(replica).order.erase(holder->position);
  std::vector<Holder>& holders = entries_.at(prefix).holders;
  holders.erase(holders.begin() + std::distance<const Holder*>(holders.data(), holder));
  if (holders.empty()) {
    entries_.erase(prefix);
  }
}

void PrefixIndex::eventsLost(ReplicaIndex replica) { ++stateOf(replica).generation; }

void PrefixIndex::reconcile(ReplicaIndex replica, const std::vector<PrefixHash>& inventory) {
  const std::unordered_set<PrefixHash> present(inventory.begin(), inventory.end());
  ReplicaState& state = stateOf(replica);
  const std::vector<PrefixHash> believed(state.order.begin(), state.order.end());
  for (const PrefixHash prefix : believed) {
    if (present.contains(prefix)) {
      findHolder(prefix, replica)->generation = state.generation;
    } else {
      remove(replica, prefix);
    }
  }
}

void PrefixIndex::forget(ReplicaIndex replica) { reconcile(replica, {}); }

template <class Take>
void PrefixIndex::forEachBelief(const std::vector<PrefixMark>& marks, const Take& take) const {
  for (const PrefixMark& mark : marks) {
    const auto entry = entries_.find(mark.prefix);
    if (entry == entries_.end()) {
      continue;
    }
    for (const Holder& holder : entry->second.holders) {
      const bool doubtful = holder.generation != replicas_[holder.replica.value()].generation;
      take(holder.replica, doubtful ? mark.tokens / kDoubtDivisor : mark.tokens);
    }
  }
}

std::vector<CachedTokens> PrefixIndex::lookup(const std::vector<PrefixMark>& marks) const {
  std::vector<CachedTokens> result;
  forEachBelief(marks, [&result](ReplicaIndex replica, std::uint32_t tokens) {
    const auto position = std::lower_bound(
        result.begin(), result.end(), replica,
        [](const CachedTokens& cached, ReplicaIndex wanted) { return cached.replica < wanted; });
    if (position != result.end() && position->replica == replica) {
      position->tokens = std::max(position->tokens, tokens);
    } else {
      result.insert(position, {replica, tokens});
    }
  });
  return result;
}

void PrefixIndex::applyTo(const std::vector<PrefixMark>& marks,
                          std::vector<ReplicaView>& replicas) const {
  for (ReplicaView& replica : replicas) {
    replica.cachedProgramTokens = 0;
  }
  forEachBelief(marks, [&replicas](ReplicaIndex replica, std::uint32_t tokens) {
    if (replica.value() < replicas.size()) {
      std::uint32_t& cached = replicas[replica.value()].cachedProgramTokens;
      cached = std::max(cached, tokens);
    }
  });
}

std::size_t PrefixIndex::marksOf(ReplicaIndex replica) const {
  return replica.value() < replicas_.size() ? replicas_[replica.value()].order.size() : 0;
}

}  // namespace gorsetrail::scheduling
