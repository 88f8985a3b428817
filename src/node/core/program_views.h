/// \file What ownership needs of membership and configuration, as the node gives it.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership_service.h"
#include "program/program_service.h"

namespace gorsetrail::node {

/// Members of a replica group; a zone with fewer nodes has smaller groups.
inline constexpr std::size_t kReplicaGroupSize = 3;
/// The configured members are the first and so far only version of every group.
inline constexpr program::GroupVersion kFirstGroupVersion{1};

/// Replica groups by rendezvous over the CONFIGURED members of the home zone: failures do not
/// change them, so that any two quorums of a program intersect.
class ConfiguredReplicaGroups : public program::ReplicaGroups {
 public:
  explicit ConfiguredReplicaGroups(const std::vector<membership::Member>& members);
  [[nodiscard]] Group groupOf(const std::string& homeZone, ProgramId program) const override;

 private:
  std::unordered_map<std::string, std::vector<NodeId>> nodesByZone_;
};

/// Liveness of peers by membership. It only decides whether a takeover is tried; fencing by
/// epoch keeps a wrong belief harmless.
class MembershipLiveness : public program::PeerLiveness {
 public:
  MembershipLiveness(NodeId self, Incarnation incarnation,
                     const membership::MembershipService& membership)
      : self_(self), incarnation_(incarnation), membership_(membership) {}
  [[nodiscard]] bool isAlive(NodeId node, Incarnation incarnation) const override;
  [[nodiscard]] std::string callerAddressOf(NodeId node) const override;

 private:
  NodeId self_;
  Incarnation incarnation_;
  const membership::MembershipService& membership_;
};

}  // namespace gorsetrail::node
