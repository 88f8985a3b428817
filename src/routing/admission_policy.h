/// \file Which work still goes to a replica that is nearly full. Policy only: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

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
  /// Below this a replica is spare. Work whose cheapest replica is full goes to a spare one while
  /// there is spare room; with more load than that, reading prompts anew takes from all others.
  double spare = 0.5;
  /// Of the tries of turns that go on whose cheapest replica is full: these go to any replica that
  /// admits first turns, spare or not. Nodes do not know of each other's refusals and clients
  /// choose nodes at random, so each try is drawn by itself: of programs that try 24 times, one in
  /// a thousand is refused each time.
  double shareElsewhere = 0.25;
  /// Added for routes of priority 0, the most urgent.
  double mostUrgent = 0.25;
};

/// Work that admission may turn away.
struct AdmissionRequest {
  WorkStage stage = WorkStage::FirstTurn;
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::string_view attempt{};  ///< Its name; each try has its own.
};

/// Keeps replicas at the load where they still answer in time. What would only wait there, and be
/// given up after its work was half done, is told at once to come back: first those programs of
/// which nothing has run.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionKnobs knobs) : knobs_(knobs) {}

  /// \param replicas that the request may go to.
  /// \return whether reading prompts anew takes room that nobody needs: on average the replicas are
  /// spare, or half of them are.
  [[nodiscard]] bool hasSpareRoom(const std::vector<const Replica*>& replicas) const;
  /// \return whether this try goes to any replica that admits first turns.
  [[nodiscard]] bool goesAnywhere(const AdmissionRequest& request) const;
  [[nodiscard]] bool isSpare(const Replica& replica) const {
    return replica.loadPerSlot() < knobs_.spare;
  }
  [[nodiscard]] bool admitsFirstTurns(const Replica& replica) const {
    return replica.loadPerSlot() < knobs_.firstTurn;
  }

  /// \return whether the replica that is cheapest for the work takes it.
  [[nodiscard]] bool admits(const Replica& replica, const AdmissionRequest& request) const;

 private:
  AdmissionKnobs knobs_;
};

}  // namespace gorsetrail::routing
