/// \file Command table and the context passed to each command.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "cli/http_exchange.h"
#include "cli/options.h"
#include "cli/publisher.h"

namespace gorsetrail::cli {

/// Arguments, options and I/O of one command invocation.
struct CommandContext {
  std::vector<std::string> arguments;  ///< Positional arguments after the command words.
  Options options;
  HttpExchange& http;
  Pause pause;
  std::ostream& out;
  std::ostream& err;
};

/// Description and entry point of one `gorsetrail` command.
struct Command {
  std::string words;      ///< Such as `bundle sign`.
  std::string arguments;  ///< Such as `FILE`.
  std::string summary;
  std::string example;
  std::vector<std::string> flags;  ///< Flags that it accepts; all others are rejected.
  std::size_t minimumArguments = 0;
  std::size_t maximumArguments = 0;
  ExitCode (*run)(CommandContext& context) = nullptr;
};

/// \return all commands, in the order of the help.
const std::vector<Command>& commands();

/// Prints the errors to the error output.
/// \return the exit code of the first error.
ExitCode fail(CommandContext& context, const std::vector<Error>& errors);
ExitCode fail(CommandContext& context, const Error& error);

/// \return `InvalidField` naming the first of the flags that has no value.
Result<Success> requireFlags(const CommandContext& context, const std::vector<std::string>& names);

/// \return the time limit of one request.
Duration timeLimitOf(const Options& options);

ExitCode runKeygen(CommandContext& context);
ExitCode runBundleNew(CommandContext& context);
ExitCode runBundleCheck(CommandContext& context);
ExitCode runBundleSign(CommandContext& context);
ExitCode runBundleDiff(CommandContext& context);
ExitCode runBundlePublish(CommandContext& context);
ExitCode runBundleHistory(CommandContext& context);
ExitCode runBundleStatus(CommandContext& context);
ExitCode runDrain(CommandContext& context);
ExitCode runNodes(CommandContext& context);
ExitCode runPrograms(CommandContext& context);
ExitCode runExplain(CommandContext& context);
ExitCode runLosses(CommandContext& context);
ExitCode runCompletion(CommandContext& context);

}  // namespace gorsetrail::cli
