/// \file Which work still goes to a replica that is nearly full. Policy only: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string_view>

#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// What is lost when a request is turned away, in rising order.
enum class WorkStage : std::uint8_t {
  Runaway,     ///< The program has used most of its budget: it probably loops.
  FirstTurn,   ///< Nothing of the program has run yet.
  Continuing,  ///< Turns before it would be lost with it.
};

/// \return the stage's name, for log lines.
std::string_view workStageName(WorkStage stage);

/// Load per slot up to which work is admitted.
struct AdmissionKnobs {
  double runaway = 0.6;
  double firstTurn = 1.2;
  double continuing = 2.0;
  /// Added for routes of priority 0, the most urgent.
  double mostUrgent = 0.25;
};

/// Keeps replicas at the load where they still answer in time. What would only wait there, and be
/// given up after its work was half done, is told at once to come back: first those programs of
/// which nothing has run.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionKnobs knobs) : knobs_(knobs) {}

  /// \param replica the best one there is for the request.
  [[nodiscard]] bool admits(const Replica& replica, WorkStage stage, std::uint32_t priority) const;

 private:
  AdmissionKnobs knobs_;
};

}  // namespace gorsetrail::routing
