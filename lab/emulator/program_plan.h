/// \file Programs as they truly are: drawn once from a seed, the same for every policy. Policies
/// learn of a turn only when it comes; the lab's clairvoyant bounds may look ahead.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "lab/emulator/workload.h"

namespace gorsetrail::emulator {

/// One call and the pause after it.
struct TurnPlan {
  std::uint32_t messageTokens = 0;  ///< Added to the prompt before this call.
  std::uint32_t answerTokens = 0;
  Duration toolPause{};
  std::vector<std::uint32_t> subAgents;  ///< Programs that must end before the next turn.
};

/// One program or sub-agent.
struct ProgramPlan {
  std::uint32_t index = 0;
  std::uint32_t classIndex = 0;
  std::uint32_t tenant = 0;
  std::uint32_t node = 0;
  Instant arrival{};                    ///< Root programs only.
  std::optional<std::uint32_t> parent;  ///< Of a sub-agent.
  std::optional<std::uint32_t> document;
  std::uint32_t documentTokens = 0;
  bool abandoned = false;  ///< Stops after its last planned turn and is never closed.
  Duration patience{};     ///< 0: waits for ever.
  std::vector<TurnPlan> turns;

  /// \return tokens that must be computed at least from `firstTurn` on: messages and answers.
  [[nodiscard]] std::uint64_t newTokensFrom(std::size_t firstTurn) const;
};

/// Engine time that a program needs at least, when nothing is computed twice and batches are full.
Duration leastEngineTime(const ProgramPlan& plan, const Workload& workload);

/// Draws the programs of a whole run.
/// \param load arrivals as a share of the workload's capacity.
std::vector<ProgramPlan> drawPrograms(const Workload& workload, double load, std::uint64_t seed);

/// \return a well mixed seed for an independent stream of random numbers.
std::uint64_t streamSeed(std::uint64_t seed, std::uint64_t stream);

}  // namespace gorsetrail::emulator
