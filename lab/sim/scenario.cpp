#include "lab/sim/scenario.h"

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "lab/config/json_config.h"

namespace gorsetrail::sim {
namespace {

using nlohmann::json;

struct FaultName {
  std::string_view name;
  FaultKind kind;
};
constexpr std::array kFaultNames = {
    FaultName{"kill_node", FaultKind::KillNode},
    FaultName{"pause_node", FaultKind::PauseNode},
    FaultName{"stop_node", FaultKind::StopNode},
    FaultName{"partition_zone", FaultKind::PartitionZone},
    FaultName{"lose_zone", FaultKind::LoseZone},
    FaultName{"log_down", FaultKind::LogDown},
    FaultName{"log_slow", FaultKind::LogSlow},
    FaultName{"log_lose_answers", FaultKind::LogLoseAnswers},
    FaultName{"kill_callers", FaultKind::KillCallers},
    FaultName{"pause_callers", FaultKind::PauseCallers},
    FaultName{"hang_tools", FaultKind::HangTools},
    FaultName{"hang_engines", FaultKind::HangEngines},
    FaultName{"refuse_at_back_end", FaultKind::RefuseAtBackend},
    FaultName{"break_streams", FaultKind::BreakStreams},
    FaultName{"lose_application_answers", FaultKind::LoseApplicationAnswers},
    FaultName{"leave_back_end", FaultKind::LeaveBackend},
    FaultName{"serve_back_end", FaultKind::ServeBackend},
    FaultName{"publish_bundle", FaultKind::PublishBundle},
    FaultName{"race_bundles", FaultKind::RaceBundles},
    FaultName{"network", FaultKind::Network},
};

FaultKind faultNamed(std::string_view name) {
  for (const FaultName& entry : kFaultNames) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return FaultKind::Network;  // The schema lets no other name through.
}

template <class Value>
void read(const json& object, const char* key, Value& target) {
  if (object.contains(key)) {
    target = object[key].get<Value>();
  }
}

Duration secondsOf(double value) { return Duration(static_cast<Duration::rep>(value * 1e6)); }

void readSeconds(const json& object, const char* key, Duration& target) {
  if (object.contains(key)) {
    target = secondsOf(object[key].get<double>());
  }
}

template <class Unit>
void readWhole(const json& object, const char* key, Duration& target) {
  if (object.contains(key)) {
    target = Unit(object[key].get<std::int64_t>());
  }
}

NetworkConditions readNetwork(const json& object) {
  NetworkConditions conditions;
  read(object, "loss_per_mille", conditions.lossPerMille);
  read(object, "duplicate_per_mille", conditions.duplicatePerMille);
  read(object, "reorder_per_mille", conditions.reorderPerMille);
  return conditions;
}

WorkloadSpec readWorkload(const json& object) {
  WorkloadSpec workload;
  read(object, "programs", workload.programs);
  readSeconds(object, "start_within_s", workload.startWithin);
  read(object, "minimum_steps", workload.minimumSteps);
  read(object, "maximum_steps", workload.maximumSteps);
  read(object, "answer_tokens", workload.answerTokens);
  read(object, "maximum_tokens", workload.maximumTokens);
  readWhole<milliseconds>(object, "tool_ms", workload.toolTime);
  readSeconds(object, "tool_timeout_s", workload.toolTimeout);
  readSeconds(object, "caller_timeout_s", workload.callerTimeout);
  readSeconds(object, "call_time_limit_s", workload.callTimeLimit);
  readSeconds(object, "keep_asking_s", workload.keepAsking);
  readWhole<milliseconds>(object, "think_ms", workload.thinkTime);
  read(object, "tool_per_mille", workload.toolPerMille);
  read(object, "sub_agent_per_mille", workload.subAgentPerMille);
  read(object, "application_per_mille", workload.applicationPerMille);
  read(object, "stream_per_mille", workload.streamPerMille);
  read(object, "looping_per_mille", workload.loopingPerMille);
  read(object, "keep_programs_open", workload.keepProgramsOpen);
  return workload;
}

Fault readFault(const json& object) {
  Fault fault;
  fault.kind = faultNamed(object["kind"].get<std::string>());
  readSeconds(object, "at_s", fault.at);
  readSeconds(object, "for_s", fault.length);
  read(object, "node", fault.node);
  read(object, "zone", fault.zone);
  read(object, "back_end", fault.backend);
  read(object, "per_mille", fault.perMille);
  read(object, "count", fault.count);
  if (object.contains("restart_after_s")) {
    fault.restartAfter = secondsOf(object["restart_after_s"].get<double>());
  }
  fault.network = readNetwork(object.value("network", json::object()));
  return fault;
}

void readSite(const json& document, Scenario& scenario) {
  for (const json& zone : document["zones"]) {
    scenario.zones.push_back({zone["name"].get<std::string>(), zone["nodes"].get<std::uint32_t>()});
  }
  read(document, "engines_per_zone", scenario.enginesPerZone);
  read(document, "applications_per_zone", scenario.applicationsPerZone);
  const json delays = document.value("delays", json::object());
  readWhole<microseconds>(delays, "within_zone_us", scenario.delays.withinZone);
  readWhole<microseconds>(delays, "between_zones_us", scenario.delays.betweenZones);
  readWhole<microseconds>(delays, "caller_us", scenario.delays.caller);
  scenario.network = readNetwork(document.value("network", json::object()));
  readSeconds(document, "machine_list_lag_s", scenario.machineListLag);
  readSeconds(document, "idle_lease_s", scenario.idleLease);
}

Scenario readDocument(const json& document) {
  Scenario scenario;
  read(document, "name", scenario.name);
  read(document, "description", scenario.description);
  read(document, "seed", scenario.seed);
  readSeconds(document, "duration_s", scenario.length);
  readSite(document, scenario);
  scenario.workload = readWorkload(document.value("workload", json::object()));
  const json budget = document.value("budget", json::object());
  read(budget, "calls", scenario.budget.calls);
  read(budget, "tokens", scenario.budget.tokens);
  read(budget, "seconds", scenario.budget.seconds);
  for (const json& fault : document.value("faults", json::array())) {
    scenario.faults.push_back(readFault(fault));
  }
  const json expect = document.value("expect", json::object());
  read(expect, "completed_programs_per_mille", scenario.expect.completedProgramsPerMille);
  read(expect, "minimum_takeovers", scenario.expect.minimumTakeovers);
  return scenario;
}

Error invalid(const std::string& field, const std::string& reason) {
  return Error{ErrorKind::InvalidSettings, field, reason,
               "correct the scenario; docs/scenario.schema.json says what it may hold"};
}

bool hasZone(const Scenario& scenario, const std::string& name) {
  for (const ZoneSpec& zone : scenario.zones) {
    if (zone.name == name) {
      return true;
    }
  }
  return false;
}

bool needsNode(FaultKind kind) {
  return kind == FaultKind::KillNode || kind == FaultKind::PauseNode || kind == FaultKind::StopNode;
}

bool needsZone(FaultKind kind) {
  return kind == FaultKind::PartitionZone || kind == FaultKind::LoseZone;
}

/// What a schema cannot say: names that must exist.
Result<Success> checkReferences(const Scenario& scenario, const std::string& source) {
  for (std::size_t place = 0; place < scenario.faults.size(); ++place) {
    const Fault& fault = scenario.faults[place];
    const std::string path = source + " /faults/" + std::to_string(place);
    if (needsNode(fault.kind) && (fault.node == 0 || fault.node > scenario.nodeCount())) {
      return invalid(path + "/node", "no such node");
    }
    const bool namesZone = needsZone(fault.kind) || !fault.zone.empty();
    if (namesZone && !hasZone(scenario, fault.zone)) {
      return invalid(path + "/zone", "no such zone");
    }
  }
  if (scenario.workload.minimumSteps > scenario.workload.maximumSteps) {
    return invalid(source + " /workload/minimum_steps", "is above maximum_steps");
  }
  return Success{};
}

}  // namespace

std::uint32_t Scenario::nodeCount() const {
  std::uint32_t count = 0;
  for (const ZoneSpec& zone : zones) {
    count += zone.nodes;
  }
  return count;
}

Result<Scenario> parseScenario(std::string_view text, const std::string& source) {
  Result<json> document = lab::checkJson(text, scenarioSchemaText(), source);
  if (!succeeded(document)) {
    Error error = errorOf(document);
    error.remedy = "correct the scenario; docs/scenario.schema.json says what it may hold";
    return error;
  }
  Scenario scenario = readDocument(valueOf(document));
  const Result<Success> references = checkReferences(scenario, source);
  if (!succeeded(references)) {
    return errorOf(references);
  }
  return scenario;
}

Result<Scenario> readScenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::InvalidSettings, path, "cannot be read",
                 "name a readable scenario file, such as lab/scenarios/runner-death.json"};
  }
  std::stringstream text;
  text << file.rdbuf();
  return parseScenario(text.str(), path);
}

}  // namespace gorsetrail::sim
