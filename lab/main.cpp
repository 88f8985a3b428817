/// \file `gorsetrail-lab`: the project's stand-ins, load tool and experiment runner.

#include <gflags/gflags.h>

#include <iostream>

#include "lab/command.h"
#include "lab/emulator/emulator_command.h"
#include "lab/faultsoak/soak_command.h"
#include "lab/load/load_command.h"
#include "lab/sim/sim_command.h"
#include "lab/standin/standin_command.h"

DEFINE_string(config, "", "configuration file (JSON) of the subcommand");
DEFINE_string(format, "table", "form of the summary: json or table");
DEFINE_uint64(seed, 0, "seed; 0 takes the one of the configuration file");
DEFINE_uint32(threads, 4, "runs of `soak` and `compare` that go on side by side");

namespace {

using gorsetrail::lab::Command;
using gorsetrail::lab::CommandArguments;
using gorsetrail::lab::CommandRegistry;

CommandRegistry makeRegistry() {
  CommandRegistry registry;
  gorsetrail::standin::addCommands(registry);
  gorsetrail::load::addCommands(registry);
  gorsetrail::sim::addCommands(registry);
  gorsetrail::emulator::addCommands(registry);
  gorsetrail::lab::addFaultSoakCommand(registry);
  return registry;
}

void printUsage(const CommandRegistry& registry) {
  std::cerr << "usage: gorsetrail-lab SUBCOMMAND [--config FILE] [--format json|table]\n";
  for (const Command& command : registry.commands()) {
    std::cerr << "  " << command.name << "\t" << command.summary << "\n";
  }
}

CommandArguments collectArguments(int count, char** values) {
  CommandArguments arguments;
  arguments.configPath = FLAGS_config;
  arguments.format = FLAGS_format;
  arguments.seed = FLAGS_seed;
  for (int index = 2; index < count; ++index) {
    arguments.rest.emplace_back(values[index]);
  }
  return arguments;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("gorsetrail-lab SUBCOMMAND [flags]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const CommandRegistry registry = makeRegistry();
  const Command* command = argc > 1 ? registry.find(argv[1]) : nullptr;
  if (command == nullptr) {
    printUsage(registry);
    return gorsetrail::lab::kExitUsage;
  }
  return command->run(collectArguments(argc, argv));
}
