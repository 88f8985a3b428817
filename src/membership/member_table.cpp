#include "membership/member_table.h"

#include <algorithm>
#include <numeric>

namespace gorsetrail::membership {
namespace {

/// Strength of a state among beliefs of one life with the same refutation counter.
unsigned rankOf(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return 0;
    case MemberState::Leaving:
      return 1;
    case MemberState::Suspected:
      return 2;
    case MemberState::Dead:
      return 3;
    case MemberState::Terminated:
      return 4;
  }
  return 0;
}

}  // namespace

bool supersedes(const MemberUpdate& left, const MemberUpdate& right) {
  if (left.incarnation != right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  const bool leftFinal = left.state == MemberState::Terminated;
  const bool rightFinal = right.state == MemberState::Terminated;
  if (leftFinal || rightFinal) {
    return leftFinal && !rightFinal;
  }
  if (left.refutation != right.refutation) {
    return left.refutation > right.refutation;
  }
  return rankOf(left.state) > rankOf(right.state);
}

MemberTable::MemberTable(const std::vector<Member>& members) : byNode_(members.size()) {
  entries_.reserve(members.size());
  for (const Member& member : members) {
    Entry entry;
    entry.node = member.node;
    entries_.push_back(entry);
  }
  std::iota(byNode_.begin(), byNode_.end(), 0);
  std::sort(byNode_.begin(), byNode_.end(), [this](MemberIndex left, MemberIndex right) {
    return entries_[left].node < entries_[right].node;
  });
}

std::optional<MemberIndex> MemberTable::find(NodeId node) const {
  const auto place = std::lower_bound(
      byNode_.begin(), byNode_.end(), node,
      [this](MemberIndex index, NodeId wanted) { return entries_[index].node < wanted; });
  if (place == byNode_.end() || entries_[*place].node != node) {
    return std::nullopt;
  }
  return *place;
}

MemberUpdate MemberTable::belief(MemberIndex index) const {
  const Entry& entry = entries_[index];
  return {entry.node, entry.incarnation, entry.state, entry.refutation};
}

MergeResult MemberTable::merge(MemberIndex index, const MemberUpdate& update) {
  const MemberUpdate held = belief(index);
  if (!supersedes(update, held)) {
    return MergeResult::Ignored;
  }
  deadCount_ -= held.state == MemberState::Dead ? 1 : 0;
  deadCount_ += update.state == MemberState::Dead ? 1 : 0;
  Entry& entry = entries_[index];
  entry.incarnation = update.incarnation;
  entry.refutation = update.refutation;
  entry.state = update.state;
  const bool sameLife = held.incarnation == update.incarnation;
  return sameLife && held.state == update.state ? MergeResult::Refreshed : MergeResult::Changed;
}

}  // namespace gorsetrail::membership
