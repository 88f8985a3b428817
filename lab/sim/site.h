/// \file The simulated site: names, addresses and the operators' bundle of a scenario.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "lab/sim/scenario.h"
#include "membership/membership_service.h"

namespace gorsetrail::sim {

inline constexpr const char* kSiteName = "lab";
inline constexpr const char* kTenant = "tenant-a";
inline constexpr const char* kEngineWork = "assist";
inline constexpr const char* kApplicationWork = "submit";

/// A back end as the bundle names it.
struct BackendName {
  std::string name;
  std::string zone;
  std::string address;
  bool application = false;
};

std::string engineName(const std::string& zone, std::uint32_t number);
std::string applicationName(const std::string& zone, std::uint32_t number);
/// \return every back end of the scenario, engines first in each zone.
std::vector<BackendName> backendsOf(const Scenario& scenario);

std::string callerAddressOf(NodeId node);
/// \return the node whose caller side a redirect's `http://host:port` names.
std::optional<NodeId> nodeAtCallerAddress(const std::string& location);
/// \return every node of the scenario, numbered from 1 in the order of zones.
std::vector<membership::Member> membersOf(const Scenario& scenario);

/// The operators' key of all simulated sites; made from a constant, worthless outside the lab.
struct OperatorKey {
  std::string privateKeyPem;
  std::string publicKey;
};
const OperatorKey& labOperatorKey();
std::vector<bundle::Operator> trustAnchors();

/// What distinguishes one version of the bundle from another.
struct BundleChoice {
  BundleVersion version;
  double latencyWeight = 0.5;  ///< Unique to each publication, so that racers can be told apart.
  std::uint32_t callsPerProgram = 0;
  std::uint64_t tokensPerProgram = 0;
  std::set<std::string> leaving;
};
/// \return the signed envelope of a bundle whose base is the version before.
std::string makeEnvelope(const Scenario& scenario, const BundleChoice& choice);

}  // namespace gorsetrail::sim
