/// \file Whether this node's replica may trust that it never held a program.
///
/// A replica that lost its memory and does not know it would break quorum intersection. So each
/// life of a node makes itself known to its peers before its replica counts for anything, and
/// asks them whether they have met an earlier life of it.
#pragma once

#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::program {

/// \return whether the incarnation is a count of lives (and no start time) above one.
inline bool isNumberedRestart(Incarnation incarnation) {
  constexpr std::uint64_t kLowestStartTime = 1'000'000'000'000;  // In microseconds since 1970.
  return incarnation.value() > 1 && incarnation.value() < kLowestStartTime;
}

/// What this node knows of its own and its peers' lives. Kept for the whole process.
class LifeRegister {
 public:
  /// Notes a life of a peer.
  /// \return whether the peer had an earlier life; the life itself may be outdated (`isOutdated`).
  bool meet(NodeId peer, Incarnation incarnation);
  /// \return whether a later life of the peer is known.
  [[nodiscard]] bool isOutdated(NodeId peer, Incarnation incarnation) const;
  /// \return whether that life of the peer was not known before, and is its latest.
  [[nodiscard]] bool isNews(NodeId peer, Incarnation incarnation) const;
  /// A peer answered this life's question. \param canVouch whether the peer is not known to have
  /// restarted itself: one that did may have forgotten whom it met.
  void onPeerAnswered(NodeId peer, bool metEarlierLifeOfThisNode, bool canVouch);
  /// This node knows by itself that it had an earlier life.
  void noteEarlierLife() { hasEarlierLife_ = true; }
  /// \return whether this node is known to have had an earlier life.
  [[nodiscard]] bool hasEarlierLife() const { return hasEarlierLife_; }
  /// \return whether every peer said that it never met an earlier life of this node.
  [[nodiscard]] bool isFirstLifeFor(const std::vector<NodeId>& members, NodeId self) const;

 private:
  struct PeerLife {
    Incarnation latest;
    bool hadEarlier = false;
  };
  std::unordered_map<NodeId, PeerLife> peers_;
  std::unordered_map<NodeId, bool> firstLifeForPeer_;
  bool hasEarlierLife_ = false;
};

}  // namespace gorsetrail::program
