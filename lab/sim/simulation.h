/// \file One run of a scenario: site, workload, faults, and the audit at the end.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/sim/caller_front.h"
#include "lab/sim/data_path.h"
#include "lab/sim/hold_path.h"
#include "lab/sim/platform.h"
#include "lab/sim/program_caller.h"

namespace gorsetrail::sim {

/// What a run came to; no wall time in it.
struct RunResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<Violation> violations;
  std::uint64_t violationCount = 0;
  std::map<std::string, std::uint64_t> violationsByPromise;
  std::map<std::string, std::uint64_t> checksByPromise;
  std::map<std::string, double> figures;
  std::string digest;
};

class Simulation {
 public:
  Simulation(Scenario scenario, std::uint64_t seed, CoreFactory factory);

  RunResult run();
  /// Writes the requests of one program to standard error as they happen.
  void traceProgram(const std::string& name) { context_.tracedProgram = name; }

 private:
  void onCommand(SimNode& node, node::NodeCommand& command);
  void housekeeping(NodeId id);
  void inspectEverything();
  void inspectNode(SimNode& node);
  [[nodiscard]] bool peerHasAccepted(const SimNode& node);

  void startPrograms();
  void startCaller(const ProgramStatePtr& program, NodeId node);
  [[nodiscard]] NodeId anyNodeOf(const std::string& zone);

  // fault_schedule.cpp
  void scheduleFaults();
  void applyFault(const Fault& fault);
  void endFault(const Fault& fault);
  void killNode(NodeId node, const Fault& fault);
  void stopNode(NodeId node, const Fault& fault);
  void awaitDrained(NodeId node, Incarnation life, Instant begun, const Fault& fault);
  void restartLater(NodeId node, const Fault& fault);
  void loseZone(const Fault& fault);
  void killCallers(const Fault& fault);
  void pauseCallers(const Fault& fault);
  void replaceCaller(const ProgramStatePtr& program, NodeId lastNode, Duration after);
  void hangEngines(const Fault& fault, bool hanging);
  void turnBackend(const Fault& fault);

  // audit.cpp
  void healEverything();
  void audit();
  void auditRequest(const ProgramStatePtr& program, const RequestTag& tag, NodeId target,
                    Instant giveUpAt);
  void readHistories();
  void collectFigures();
  [[nodiscard]] RunResult makeResult() const;

  SimContext context_;
  NodeHost host_;
  CallerFront front_;
  DataPath dataPath_;
  HoldPath holdPath_;
  SimLog log_;
  SimMachineList machines_;
  SimOperator operator_;
  ToolService tools_;
  std::vector<ProgramStatePtr> programs_;
  std::vector<std::shared_ptr<ProgramCaller>> callers_;
  std::map<NodeId, BundleVersion> seenBundles_;
  std::map<BundleVersion, Instant> bundleSeenFirstAt_;
};

/// Reads nothing but its arguments: the same ones give the same result.
/// \param mutant empty, or the name of one of `mutants()`.
/// \param tracedProgram whose requests are written to standard error; empty for none.
RunResult runScenario(const Scenario& scenario, std::uint64_t seed, const std::string& mutant,
                      const std::string& tracedProgram = {});

}  // namespace gorsetrail::sim
