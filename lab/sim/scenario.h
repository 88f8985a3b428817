/// \file A scenario: site, workload, fault schedule and stated outcomes, read from a JSON file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace gorsetrail::sim {

struct ZoneSpec {
  std::string name;
  std::uint32_t nodes = 0;
};

/// One-way delays.
struct DelaySpec {
  Duration withinZone = microseconds(200);
  Duration betweenZones = microseconds(1500);
  Duration caller = microseconds(3000);
};

/// Faults of messages between nodes, in parts of a thousand messages.
struct NetworkConditions {
  std::uint32_t lossPerMille = 0;
  std::uint32_t duplicatePerMille = 0;
  std::uint32_t reorderPerMille = 0;
};

/// What programs do.
struct WorkloadSpec {
  std::uint32_t programs = 20;
  Duration startWithin = seconds(60);
  std::uint32_t minimumSteps = 3;
  std::uint32_t maximumSteps = 8;
  std::uint32_t answerTokens = 40;
  std::uint32_t maximumTokens = 120;  ///< `max_tokens` of a call.
  Duration toolTime = milliseconds(400);
  Duration toolTimeout = seconds(20);
  Duration callerTimeout = seconds(20);  ///< After it a caller asks another node.
  Duration callTimeLimit = seconds(60);  ///< `Gorsetrail-Timeout-Ms`.
  Duration keepAsking = seconds(120);    ///< How long a caller repeats one request.
  Duration thinkTime = milliseconds(200);
  std::uint32_t toolPerMille = 400;
  std::uint32_t subAgentPerMille = 200;
  std::uint32_t applicationPerMille = 300;
  std::uint32_t streamPerMille = 500;
  std::uint32_t loopingPerMille = 0;
  bool keepProgramsOpen = false;  ///< Callers do not close their programs.
};

struct BudgetSpec {
  std::uint32_t calls = 200;
  std::uint64_t tokens = 400000;
  std::uint32_t seconds = 7200;
};

enum class FaultKind : std::uint8_t {
  KillNode,
  PauseNode,
  StopNode,
  PartitionZone,
  LoseZone,
  LogDown,
  LogSlow,
  LogLoseAnswers,
  KillCallers,
  PauseCallers,
  HangTools,
  HangEngines,
  RefuseAtBackend,
  BreakStreams,
  LoseApplicationAnswers,
  LeaveBackend,
  ServeBackend,
  PublishBundle,
  RaceBundles,
  Network,
};

/// One fault; which fields count depends on its kind (see docs/scenario.schema.json).
struct Fault {
  FaultKind kind = FaultKind::KillNode;
  Duration at{};
  Duration length{};  ///< `for_s`; 0 lasts to the end.
  std::uint32_t node = 0;
  std::string zone;
  std::string backend;
  std::uint32_t perMille = 1000;
  std::uint32_t count = 0;
  std::optional<Duration> restartAfter;
  NetworkConditions network;
};

/// Outcomes that the scenario states beside the promises.
struct Expectation {
  std::uint32_t completedProgramsPerMille = 0;  ///< At least.
  std::uint32_t minimumTakeovers = 0;           ///< Calls that another node completed.
};

struct Scenario {
  std::string name;
  std::string description;
  std::uint64_t seed = 1;
  Duration length = seconds(300);
  std::vector<ZoneSpec> zones;
  std::uint32_t enginesPerZone = 2;
  std::uint32_t applicationsPerZone = 1;
  DelaySpec delays;
  NetworkConditions network;
  Duration machineListLag = seconds(5);
  Duration idleLease = seconds(900);
  WorkloadSpec workload;
  BudgetSpec budget;
  std::vector<Fault> faults;
  Expectation expect;

  [[nodiscard]] std::uint32_t nodeCount() const;
};

/// Reads and checks a scenario file. Errors: `InvalidSettings` naming the path at fault.
Result<Scenario> readScenario(const std::string& path);
/// Checks and reads a scenario's text; `source` names it in errors.
Result<Scenario> parseScenario(std::string_view text, const std::string& source);
/// \return the JSON Schema that `readScenario` checks against, the text of
/// docs/scenario.schema.json.
std::string_view scenarioSchemaText();

}  // namespace gorsetrail::sim
