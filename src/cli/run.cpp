#include "cli/run.h"

#include <algorithm>
#include <sstream>

#include "cli/command.h"
#include "cli/help.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

std::vector<std::string> splitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

bool startsWith(const std::vector<std::string>& line, const std::vector<std::string>& words) {
  return line.size() >= words.size() && std::equal(words.begin(), words.end(), line.begin());
}

const Command* findCommand(const std::vector<std::string>& line) {
  for (const Command& command : commands()) {
    if (startsWith(line, splitWords(command.words))) {
      return &command;
    }
  }
  return nullptr;
}

Error usageError(const std::string& field, const std::string& reason, const std::string& help) {
  return Error{ErrorKind::InvalidField, field, reason, "see `gorsetrail " + help + "--help`"};
}

Result<Success> checkFlags(const Command& command, const std::vector<std::string>& flags) {
  for (const std::string& name : flags) {
    const bool isRead = name == "format" || std::find(command.flags.begin(), command.flags.end(),
                                                      name) != command.flags.end();
    if (!isRead) {
      return usageError("--" + name, "`" + command.words + "` has no such flag",
                        command.words + " ");
    }
  }
  return Success{};
}

ExitCode runCommand(const Command& command, CommandContext& context) {
  const std::size_t count = context.arguments.size();
  if (count < command.minimumArguments || count > command.maximumArguments) {
    return fail(context,
                usageError(command.words,
                           "expected arguments: " +
                               (command.arguments.empty() ? "no arguments" : command.arguments),
                           command.words + " "));
  }
  return command.run(context);
}

}  // namespace

ExitCode run(const std::vector<std::string>& arguments, HttpExchange& http, const Pause& pause,
             std::ostream& out, std::ostream& err) {
  CommandContext context{{}, {}, http, pause, out, err};
  Result<CommandLine> parsed = parseCommandLine(arguments);
  if (!succeeded(parsed)) {
    return fail(context, errorOf(parsed));
  }
  const CommandLine& line = valueOf(parsed);
  context.options = line.options;
  const Command* command = findCommand(line.words);
  if (line.options.help || line.words.empty()) {
    out << (command == nullptr ? generalHelp() : commandHelp(*command));
    return line.options.help ? ExitCode::Done : ExitCode::BadInput;
  }
  if (command == nullptr) {
    return fail(context, usageError(line.words.front(), "there is no such command", ""));
  }
  const Result<Success> flags = checkFlags(*command, line.flags);
  if (!succeeded(flags)) {
    return fail(context, errorOf(flags));
  }
  const auto own = static_cast<std::ptrdiff_t>(splitWords(command->words).size());
  context.arguments.assign(line.words.begin() + own, line.words.end());
  return runCommand(*command, context);
}

}  // namespace gorsetrail::cli
