/// \file Random callers and faults for one seed, within what three replicas tolerate: one memory
/// lost at a time, and the next only when the others hold the program.
#pragma once

#include <string>
#include <vector>

#include "program/journal_cluster.h"

namespace gorsetrail::program {

/// Drives a cluster of five nodes, of which 1 to 3 are the replicas.
class FaultPlan {
 public:
  FaultPlan(std::uint64_t seed, ProgramKnobs knobs);

  /// Runs callers and faults, then heals all and asks for every request until it is answered.
  /// \return the promises that were broken; empty when all held.
  std::vector<std::string> run();

 private:
  void step();
  void askSomething();
  void strike();
  void restartIfTolerated(std::uint32_t node);
  std::uint32_t anyNode();
  [[nodiscard]] std::vector<std::string> violations() const;
  [[nodiscard]] std::vector<std::string> answerViolations() const;

  JournalCluster cluster_;
  std::uint32_t killed_ = 0;
};

}  // namespace gorsetrail::program
