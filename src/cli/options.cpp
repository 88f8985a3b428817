#include "cli/options.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

DEFINE_string(base, "", "bundle file that the new one is made from");
DEFINE_bool(by_second, false, "losses: programs by second and cause, for plots");
DEFINE_bool(force, false, "overwrite an existing file");
DEFINE_string(format, "table", "output: table or json");
DEFINE_string(key, "", "PEM file of the operator's private key");
DEFINE_string(log, "", "ip:port of the platform's log");
DEFINE_string(name, "", "the operator's name");
DEFINE_string(nodes, "", "caller-facing ip:port of nodes, separated by commas");
DEFINE_string(out, "", "file to write");
DEFINE_string(settings, "", "JSON file with the keys site and trust, such as a node's settings");
DEFINE_string(site, "", "site of a first bundle");
DEFINE_string(tenant, "", "tenant of the program");
DEFINE_uint32(timeout_s, 10, "time limit of one request and of a whole wait, in seconds");
DEFINE_uint64(wait_version, 0, "wait until every node has at least this version in force");
DEFINE_string(zone, "", "home zone of the program");

namespace gorsetrail::cli {
namespace {

constexpr std::array<std::string_view, 15> kFlags = {
    "base", "by_second", "force",    "format", "key",       "log",          "name", "nodes",
    "out",  "site",      "settings", "tenant", "timeout_s", "wait_version", "zone"};
constexpr std::uint32_t kLongestTimeLimitSeconds = 3600;

Error usageError(const std::string& field, const std::string& reason) {
  return Error{ErrorKind::InvalidField, field, reason, "see `gorsetrail --help`"};
}

bool isOwnFlag(const std::string& name) {
  return std::find(kFlags.begin(), kFlags.end(), name) != kFlags.end();
}

bool isBoolean(const std::string& name) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

/// Separates words from flags and lets gflags validate and store the values. The parser of gflags
/// is not used, because on an error it exits with code 1 and prints the flags of all libraries.
class Reader {
 public:
  explicit Reader(const std::vector<std::string>& arguments) : arguments_(arguments) {}

  Result<CommandLine> read() {
    resetFlags();
    while (next_ < arguments_.size()) {
      const std::string argument = arguments_[next_++];
      const Result<Success> parsed = parseArgument(argument);
      if (!succeeded(parsed)) {
        return errorOf(parsed);
      }
    }
    return finish();
  }

 private:
  /// Restores the defaults, because gflags keeps the values of an earlier call in the process.
  static void resetFlags() {
    for (const std::string_view name : kFlags) {
      gflags::CommandLineFlagInfo info;
      if (gflags::GetCommandLineFlagInfo(name.data(), &info)) {
        gflags::SetCommandLineOption(name.data(), info.default_value.c_str());
      }
    }
  }

  Result<Success> parseArgument(const std::string& argument) {
    if (argument == "--help" || argument == "-h") {
      line_.options.help = true;
      return Success{};
    }
    if (argument.size() < 2 || !argument.starts_with("-")) {
      line_.words.push_back(argument);
      return Success{};
    }
    return parseFlag(argument);
  }

  Result<Success> parseFlag(const std::string& argument) {
    const std::string body = argument.substr(argument.starts_with("--") ? 2 : 1);
    const std::size_t equals = body.find('=');
    const std::string name = body.substr(0, equals);
    if (!isOwnFlag(name)) {
      return usageError("--" + name, "there is no such flag");
    }
    line_.flags.push_back(name);
    std::string value = "true";
    if (equals != std::string::npos) {
      value = body.substr(equals + 1);
    } else if (!isBoolean(name)) {
      if (next_ == arguments_.size()) {
        return usageError("--" + name, "the flag needs a value");
      }
      value = arguments_[next_++];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return usageError("--" + name, "\"" + value + "\" is not a valid value for this flag");
    }
    return Success{};
  }

  Result<CommandLine> finish() {
    if (FLAGS_format != "table" && FLAGS_format != "json") {
      return usageError("--format", "the format is table or json");
    }
    if (FLAGS_timeout_s == 0 || FLAGS_timeout_s > kLongestTimeLimitSeconds) {
      return usageError("--timeout_s", "give 1 to 3600 seconds");
    }
    Options& options = line_.options;
    options.format = FLAGS_format == "json" ? OutputFormat::Json : OutputFormat::Table;
    options.bySecond = FLAGS_by_second;
    options.force = FLAGS_force;
    options.base = FLAGS_base;
    options.key = FLAGS_key;
    options.log = FLAGS_log;
    options.name = FLAGS_name;
    options.nodes = splitAtCommas(FLAGS_nodes);
    options.out = FLAGS_out;
    options.settings = FLAGS_settings;
    options.site = FLAGS_site;
    options.tenant = FLAGS_tenant;
    options.timeLimitSeconds = FLAGS_timeout_s;
    options.waitVersion = FLAGS_wait_version;
    options.zone = FLAGS_zone;
    return std::move(line_);
  }

  const std::vector<std::string>& arguments_;
  std::size_t next_ = 0;
  CommandLine line_;
};

}  // namespace

Result<CommandLine> parseCommandLine(const std::vector<std::string>& arguments) {
  return Reader(arguments).read();
}

std::vector<std::string> flagNames() {
  std::vector<std::string> names(kFlags.begin(), kFlags.end());
  names.emplace_back("help");
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace gorsetrail::cli
