#include "base/log.h"
#include "node/core/node_core.h"
#include "node/core/node_services.h"

namespace gorsetrail::node {
namespace {

constexpr std::string_view kDefaultPolicy = "least-outstanding";

scheduling::SchedulingPolicyPtr makeConfiguredPolicy(const std::string& name) {
  scheduling::SchedulingPolicyPtr policy = scheduling::makePolicy(name);
  if (!policy) {
    logEvent(LogLevel::Error, "unknown_policy",
             {{"policy", name}, {"used_instead", kDefaultPolicy}});
    policy = scheduling::makePolicy(kDefaultPolicy);
  }
  return policy;
}

}  // namespace

NodeCorePtr makeNodeCore(NodeOptions options) {
  NodeServices services;
  services.membership = membership::makeMembershipService(
      options.self, options.incarnation, options.members, options.membershipKnobs, options.seed);
  services.policy = makeConfiguredPolicy(options.policy);
  services.makeProgram = [self = options.self, incarnation = options.incarnation,
                          knobs = options.programKnobs](const program::PeerLiveness& liveness,
                                                        const program::ReplicaGroups& groups) {
    return program::makeProgramService(self, incarnation, knobs, liveness, groups);
  };
  return makeNodeCoreOver(std::move(options), std::move(services));
}

}  // namespace gorsetrail::node
