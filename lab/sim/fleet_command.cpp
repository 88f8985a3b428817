#include "lab/sim/fleet_command.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/log.h"
#include "lab/sim/fleet.h"

DEFINE_uint32(nodes, 0, "`fleet`: nodes; 0 runs 8, 50, 100, 200 and 400");
DEFINE_uint32(seconds, 60, "`fleet`: virtual seconds measured after the warm-up");

namespace gorsetrail::sim {
namespace {

constexpr std::uint32_t kMostNodes = 1000;

nlohmann::ordered_json toJson(const FleetResult& result) {
  nlohmann::ordered_json figures;
  for (const auto& [name, spread] : result.figures) {
    figures[name] = {{"mean", spread.mean}, {"p95", spread.p95}, {"worst", spread.worst}};
  }
  return {{"nodes", result.nodes},
          {"calls_per_s_per_node", result.callsPerSecondPerNode},
          {"refused_per_mille", result.refusedPerMille},
          {"per_node", figures}};
}

void printTable(const FleetResult& result) {
  std::printf("nodes %u: %.2f calls/s a node, %.1f refused of 1000\n", result.nodes,
              result.callsPerSecondPerNode, result.refusedPerMille);
  for (const auto& [name, spread] : result.figures) {
    std::printf("  %-32s mean %9.4f  p95 %9.4f  worst %9.4f\n", name.c_str(), spread.mean,
                spread.p95, spread.worst);
  }
  std::fflush(stdout);
}

}  // namespace

int fleetCommand(const lab::CommandArguments& arguments) {
  if (!arguments.rest.empty() || FLAGS_nodes > kMostNodes || FLAGS_seconds == 0) {
    std::cerr << "usage: gorsetrail-lab fleet [--nodes N] [--seconds S] [--format json]\n";
    return lab::kExitUsage;
  }
  configureLogging(LogLevel::Error);
  std::vector<std::uint32_t> sizes = {8, 50, 100, 200, 400};
  if (FLAGS_nodes != 0) {
    sizes = {FLAGS_nodes};
  }
  nlohmann::ordered_json document = nlohmann::ordered_json::array();
  for (const std::uint32_t nodes : sizes) {
    FleetOptions options;
    options.nodes = nodes;
    options.measured = seconds(FLAGS_seconds);
    options.seed = arguments.seed != 0 ? arguments.seed : options.seed;
    const FleetResult result = runFleet(options);
    if (arguments.format == "json") {
      document.push_back(toJson(result));
    } else {
      printTable(result);
    }
  }
  if (arguments.format == "json") {
    std::cout << document.dump(2) << "\n";
  }
  return lab::kExitSuccess;
}

}  // namespace gorsetrail::sim
