#include "lab/faultsoak/soak_command.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "lab/faultsoak/soak_run.h"

namespace gorsetrail::lab {
namespace {

/// Of the last part of an IPv4 address; 0 and 255 are no hosts.
constexpr std::size_t kMostNodes = 254;
constexpr std::size_t kHighestSubnet = 255;
constexpr std::size_t kArgumentsWithSubnet = 4;
/// Each node gets clients, and replicas bear them.
constexpr std::size_t kNodesOfReplica = 4;

/// \return the whole number, or 0 where the text is none.
std::size_t wholeNumber(const std::string& text) {
  return static_cast<std::size_t>(std::strtoul(text.c_str(), nullptr, 10));
}

int runFaultSoak(const CommandArguments& arguments) {
  const std::size_t count = arguments.rest.size();
  if (count != kArgumentsWithSubnet && count != kArgumentsWithSubnet - 1) {
    std::cerr << "usage: gorsetrail-lab fault-soak DIRECTORY SECONDS NODES [SUBNET] --seed N\n"
                 "start it with tools/fault_soak.sh, which also starts the nodes\n";
    return kExitUsage;
  }
  SoakOptions options;
  options.directory = arguments.rest[0];
  options.seed = arguments.seed;
  options.length = seconds(static_cast<int>(wholeNumber(arguments.rest[1])));
  options.nodes = wholeNumber(arguments.rest[2]);
  options.programs = std::max(options.programs, options.nodes);
  options.replicas = std::max(options.replicas, options.nodes / kNodesOfReplica);
  if (count == kArgumentsWithSubnet) {
    options.subnet = wholeNumber(arguments.rest[3]);
  }
  const bool nodesFit = options.nodes > 0 && options.nodes <= kMostNodes;
  const bool subnetFits = options.subnet > 0 && options.subnet <= kHighestSubnet;
  if (options.length <= Duration::zero() || !nodesFit || !subnetFits) {
    std::cerr << "fault-soak: SECONDS is a whole number over 0, NODES one of 1 to " << kMostNodes
              << ", SUBNET one of 1 to " << kHighestSubnet << '\n';
    return kExitUsage;
  }
  SoakRun run(std::move(options));
  run.run();
  std::cout << run.report() << '\n';
  return run.isClean() ? kExitSuccess : kExitViolation;
}

}  // namespace

void addFaultSoakCommand(CommandRegistry& registry) {
  registry.add({"fault-soak", "real node processes under faults from outside, promises checked",
                runFaultSoak});
}

}  // namespace gorsetrail::lab
