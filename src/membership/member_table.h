/// \file Beliefs about every configured node, and the rule by which one belief replaces another.
///
/// The rule is a total order on beliefs, so nodes that have heard the same beliefs in any order
/// end with the same one:
/// 1. a higher incarnation supersedes every belief about a lower one;
/// 2. `Terminated` is final for its incarnation;
/// 3. a higher refutation counter (raised only by the node itself) wins;
/// 4. then Dead, Suspected, Leaving, Alive in this order. `Suspected` goes before `Leaving`, since
///    a leaving node can die as well; it answers a suspicion with `Leaving` again.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/membership_service.h"

namespace gorsetrail::membership {

/// Position of a member in the table; dense.
using MemberIndex = std::uint32_t;

/// What merging a belief came to.
enum class MergeResult : std::uint8_t {
  Ignored,    ///< The belief held already is as high or higher.
  Refreshed,  ///< Same life and state with a higher refutation counter: worth spreading only.
  Changed,    ///< Life or state changed.
};

/// \return whether `left` replaces `right`; both are about the same node.
bool supersedes(const MemberUpdate& left, const MemberUpdate& right);

/// 40 bytes a member; lookups are by binary search.
class MemberTable {
 public:
  /// Every member starts as `Alive` with the unknown incarnation 0: configured nodes are presumed
  /// reachable until a probe says otherwise.
  explicit MemberTable(const std::vector<Member>& members);

  /// Takes in a node that is not in the table, at a place of its own.
  MemberIndex add(NodeId node);
  /// Gives the place of a node that is gone to another one, of which nothing is known.
  void replace(MemberIndex index, NodeId node);
  /// Takes the node out of all look-ups; its place waits for `replace`.
  void remove(MemberIndex index);

  [[nodiscard]] std::optional<MemberIndex> find(NodeId node) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] MemberUpdate belief(MemberIndex index) const;
  [[nodiscard]] NodeId nodeAt(MemberIndex index) const { return entries_[index].node; }
  [[nodiscard]] MemberState stateAt(MemberIndex index) const { return entries_[index].state; }
  [[nodiscard]] std::size_t deadCount() const { return deadCount_; }
  MergeResult merge(MemberIndex index, const MemberUpdate& update);

  /// \return the highest bundle version of that peer that was already reported as newer.
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
