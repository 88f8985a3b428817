/// \file Subcommands of `gorsetrail-lab`: each folder of the lab adds its own to the registry.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsetrail::lab {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitViolation = 1;  ///< A promise was broken, or the run failed.
inline constexpr int kExitUsage = 2;      ///< Bad flags, arguments or configuration.

/// What the command line said, after gflags took its flags.
struct CommandArguments {
  std::string configPath;         ///< `--config`.
  std::string format;             ///< `--format`: `json` or `table`.
  std::uint64_t seed = 0;         ///< `--seed`; 0 when not given.
  std::vector<std::string> rest;  ///< Arguments after the subcommand's name.
};

/// One subcommand; `run` returns the exit code of the process.
struct Command {
  std::string name;
  std::string summary;
  int (*run)(const CommandArguments& arguments) = nullptr;
};

/// The subcommands of one program, in the order in which help shows them.
class CommandRegistry {
 public:
  void add(Command command) { commands_.push_back(std::move(command)); }

  /// \return the named command, or null.
  [[nodiscard]] const Command* find(std::string_view name) const {
    for (const Command& command : commands_) {
      if (command.name == name) {
        return &command;
      }
    }
    return nullptr;
  }

  [[nodiscard]] const std::vector<Command>& commands() const { return commands_; }

 private:
  std::vector<Command> commands_;
};

}  // namespace gorsetrail::lab
