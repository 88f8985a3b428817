#include "node/core/program_views.h"

#include "node/core/rendezvous.h"

namespace gorsetrail::node {

ConfiguredReplicaGroups::ConfiguredReplicaGroups(const std::vector<membership::Member>& members) {
  for (const membership::Member& member : members) {
    nodesByZone_[member.zone].push_back(member.node);
  }
}

program::ReplicaGroups::Group ConfiguredReplicaGroups::groupOf(const std::string& homeZone,
                                                               ProgramId program) const {
  const auto found = nodesByZone_.find(homeZone);
  if (found == nodesByZone_.end()) {
    return {kFirstGroupVersion, {}};
  }
  return {kFirstGroupVersion, highestRanked(program.bytes, found->second, kReplicaGroupSize)};
}

bool MembershipLiveness::isAlive(NodeId node, Incarnation incarnation) const {
  if (node == self_) {
    return incarnation == incarnation_;
  }
  // A leaving node still ends its calls and then releases its programs by itself.
  const membership::MemberState state = membership_.stateOf(node);
  const bool runs =
      state == membership::MemberState::Alive || state == membership::MemberState::Leaving;
  const Incarnation known = membership_.incarnationOf(node);
  // Before its first word the incarnation of a peer is not known here.
  return runs && (known == incarnation || known == Incarnation{});
}

std::string MembershipLiveness::callerAddressOf(NodeId node) const {
  for (const membership::Member& member : membership_.members()) {
    if (member.node == node && !member.callerAddress.empty()) {
      return "http://" + member.callerAddress;
    }
  }
  return {};
}

}  // namespace gorsetrail::node
