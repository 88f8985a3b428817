/// \file Configuration of `gorsetrail-lab standin`: which stand-ins one process hosts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/log.h"
#include "base/result.h"
#include "lab/standin/engine_stand_in.h"
#include "lab/standin/machine_list_stand_in.h"
#include "lab/standin/tool_stand_in.h"

namespace gorsetrail::standin {

struct ApplicationOptions {
  Duration runTime = milliseconds(5);
};
struct LogOptions {};
struct MachineListOptions {
  Duration lag = milliseconds(2000);
  std::vector<Machine> machines;
};
struct WeightStoreOptions {
  double requestsPerSecond = 2.0;
  std::map<std::string, std::uint64_t, std::less<>> weights;
};
struct ToolOptions {
  ToolTimes times;
};

/// One listener.
struct StandInConfig {
  std::string name;
  std::string listen;  ///< `ip:port`.
  std::variant<EngineStandInOptions, ApplicationOptions, LogOptions, MachineListOptions,
               WeightStoreOptions, ToolOptions>
      options;
};

struct StandInProcessConfig {
  std::uint64_t seed = 1;
  LogLevel logLevel = LogLevel::Info;
  std::vector<StandInConfig> standIns;
};

/// \param source names the text in errors.
/// \return the configuration, or `InvalidSettings` that names the key at fault.
Result<StandInProcessConfig> parseStandInConfig(std::string_view text, const std::string& source);
/// Reads a file; see `parseStandInConfig`.
Result<StandInProcessConfig> readStandInConfig(const std::string& path);

}  // namespace gorsetrail::standin
