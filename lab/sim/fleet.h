/// \file A whole fleet of real node cores in one process, with hollow replicas and callers: what
/// control costs a node, by fleet size.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace gorsetrail::sim {

struct FleetOptions {
  std::uint32_t nodes = 400;
  Duration measured = seconds(60);  ///< Virtual time measured, after the warm-up.
  std::uint32_t replicas = 790;
  double requestsPerSecondPerNode = 7.5;
  std::uint32_t programsPerNode = 250;
  std::uint64_t seed = 1;
};

/// One figure over the nodes of the fleet.
struct Spread {
  double mean = 0;
  double p95 = 0;
  double worst = 0;
};

struct FleetResult {
  std::uint32_t nodes = 0;
  double callsPerSecondPerNode = 0;  ///< Completed.
  double refusedPerMille = 0;
  std::map<std::string, Spread> figures;  ///< Per node; the unit is in the name.
};

/// Zones of the fleet: 2 for 8 nodes, else one for each ten nodes, ten at most.
std::uint32_t fleetZones(std::uint32_t nodes);
FleetResult runFleet(const FleetOptions& options);

}  // namespace gorsetrail::sim
