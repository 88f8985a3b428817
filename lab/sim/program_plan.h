/// \file What a simulated program will do: the caller knows it step by step, the nodes never.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "lab/sim/sim_context.h"
#include "lab/sim/site.h"

namespace gorsetrail::sim {

enum class StepKind : std::uint8_t { EngineCall, ApplicationRequest, Tool, SubAgent };

struct Step {
  StepKind kind = StepKind::EngineCall;
  bool stream = false;
  Duration toolTime{};
  std::string child;  ///< Branch that a sub-agent's step starts.
};

/// The steps of a program; those of a sub-agent are a branch of their own.
struct ProgramPlan {
  ProgramKey key;
  NodeId firstNode;  ///< Beside its first caller.
  bool looping = false;
  std::map<std::string, std::vector<Step>> branches;  ///< By branch path; the root's is empty.
};

/// \return a program drawn at random.
ProgramPlan drawProgram(SimContext& context, std::uint32_t number, const std::string& homeZone,
                        NodeId firstNode);

}  // namespace gorsetrail::sim
