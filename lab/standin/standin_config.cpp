#include "lab/standin/standin_config.h"

#include <nlohmann/json.hpp>

#include "lab/config/json_config.h"
#include "lab/config/json_values.h"
#include "lab/standin/standin_schema.h"

namespace gorsetrail::standin {
namespace {

using lab::read;
using lab::readSpan;
using nlohmann::json;

void readEngineValues(const json& values, EngineStandInOptions& options) {
  readSpan<microseconds>(values, "base_step_us", options.engine.baseStep);
  readSpan<microseconds>(values, "step_per_stream_us", options.engine.stepPerStream);
  read(values, "prefill_ns_per_token", options.engine.nanosecondsPerPrefillToken);
  read(values, "prefill_tokens_per_step", options.engine.prefillTokensPerStep);
  read(values, "maximum_running", options.engine.maximumRunning);
  read(values, "maximum_queued", options.engine.maximumQueued);
  read(values, "block_tokens", options.engine.blockTokens);
  read(values, "cache_blocks", options.engine.cacheBlocks);
  read(values, "hold_limit_per_mille", options.engine.holdLimitPerMille);
  readSpan<milliseconds>(values, "cache_event_lag_ms", options.reports.cacheEventLag);
  read(values, "cache_event_gap_per_mille", options.reports.cacheEventGapPerMille);
  readSpan<milliseconds>(values, "load_report_ms", options.loadReportInterval);
  readSpan<milliseconds>(values, "load_ms", options.loadTime);
  readSpan<milliseconds>(values, "stream_keep_ms", options.streamKeepTime);
  read(values, "minimum_answer_tokens", options.minimumAnswerTokens);
  read(values, "maximum_answer_tokens", options.maximumAnswerTokens);
}

EngineStandInOptions engineOptions(const json& entry, const json& defaults, std::uint64_t seed) {
  EngineStandInOptions options;
  options.model = entry["model"].get<std::string>();
  read(entry, "adapters", options.adapters);
  options.reports.seed = seed;
  readEngineValues(defaults, options);
  readEngineValues(entry.value("values", json::object()), options);
  return options;
}

MachineState machineState(const std::string& name) {
  if (name == "terminated") {
    return MachineState::Terminated;
  }
  return name == "leaving" ? MachineState::Leaving : MachineState::Live;
}

MachineListOptions machineListOptions(const json& entry) {
  MachineListOptions options;
  readSpan<milliseconds>(entry, "lag_ms", options.lag);
  for (const json& machine : entry.value("machines", json::array())) {
    options.machines.push_back(
        {machine["node"].get<std::uint32_t>(), machine["incarnation"].get<std::uint64_t>(),
         machine["zone"].get<std::string>(), machineState(machine.value("state", "live"))});
  }
  return options;
}

WeightStoreOptions weightStoreOptions(const json& entry) {
  WeightStoreOptions options;
  read(entry, "requests_per_second", options.requestsPerSecond);
  for (const json& weights : entry["weights"]) {
    options.weights[weights["name"].get<std::string>()] = weights["bytes"].get<std::uint64_t>();
  }
  return options;
}

ToolOptions toolOptions(const json& entry) {
  ToolOptions options;
  readSpan<milliseconds>(entry, "minimum_ms", options.times.minimum);
  readSpan<milliseconds>(entry, "maximum_ms", options.times.maximum);
  read(entry, "hang_per_mille", options.times.hangPerMille);
  return options;
}

StandInConfig standInOf(const json& entry, const json& defaults, std::uint64_t seed) {
  StandInConfig config;
  config.name = entry["name"].get<std::string>();
  config.listen = entry["listen"].get<std::string>();
  const auto kind = entry["kind"].get<std::string>();
  if (kind == "engine") {
    config.options = engineOptions(entry, defaults, seed);
  } else if (kind == "application") {
    ApplicationOptions options;
    readSpan<milliseconds>(entry, "run_ms", options.runTime);
    config.options = options;
  } else if (kind == "machine_list") {
    config.options = machineListOptions(entry);
  } else if (kind == "weight_store") {
    config.options = weightStoreOptions(entry);
  } else if (kind == "tools") {
    config.options = toolOptions(entry);
  } else {
    config.options = LogOptions{};
  }
  return config;
}

Error rangeError(const std::string& name, const std::string& lower, const std::string& higher) {
  return Error{ErrorKind::InvalidSettings, name, lower + " is above " + higher,
               "lower " + lower + " or raise " + higher};
}

/// Checks what a schema cannot say.
Result<Success> checkRanges(const StandInConfig& config) {
  if (const auto* engine = std::get_if<EngineStandInOptions>(&config.options)) {
    if (engine->minimumAnswerTokens > engine->maximumAnswerTokens) {
      return rangeError(config.name, "minimum_answer_tokens", "maximum_answer_tokens");
    }
  }
  if (const auto* tools = std::get_if<ToolOptions>(&config.options)) {
    if (tools->times.minimum > tools->times.maximum) {
      return rangeError(config.name, "minimum_ms", "maximum_ms");
    }
  }
  return Success{};
}

/// Checks one part of the file by the definition of its kind.
Result<Success> checkPart(const json& part, const std::string& definition,
                          const std::string& source) {
  json schema = {{"definitions", json::parse(kStandInDefinitions)}};
  schema["allOf"] = json::array({{{"$ref", "#/definitions/" + definition}}});
  return lab::checkDocument(part, schema.dump(), source);
}

/// Each part by its own schema, so that an error names the key and not just the list.
Result<Success> checkParts(const json& document, const std::string& source) {
  Result<Success> checked = checkPart(document.value("engine_defaults", json::object()),
                                      "engine_values", source + " engine_defaults");
  std::size_t index = 0;
  for (const json& entry : document["stand_ins"]) {
    if (!succeeded(checked)) {
      break;
    }
    checked = checkPart(entry, entry["kind"].get<std::string>(),
                        source + " stand_ins[" + std::to_string(index) + "]");
    ++index;
  }
  return checked;
}

Result<StandInProcessConfig> configOf(const json& document, const std::string& source) {
  const Result<Success> parts = checkParts(document, source);
  if (!succeeded(parts)) {
    return errorOf(parts);
  }
  StandInProcessConfig config;
  read(document, "seed", config.seed);
  config.logLevel = logLevelNamed(document.value("log_level", "info"));
  const json defaults = document.value("engine_defaults", json::object());
  for (const json& entry : document["stand_ins"]) {
    const std::uint64_t seed = config.seed + config.standIns.size();
    config.standIns.push_back(standInOf(entry, defaults, seed));
    const Result<Success> checked = checkRanges(config.standIns.back());
    if (!succeeded(checked)) {
      return errorOf(checked);
    }
  }
  return config;
}

}  // namespace

Result<StandInProcessConfig> parseStandInConfig(std::string_view text, const std::string& source) {
  const Result<json> document = lab::checkJson(text, kStandInFileSchema, source);
  return succeeded(document) ? configOf(valueOf(document), source) : errorOf(document);
}

Result<StandInProcessConfig> readStandInConfig(const std::string& path) {
  const Result<json> document = lab::readJsonFile(path, kStandInFileSchema);
  return succeeded(document) ? configOf(valueOf(document), path) : errorOf(document);
}

}  // namespace gorsetrail::standin
