/// \file Discrete-event emulation of engines, deciding nodes and programs under one policy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "lab/emulator/decision_node.h"
#include "lab/emulator/event_queue.h"
#include "lab/emulator/foresight.h"
#include "lab/emulator/measures.h"
#include "lab/emulator/program_plan.h"
#include "lab/emulator/prompt_context.h"
#include "lab/emulator/workload.h"
#include "scheduling/retention.h"

namespace gorsetrail::emulator {

/// What to run.
struct EmulationOptions {
  std::string policy;  ///< A product policy, `clairvoyant-latency` or `clairvoyant-cache`.
  double load = 0.8;
  std::uint64_t seed = 1;
  bool retention = true;  ///< Of the product's policy: hold prefixes while tools run.
};

/// \return names that `EmulationOptions::policy` takes.
std::vector<std::string_view> emulatedPolicies();

/// Runs one emulation. Equal workload, options and binary give equal figures, but for those of
/// processor time (`decision_us_p99`).
class Emulation {
 public:
  Emulation(const Workload& workload, const EmulationOptions& options);
  Figures run();

 private:
  struct Program {
    explicit Program(std::uint32_t blockTokens) : context(blockTokens) {}
    PromptContext context;
    std::size_t turn = 0;
    std::uint32_t call = 0;
    std::size_t foreseenBlocks = 0;  ///< Of the chain, known to `Foresight`.
    std::uint32_t promptTokens = 0;
    std::uint32_t knownTokens = 0;  ///< Of the prompt, computed before by any engine.
    std::uint32_t waitingFor = 0;   ///< Sub-agents and the tool's pause.
    std::uint64_t attainedTokens = 0;
    std::optional<scheduling::ReplicaIndex> replica;
    Instant firstCallAt{};
    Instant callAt{};
    Instant answerAt{};
    Duration toolTime{};
    bool started = false;
    bool underWay = false;
    bool ended = false;
  };

  void handle(const Event& event);
  void startCall(std::uint32_t program);
  void placeCall(std::uint32_t program);
  void foresee(std::uint32_t program);
  void beginContext(std::uint32_t program);
  void requestArrives(const Event& event);
  void answerArrives(const Event& event);
  void endTurn(std::uint32_t program);
  void oneWaitLess(std::uint32_t program);
  void patienceExpires(const Event& event);
  void endProgram(std::uint32_t program);
  void leave(std::uint32_t program);
  void holdPrefix(std::uint32_t program);
  void releasePrefix(std::uint32_t program);
  void wake(std::uint32_t engine);
  void scheduleWake(std::uint32_t engine);
  void take(std::uint32_t engine, const enginemodel::EngineEvent& event);
  void firstToken(std::uint32_t program);
  void requestFinished(std::uint32_t program, const enginemodel::RequestFinished& finished);
  void deliverReports();
  void showTruth(std::uint32_t program);
  void recordLatency(std::uint32_t program);
  void recordUnfinished();
  Figures collectFigures();
  [[nodiscard]] bool measured(std::uint32_t program) const;
  [[nodiscard]] std::uint32_t rootOf(std::uint32_t program) const;
  [[nodiscard]] std::size_t knownBlocks(const Program& program) const;
  [[nodiscard]] std::uint32_t enginePriority(std::uint32_t program) const;
  [[nodiscard]] std::string requestId(std::uint32_t program) const;
  [[nodiscard]] DecisionNode& nodeOf(std::uint32_t program);
  [[nodiscard]] enginemodel::EngineModel& engineOf(std::uint32_t program);

  const Workload& workload_;
  EmulationOptions options_;
  bool clairvoyant_;
  bool retains_;
  std::vector<ProgramPlan> plans_;
  std::vector<Program> programs_;
  std::vector<enginemodel::EngineModel> engines_;
  std::vector<std::uint64_t> wakeVersions_;
  std::vector<std::uint64_t> eventSequences_;
  std::vector<LoadReport> lastReports_;
  std::vector<DecisionNode> nodes_;
  std::vector<scheduling::RetentionPlanner> planners_;  ///< One a node.
  RandomSource losses_;
  EventQueue events_;
  Foresight foresight_;
  Measures measures_;
  std::unordered_set<scheduling::PrefixHash> computedBefore_;
  std::uint64_t reportRounds_ = 0;
  std::uint64_t programsLeft_ = 0;
  Instant now_{};
};

}  // namespace gorsetrail::emulator
