#include "cli/help.h"

#include <gflags/gflags.h>

#include <algorithm>

namespace gorsetrail::cli {
namespace {

constexpr std::size_t kNameWidth = 38;

std::string padded(std::string text) {
  text.resize(std::max(kNameWidth, text.size() + 1), ' ');
  return text;
}

std::string describeFlag(const std::string& name) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return "";
  }
  const bool hasDefault =
      !info.default_value.empty() && info.type != "bool" && info.default_value != "0";
  return padded("  --" + name) + info.description +
         (hasDefault ? " (" + info.default_value + ")" : "") + "\n";
}

std::string usageOf(const Command& command) {
  return command.words + (command.arguments.empty() ? "" : " " + command.arguments);
}

}  // namespace

std::string generalHelp() {
  std::string text = "gorsetrail: the operators' command\n\nCommands:\n";
  for (const Command& command : commands()) {
    text += padded("  " + usageOf(command)) + command.summary + "\n";
  }
  return text +
         "\n`gorsetrail COMMAND --help` shows a command's flags and an example.\n"
         "Exit codes: 0 done, 1 refused or failed, 2 usage or bad input, 3 platform or node not\n"
         "reached or outcome not known, 4 conflict with another operator's version.\n";
}

std::string commandHelp(const Command& command) {
  std::string text =
      command.summary + "\n\nUsage: gorsetrail " + usageOf(command) + " [flags]\n\nFlags:\n";
  for (const std::string& flag : command.flags) {
    text += describeFlag(flag);
  }
  text += describeFlag("format");
  return text + "\nExample:\n  " + command.example + "\n";
}

}  // namespace gorsetrail::cli
