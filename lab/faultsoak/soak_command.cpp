#include "lab/faultsoak/soak_command.h"

#include <cstdlib>
#include <iostream>

#include "lab/faultsoak/soak_run.h"

namespace gorsetrail::lab {
namespace {

int runFaultSoak(const CommandArguments& arguments) {
  if (arguments.rest.size() != 3) {
    std::cerr << "usage: gorsetrail-lab fault-soak DIRECTORY SECONDS NODES --seed N\n"
                 "start it with tools/fault_soak.sh, which also starts the nodes\n";
    return kExitUsage;
  }
  SoakOptions options;
  options.directory = arguments.rest[0];
  options.seed = arguments.seed;
  options.length = seconds(std::atoi(arguments.rest[1].c_str()));
  options.nodes = static_cast<std::size_t>(std::atoi(arguments.rest[2].c_str()));
  if (options.length <= Duration::zero() || options.nodes == 0) {
    std::cerr << "fault-soak: SECONDS and NODES are whole numbers over 0\n";
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
