/// \file Membership state of every configured node, and the rule that orders conflicting updates.
///
/// The rule is a total order, so nodes that receive the same updates in any order converge:
/// 1. A higher incarnation supersedes every update about a lower one.
/// 2. `Terminated` is final for its incarnation.
/// 3. A higher refutation counter wins; only the node itself raises it.
/// 4. Otherwise the order is Dead, Suspected, Leaving, Alive. `Suspected` precedes `Leaving`
/// because a leaving node can fail too; it refutes a suspicion by announcing `Leaving` again.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/membership_service.h"

namespace gorsetrail::membership {

/// Index of a member in the table; indices are contiguous.
using MemberIndex = std::uint32_t;

enum class MergeResult : std::uint8_t {
  Ignored,    ///< The stored update supersedes it or is equal.
  Refreshed,  ///< Same incarnation and state, higher refutation counter: disseminate only.
  Changed,    ///< The incarnation or the state changed.
};

/// \return whether `left` replaces `right`; both must be about the same node.
bool supersedes(const MemberUpdate& left, const MemberUpdate& right);

/// Latest known state of each member; 40 bytes per member, binary search by node id.
class MemberStateTable {
 public:
  /// Every member starts as `Alive` with the unknown incarnation 0: configured nodes are presumed
  /// reachable until a probe fails.
  explicit MemberStateTable(const std::vector<Member>& members);

  /// Appends a node that is not in the table.
  MemberIndex add(NodeId node);
  /// Reuses the index of a removed node for another one, whose state is unknown.
  void replace(MemberIndex index, NodeId node);
  /// Excludes the node from lookups; its index can be reused by `replace`.
  void remove(MemberIndex index);

  [[nodiscard]] std::optional<MemberIndex> find(NodeId node) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] MemberUpdate updateAt(MemberIndex index) const;
  [[nodiscard]] NodeId nodeAt(MemberIndex index) const { return entries_[index].node; }
  [[nodiscard]] MemberState stateAt(MemberIndex index) const { return entries_[index].state; }
  [[nodiscard]] std::size_t deadCount() const { return deadCount_; }
  MergeResult merge(MemberIndex index, const MemberUpdate& update);

  /// \return the highest bundle version of this peer that was already reported as newer.
  [[nodiscard]] BundleVersion reportedBundle(MemberIndex index) const {
    return entries_[index].reportedBundle;
  }
  void setReportedBundle(MemberIndex index, BundleVersion version) {
    entries_[index].reportedBundle = version;
  }

 private:
  void insertByNode(MemberIndex index);
  void eraseByNode(MemberIndex index);

  struct Entry {
    Incarnation incarnation;
    BundleVersion reportedBundle;
    NodeId node;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
  };
  std::vector<Entry> entries_;
  std::vector<MemberIndex> byNode_;  ///< Indices sorted by node id.
  std::size_t deadCount_ = 0;
};

}  // namespace gorsetrail::membership
