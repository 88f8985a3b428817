// `explain`: the log lines of one request or program from all nodes, in time order.
#include <fstream>
#include <iostream>

#include "cli/command.h"
#include "cli/log_refusal.h"
#include "cli/log_story.h"
#include "cli/report.h"

namespace gorsetrail::cli {
namespace {

std::string textOfFields(const LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    if (key == "request" || value.empty()) {
      continue;
    }
    text += text.empty() ? "" : " ";
    text += key;
    text += "=";
    text += value;
  }
  if (const std::string_view meaning = classifyRefusal(line); !meaning.empty()) {
    text += " means=";
    text += meaning;
  }
  return text;
}

Error unreadable(const std::string& path) {
  return Error{ErrorKind::InvalidField, path, "the file cannot be read",
               "name a log file, or give the lines on standard input"};
}

Error notFound(const std::string& request, const LogStory& story) {
  return Error{ErrorKind::ProgramNotFound, request,
               "no line names this request (" + std::to_string(story.passedOver()) +
                   " lines were not log lines)",
               "give the logs of all nodes of that time; answered requests beyond the logged rate "
               "are only counted (event=lines_left_out), refusals of a burst by program "
               "(event=refusals_counted)"};
}

Result<Success> readFiles(const std::vector<std::string>& arguments, LogStory& story) {
  for (std::size_t index = 1; index < arguments.size(); ++index) {
    std::ifstream file(arguments[index]);
    if (!file) {
      return unreadable(arguments[index]);
    }
    story.read(file, arguments[index]);
  }
  return Success{};
}

}  // namespace

ExitCode runExplain(CommandContext& context) {
  LogStory story(context.arguments.front());
  if (context.arguments.size() == 1) {
    story.read(std::cin, "-");
  } else if (const auto read = readFiles(context.arguments, story); !succeeded(read)) {
    return fail(context, errorOf(read));
  }
  if (!story.found()) {
    return fail(context, notFound(context.arguments.front(), story));
  }
  Table table{{"time_ms", "node", "event", "details"}, {}};
  for (const LogLine& line : story.lines()) {
    table.rows.push_back({line.timeMilliseconds, line.source, line.event, textOfFields(line)});
  }
  printTable(context.out, context.options.format, table);
  return ExitCode::Done;
}

}  // namespace gorsetrail::cli
