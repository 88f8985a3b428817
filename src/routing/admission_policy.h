/// \file Admission control for replicas that are near their capacity. Policy only: no I/O, no
/// clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Program stage of a request, ordered by the work that is lost when the request is refused.
enum class WorkStage : std::uint8_t {
  Runaway,     ///< The program has used most of its budget and is probably in a loop.
  Overdue,     ///< The program cannot end before its deadline. Only with overload control.
  FirstTurn,   ///< Nothing of the program has run yet.
  Continuing,  ///< Refusal would waste the program's earlier turns.
};

/// \return the stage's snake_case name for log lines.
std::string_view workStageName(WorkStage stage);

/// Load limits of `AdmissionPolicy`, in requests per slot unless stated otherwise. Requests at a
/// slow replica count by their duration: see `Replica::timeLoadPerSlot`.
struct AdmissionKnobs {
  double runaway = 0.6;
  /// Overdue programs use what others leave: below this load a turn that is in time still finds a
  /// free slot when it arrives.
  double overdue = 0.6;
  double firstTurn = 1.2;
  double continuing = 2.0;
  /// A replica with a lower load is lightly loaded. A request that its cheapest replica refuses
  /// goes to a lightly loaded replica if the fleet has spare capacity; without spare capacity the
  /// extra prompt processing would slow down all other requests.
  double spare = 0.5;
  /// Fraction (0 to 1) of attempts of continuing programs that may overflow to any replica that
  /// admits first turns. Each attempt is sampled independently, so that a client that retries at
  /// other nodes is eventually placed without coordination between nodes. Of programs that try 24
  /// times, one in a thousand is refused each time.
  double overflowFraction = 0.25;
  /// Added to the limits for routes of priority 0, the most urgent.
  double mostUrgent = 0.25;
  /// Fraction of the learned limit for starting programs that bounds `overdue`: a service that
  /// slows down leaves less to overdue programs. At the initial limit (1.2) it is equal to
  /// `overdue`.
  double overdueFraction = 0.5;
};

/// A request as admission control sees it.
struct AdmissionRequest {
  WorkStage stage = WorkStage::FirstTurn;
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
  std::string_view attempt{};  ///< Unique id of this attempt; selects overflow attempts.
  /// Limit for starting programs at the service, see `ProgramAdmission`; unset: none is learned.
  std::optional<double> programLimit{};
  /// The program has started, but its tenant is above its share of a scarce service: the request
  /// gets the limit of starting programs, and overflows only while there is spare capacity.
  bool isTenantAboveShare = false;
};

/// Limits the load of replicas so that admitted requests finish before their timeout. Refuses
/// other requests at once, so that they do not queue and time out. Programs that have not started
/// are refused before those that have.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionKnobs knobs) : knobs_(knobs) {}

  /// \param replicas the candidates of the request.
  /// \return whether the candidates can process a prompt again without slowing down other requests:
  /// their mean load is below `spare`, or at least half of them are lightly loaded.
  [[nodiscard]] bool hasSpareCapacity(const std::vector<const Replica*>& replicas) const;
  /// \return whether this attempt may go to any replica that admits first turns.
  [[nodiscard]] bool mayOverflow(const AdmissionRequest& request) const;
  [[nodiscard]] bool isLightlyLoaded(const Replica& replica) const {
    return replica.timeLoadPerSlot() < knobs_.spare;
  }
  [[nodiscard]] bool admitsFirstTurns(const Replica& replica) const {
    return replica.timeLoadPerSlot() < knobs_.firstTurn;
  }

  /// \return whether the replica admits the request.
  [[nodiscard]] bool admits(const Replica& replica, const AdmissionRequest& request) const;

 private:
  AdmissionKnobs knobs_;
};

}  // namespace gorsetrail::routing
