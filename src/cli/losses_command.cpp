// `losses`: late, refused and failed programs by cause, from the logs of all nodes.
#include <fstream>
#include <iostream>

#include "cli/command.h"
#include "cli/log_losses.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

Table tableOf(const std::vector<LossGroup>& groups) {
  Table table{{"cause", "route", "programs", "going_on", "requests", "took_ms"}, {}};
  for (const LossGroup& group : groups) {
    table.rows.push_back({group.cause, group.route, group.programs, group.continuedPrograms,
                          group.requests, group.tookMilliseconds});
  }
  return table;
}

Table tableOf(const std::vector<LossSecond>& seconds) {
  Table table{{"second", "cause", "programs"}, {}};
  for (const LossSecond& second : seconds) {
    table.rows.push_back({second.second, second.cause, second.programs});
  }
  return table;
}

}  // namespace

ExitCode runLosses(CommandContext& context) {
  LogLosses losses;
  if (context.arguments.empty()) {
    losses.read(std::cin, "-");
  }
  for (const std::string& path : context.arguments) {
    std::ifstream file(path);
    if (!file) {
      return fail(context, Error{ErrorKind::InvalidField, path, "the file cannot be read",
                                 "name a log file, or give the lines on standard input"});
    }
    losses.read(file, path);
  }
  if (context.options.bySecond) {
    printTable(context.out, context.options.format, tableOf(losses.seconds()));
    return ExitCode::Done;
  }
  printTable(context.out, context.options.format, tableOf(losses.groups()));
  if (context.options.format == OutputFormat::Table) {
    context.out << losses.lostProgramCount() << " of " << losses.programCount()
                << " programs in these lines were late, refused or failed\n";
  }
  return ExitCode::Done;
}

}  // namespace gorsetrail::cli
