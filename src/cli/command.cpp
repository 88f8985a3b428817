#include "cli/command.h"

#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

std::string valueOfFlag(const Options& options, const std::string& name) {
  if (name == "base") return options.base;
  if (name == "key") return options.key;
  if (name == "log") return options.log;
  if (name == "name") return options.name;
  if (name == "nodes") return options.nodes.empty() ? "" : options.nodes.front();
  if (name == "out") return options.out;
  if (name == "settings") return options.settings;
  if (name == "site") return options.site;
  if (name == "tenant") return options.tenant;
  return "";
}

/// Upper bound on arguments of `explain` and `losses`: log files, and an id.
constexpr std::size_t kMaximumLogArguments = 1000;

const std::vector<std::string> kLogFlags = {"log", "settings", "timeout_s"};

std::vector<Command> makeCommands() {
  return {
      {"keygen",
       "",
       "Make an operator's key pair; print the public part",
       "gorsetrail keygen --name operator-a --out operator-a.pem",
       {"name", "out", "force"},
       0,
       0,
       runKeygen},
      {"bundle new",
       "FILE",
       "Write a bundle to edit: a first one, or the next after another",
       "gorsetrail bundle new next.json --log 127.0.0.1:18001 --settings settings.json",
       {"site", "name", "key", "base", "log", "settings", "force", "timeout_s"},
       1,
       1,
       runBundleNew},
      {"bundle check",
       "FILE",
       "Check a bundle or envelope; print every error",
       "gorsetrail bundle check next.json",
       {},
       1,
       1,
       runBundleCheck},
      {"bundle sign",
       "FILE",
       "Sign a bundle, or add a signature to an envelope",
       "gorsetrail bundle sign next.json --key operator-a.pem --name operator-a",
       {"key", "name", "out", "force"},
       1,
       1,
       runBundleSign},
      {"bundle publish", "FILE.envelope",
       "Append an envelope to the log and report which version was accepted",
       "gorsetrail bundle publish next.envelope --log 127.0.0.1:18001 --settings settings.json",
       kLogFlags, 1, 1, runBundlePublish},
      {"bundle status",
       "",
       "Show which node has which version in force",
       "gorsetrail bundle status --nodes 127.0.0.1:18101,127.0.0.1:18102 --wait_version 7",
       {"nodes", "wait_version", "timeout_s"},
       0,
       0,
       runBundleStatus},
      {"bundle diff", "BEFORE AFTER | AFTER",
       "Show what changes between two bundles, or from the "
       "newest of the log",
       "gorsetrail bundle diff current.json next.json", kLogFlags, 1, 2, runBundleDiff},
      {"bundle history", "", "List every record of the log's bundle stream and its fate",
       "gorsetrail bundle history --log 127.0.0.1:18001 --settings settings.json", kLogFlags, 0, 0,
       runBundleHistory},
      {"drain",
       "BACKEND",
       "Publish a version in which a back end is leaving",
       "gorsetrail drain lm-1 --log 127.0.0.1:18001 --settings settings.json --key operator-a.pem "
       "--name operator-a",
       {"log", "settings", "key", "name", "out", "force", "timeout_s"},
       1,
       1,
       runDrain},
      {"nodes",
       "",
       "Show how nodes see each other",
       "gorsetrail nodes --nodes 127.0.0.1:18101,127.0.0.1:18102",
       {"nodes", "timeout_s"},
       0,
       0,
       runNodes},
      {"programs",
       "NAME",
       "Show a program as its owner knows it",
       "gorsetrail programs order-17 --nodes 127.0.0.1:18101 --tenant press-a --zone fi-south-a",
       {"nodes", "tenant", "zone", "timeout_s"},
       1,
       1,
       runPrograms},
      {"explain",
       "REQUEST|PROGRAM [FILE...]",
       "Show the log lines of one request or program in time order",
       "gorsetrail explain 4b3c9fe146b94859 edge-a-1.log edge-a-2.log",
       {},
       1,
       kMaximumLogArguments,
       runExplain},
      {"losses",
       "[FILE...]",
       "Count the programs that were late, refused or failed by their first cause",
       "gorsetrail losses edge-a-1.log edge-a-2.log",
       {"by_second"},
       0,
       kMaximumLogArguments,
       runLosses},
      {"completion",
       "SHELL",
       "Print a completion script for bash",
       "source <(gorsetrail completion bash)",
       {},
       1,
       1,
       runCompletion},
  };
}

}  // namespace

const std::vector<Command>& commands() {
  static const std::vector<Command> kCommands = makeCommands();
  return kCommands;
}

ExitCode fail(CommandContext& context, const std::vector<Error>& errors) {
  printErrors(context.err, context.options.format, errors);
  return exitCodeOf(errors.front().kind);
}

ExitCode fail(CommandContext& context, const Error& error) {
  return fail(context, std::vector<Error>{error});
}

Result<Success> requireFlags(const CommandContext& context, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (valueOfFlag(context.options, name).empty()) {
      return Error{ErrorKind::MissingField, "--" + name, "the flag is missing",
                   "give it; see `--help` for an example"};
    }
  }
  return Success{};
}

Duration timeLimitOf(const Options& options) { return seconds(options.timeLimitSeconds); }

}  // namespace gorsetrail::cli
