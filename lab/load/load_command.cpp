#include "lab/load/load_command.h"

#include <unistd.h>

#include <iostream>

#include "lab/load/load_run.h"

namespace gorsetrail::load {
namespace {

int fail(const std::string& text) {
  std::cerr << "gorsetrail-lab load: " << text << "\n";
  return lab::kExitUsage;
}

void printProgress(const LoadFigures& figures) {
  std::cerr << "programs " << figures.programsCompleted << "/" << figures.programsStarted
            << "  calls " << figures.callsAnswered << "  attempts " << figures.attempts
            << "  given up " << figures.callsGivenUp << "\n";
}

/// Without a terminal nobody watches.
void skipProgress(const LoadFigures& /*figures*/) {}

int runCommand(const lab::CommandArguments& arguments) {
  if (arguments.format != "json" && arguments.format != "table") {
    return fail("invalid_field --format: unknown form; give json or table");
  }
  Result<LoadConfig> config = readLoadConfig(arguments.configPath);
  if (!succeeded(config)) {
    return fail(errorOf(config).toText());
  }
  if (arguments.seed != 0) {
    valueOf(config).seed = arguments.seed;
  }
  const ProgressListener progress = isatty(STDERR_FILENO) == 1 ? printProgress : skipProgress;
  const LoadOutcome outcome = runLoad(valueOf(config), progress);
  const bool json = arguments.format == "json";
  std::cout << (json ? summaryJson(outcome.figures, outcome.tally)
                     : summaryTable(outcome.figures, outcome.tally))
            << "\n";
  return outcome.tally.totalViolations() == 0 ? lab::kExitSuccess : lab::kExitViolation;
}

}  // namespace

void addCommands(lab::CommandRegistry& registry) {
  registry.add({"load", "drive programs against nodes and check the promises", runCommand});
}

}  // namespace gorsetrail::load
