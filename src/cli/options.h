/// \file Command-line parsing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"

namespace gorsetrail::cli {

enum class OutputFormat : std::uint8_t { Table, Json };

/// Values of the flags; empty or zero when not given.
struct Options {
  OutputFormat format = OutputFormat::Table;
  bool help = false;
  bool force = false;
  bool bySecond = false;               ///< `losses`: programs by second and cause.
  std::string base;                    ///< File that `bundle new` starts from.
  std::string key;                     ///< PEM file of the private key.
  std::string log;                     ///< `ip:port` of the platform's log.
  std::string name;                    ///< Operator's name.
  std::vector<std::string> nodes;      ///< Caller-facing `ip:port` of nodes.
  std::string out;                     ///< File to write.
  std::string settings;                ///< JSON file with `site` and `trust`.
  std::string site;                    ///< Site of a first bundle.
  std::string tenant;                  ///< Tenant of a program.
  std::uint32_t timeLimitSeconds = 0;  ///< Per request, and for the whole of a wait.
  std::uint64_t waitVersion = 0;       ///< `bundle status`: wait until every node has it.
  std::string zone;                    ///< Home zone of a program.
};

struct CommandLine {
  std::vector<std::string> words;  ///< Command and arguments, in order.
  std::vector<std::string> flags;  ///< Names of the flags given, without dashes.
  Options options;
};

/// Parses words and `--flag value` or `--flag=value` in any order; flags are gflags' definitions.
/// \param arguments without the program's name.
/// \return the command line, or `InvalidField` for an unknown flag or an invalid value.
Result<CommandLine> parseCommandLine(const std::vector<std::string>& arguments);

/// \return the names of all flags, sorted, without dashes.
std::vector<std::string> flagNames();

}  // namespace gorsetrail::cli
