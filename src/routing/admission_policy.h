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
  /// Below this a replica is spare. Turns that go on whose cheapest replica is full go to a spare
  /// one while half of the replicas are spare; with more load than that, reading prompts anew costs
  /// all others more than it gains.
  double spare = 0.5;
  /// A program that was refused a moment ago goes to any replica below this, as first turns do: it
  /// is not refused for long while first turns are placed.
  double refusedBefore = 1.2;
  /// Added for routes of priority 0, the most urgent.
  double mostUrgent = 0.25;
};

/// Work that admission may turn away.
struct AdmissionRequest {
  WorkStage stage = WorkStage::FirstTurn;
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  /// The program's last request was refused for want of places a moment ago.
  bool wasRefused = false;
};

/// Keeps replicas at the load where they still answer in time. What would only wait there, and be
/// given up after its work was half done, is told at once to come back: first those programs of
/// which nothing has run.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionKnobs knobs) : knobs_(knobs) {}

  /// \return whether the replica has so little to do that reading a prompt anew there takes room
  /// that nobody needs.
  [[nodiscard]] bool isSpare(const Replica& replica) const;
  /// \return whether the replica takes work whose cheapest replica is full and does not admit it.
  /// \param hasSpareRoom half of the replicas or more are spare.
  [[nodiscard]] bool takesElsewhere(const Replica& replica, const AdmissionRequest& request,
                                    bool hasSpareRoom) const;

  /// \return whether the replica that is cheapest for the work takes it.
  [[nodiscard]] bool admits(const Replica& replica, const AdmissionRequest& request) const;

 private:
  AdmissionKnobs knobs_;
};

}  // namespace gorsetrail::routing
