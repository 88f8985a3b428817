#include "membership/member_table.h"

#include <algorithm>
#include <numeric>

namespace gorsetrail::membership {
namespace {

/// Precedence of a state among updates with the same incarnation and refutation counter.
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

MemberStateTable::MemberStateTable(const std::vector<Member>& members) : byNode_(members.size()) {
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

void MemberStateTable::insertByNode(MemberIndex index) {
  const auto position = std::lower_bound(
      byNode_.begin(), byNode_.end(), entries_[index].node,
      [this](MemberIndex other, NodeId wanted) { return entries_[other].node < wanted; });
  byNode_.insert(position, index);
}

void MemberStateTable::eraseByNode(MemberIndex index) {
  byNode_.erase(std::remove(byNode_.begin(), byNode_.end(), index), byNode_.end());
}

MemberIndex MemberStateTable::add(NodeId node) {
  const auto index = static_cast<MemberIndex>(entries_.size());
  Entry entry;
  entry.node = node;
  entries_.push_back(entry);
  insertByNode(index);
  return index;
}

void MemberStateTable::replace(MemberIndex index, NodeId node) {
  remove(index);
  entries_[index] = {};
  entries_[index].node = node;
  insertByNode(index);
}

void MemberStateTable::remove(MemberIndex index) {
  eraseByNode(index);
  deadCount_ -= entries_[index].state == MemberState::Dead ? 1 : 0;
  // A `Terminated` member is not probed, and one with the unknown incarnation is not disseminated.
  entries_[index].incarnation = Incarnation(0);
  entries_[index].state = MemberState::Terminated;
}

std::optional<MemberIndex> MemberStateTable::find(NodeId node) const {
  const auto position = std::lower_bound(
      byNode_.begin(), byNode_.end(), node,
      [this](MemberIndex index, NodeId wanted) { return entries_[index].node < wanted; });
  if (position == byNode_.end() || entries_[*position].node != node) {
    return std::nullopt;
  }
  return *position;
}

MemberUpdate MemberStateTable::updateAt(MemberIndex index) const {
  const Entry& entry = entries_[index];
  return {entry.node, entry.incarnation, entry.state, entry.refutation};
}

MergeResult MemberStateTable::merge(MemberIndex index, const MemberUpdate& update) {
  const MemberUpdate current = updateAt(index);
  if (!supersedes(update, current)) {
    return MergeResult::Ignored;
  }
  deadCount_ -= current.state == MemberState::Dead ? 1 : 0;
  deadCount_ += update.state == MemberState::Dead ? 1 : 0;
  Entry& entry = entries_[index];
  entry.incarnation = update.incarnation;
  entry.refutation = update.refutation;
  entry.state = update.state;
  const bool isSameIncarnation = current.incarnation == update.incarnation;
  return isSameIncarnation && current.state == update.state ? MergeResult::Refreshed
                                                            : MergeResult::Changed;
}

}  // namespace gorsetrail::membership
