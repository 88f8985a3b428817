#include "program/life_register.h"

#include <algorithm>

namespace gorsetrail::program {

bool LifeRegister::meet(NodeId peer, Incarnation incarnation) {
  const auto [position, isNew] = peers_.try_emplace(peer, PeerLife{incarnation, false});
  PeerLife& life = position->second;
  if (!isNew && life.latest < incarnation) {
    life.latest = incarnation;
    life.hadEarlier = true;
  }
  return life.hadEarlier;
}

bool LifeRegister::isOutdated(NodeId peer, Incarnation incarnation) const {
  const auto position = peers_.find(peer);
  return position != peers_.end() && incarnation < position->second.latest;
}

bool LifeRegister::isNews(NodeId peer, Incarnation incarnation) const {
  const auto position = peers_.find(peer);
  return position == peers_.end() || position->second.latest < incarnation;
}

void LifeRegister::onPeerAnswered(NodeId peer, bool metEarlierLifeOfThisNode, bool canVouch) {
  firstLifeForPeer_[peer] = !metEarlierLifeOfThisNode && canVouch;
  hasEarlierLife_ |= metEarlierLifeOfThisNode;
}

bool LifeRegister::isFirstLifeFor(const std::vector<NodeId>& members, NodeId self) const {
  return !hasEarlierLife_ && std::all_of(members.begin(), members.end(), [&](NodeId member) {
    if (member == self) {
      return true;
    }
    const auto position = firstLifeForPeer_.find(member);
    return position != firstLifeForPeer_.end() && position->second;
  });
}

}  // namespace gorsetrail::program
