/// \file Bounds the programs in progress at a service by a learned load limit for programs that
/// start. Policy only: no I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "routing/fleet_load.h"
#include "routing/service_load.h"

namespace gorsetrail::routing {

/// Settings of `ProgramAdmission`. Limits are in requests per slot, averaged over a service.
struct ProgramAdmissionKnobs {
  /// Limit before anything is known; equal to `AdmissionKnobs::firstTurn`.
  double initialLimit = 1.2;
  /// With half of the slots free no turn waits for a slot, so that slow turns have another cause
  /// than the number of programs. The programs that still start keep the measurement current.
  double minimumLimit = 0.5;
  /// Largest load at which a single replica admits first turns: `AdmissionKnobs::firstTurn` plus
  /// `mostUrgent`. A higher limit would decide nothing.
  double maximumLimit = 1.45;
  /// Fraction of the limit up to which programs start that are not of priority 0. Has the ratio of
  /// `AdmissionKnobs::firstTurn` to the limit for the most urgent (1.2 to 1.45).
  double lessUrgentFraction = 0.83;
  /// Deadlines of programs are 1.4 to 1.5 times the time on idle replicas.
  double maximumInflation = 1.5;
  /// A request is sent to at most four replicas. Above one refusal in twenty dispatches the
  /// replicas are full in general, and not one of them by chance.
  double maximumRejectedFraction = 0.05;
  /// The limit is in use from this fraction of it on. Below `lessUrgentFraction`, at which the load
  /// settles when few programs are of priority 0.
  double usedFraction = 0.7;
  /// While the limit is in use and for this time after, starts are paced: in each step a node
  /// starts at most its share of the room below the limit. Loads are known 100 to 200 ms late, and
  /// without the pace all nodes fill the same room at once. About the time that a program takes, so
  /// that the end of one wave of programs does not let the next one in.
  Duration paceTime = seconds(1);
  /// Most starts that a node may save up, of all nodes together and relative to the slots: a tenth
  /// of the slots becomes free in 100 ms if turns take a second. At least one at each node.
  double savedStarts = 0.1;
  /// Above this multiple of the limit the load consists of programs admitted earlier, and every
  /// program that starts is refused already: a lower limit would only delay the recovery.
  double governedMultiple = 1.25;
  /// Factor of one decrease. With `decreaseInterval` the limit falls by a fifth in a second. Noise
  /// of 600 ms, which reports show for up to 1.3 s, takes at most 27% of it.
  double decreaseFactor = 0.9;
  /// Added for each call of `update` (each 100 ms) while the limit is in use: 0.15 in a second,
  /// less than what a decrease takes, so that a limit halved by an episode is back after 4 s.
  double increase = 0.015;
  /// Shortest time between two decreases. Reports are means of about the last second and arrive
  /// 100 to 200 ms late: with a shorter time the same episode would lower the limit several times
  /// before a decrease can show in them.
  Duration decreaseInterval = milliseconds(500);
  /// A limit is reported when it differs from the last reported one by this fraction: a tenth, less
  /// the rounding error of one decrease, which is a tenth too.
  double reportedChange = 0.0999;
  Duration reportInterval = seconds(1);  ///< Shortest time between two reports of a service.
};

/// What is known about one service in one step.
struct ProgramSignal {
  std::string service;
  ServiceLoad load;
  ServiceReport report;  ///< Sum of all nodes; see `mergedReport`.
};

/// Other nodes, for the question whether the load that they cause is known.
struct OtherNodes {
  std::size_t known = 0;      ///< Nodes in service besides this one.
  std::size_t reporting = 0;  ///< Nodes whose digests are current.
};

/// A program that asks to start.
struct ProgramStart {
  std::string_view service;
  std::uint32_t priority = 5;  ///< 0 is the most urgent.
};

struct ProgramAdmitted {};

/// What decided against a program.
enum class ProgramRefusalCause : std::uint8_t {
  Load,         ///< The service's load reaches the limit.
  Pace,         ///< This node has used its share of the room below the limit.
  OwnRequests,  ///< No digest arrives, and this node's own requests reach its share of the limit.
};

/// \return the cause's snake_case name for log lines.
[[nodiscard]] std::string_view programRefusalCauseName(ProgramRefusalCause cause);

/// The program must not start now. Both figures are in requests per slot.
struct ProgramNotAdmitted {
  ProgramRefusalCause cause = ProgramRefusalCause::Load;
  double limit = 0;  ///< For the program's priority.
  double load = 0;   ///< Of the service. With `OwnRequests`: if all nodes were like this one.
};

using ProgramDecision = std::variant<ProgramAdmitted, ProgramNotAdmitted>;

/// A limit that has changed considerably, with the figures of the step.
struct ProgramLimitReport {
  std::string service;
  double limit = 0;
  double load = 0;
  double inflation = 1.0;
  double rejectedFraction = 0;
};

/// \return the sum of two reports; the inflation is weighted by completed requests.
[[nodiscard]] ServiceReport mergedReport(const ServiceReport& first, const ServiceReport& second);

/// \return the fraction (0 to 1) of dispatches that replicas rejected; 0 without dispatches.
[[nodiscard]] double rejectedFractionOf(const ServiceReport& report);

/// Learns for each service up to which mean load programs may start, so that programs that have
/// started end in time. Programs that have started are never refused here. All nodes have nearly
/// the same input, so their limits are nearly equal without messages of their own. The state is
/// lost with the process; a new one begins with `initialLimit`.
class ProgramAdmission {
 public:
  explicit ProgramAdmission(ProgramAdmissionKnobs knobs) : knobs_(knobs) {}

  /// Adapts the limits; to be called each 100 ms with all services that have engines. The state of
  /// other services is dropped.
  /// \return the limits that changed considerably since they were last reported.
  std::vector<ProgramLimitReport> update(const std::vector<ProgramSignal>& signals,
                                         OtherNodes others, Instant now);

  /// Decides on a program that starts, and counts refusals.
  /// \param load present load of the program's service.
  [[nodiscard]] ProgramDecision decide(const ProgramStart& start, const ServiceLoad& load);

  /// \return the limit for programs of priority 0 that start at the service.
  [[nodiscard]] double limitOf(std::string_view service) const;
  /// \return the limits of all services that `update` has seen.
  [[nodiscard]] std::map<std::string, double, std::less<>> limits() const;
  /// \return the number of programs that were not admitted.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }
  /// \return the number of other nodes whose digests were current in the last step.
  [[nodiscard]] std::size_t reportingNodes() const { return others_.reporting; }

 private:
  struct State {
    double limit = 0;
    double reportedLimit = 0;
    /// Paced starts that this node may still admit: of priority 0, and others.
    std::array<double, 2> starts{};
    bool isPaced = false;
    std::optional<Instant> lastUsedAt{};  ///< When the limit was last in use.
    std::optional<Instant> lastDecreaseAt{};
    std::optional<Instant> lastReportAt{};
  };
  /// \return whether digests of other nodes arrive, or there are no other nodes.
  [[nodiscard]] bool isLoadKnown() const { return others_.known == 0 || others_.reporting > 0; }
  void adapt(State& state, const ProgramSignal& signal, Instant now) const;
  /// \return whether turns take longer than deadlines allow or replicas reject requests.
  [[nodiscard]] bool isOverloaded(const ServiceReport& report) const;
  /// Adds this node's share of the room below the limit to the starts that it may admit.
  void addStarts(State& state, const ServiceLoad& load, Instant now) const;
  [[nodiscard]] double limitFor(double limit, bool isMostUrgent) const {
    return isMostUrgent ? limit : limit * knobs_.lessUrgentFraction;
  }
  [[nodiscard]] double nodeCount() const { return static_cast<double>(others_.known) + 1; }
  /// \return whether a program may start, and counts it in the node's share.
  [[nodiscard]] bool takeStart(State& state, bool isMostUrgent) const;
  [[nodiscard]] ProgramDecision decideByOwnRequests(double limit, const ServiceLoad& load) const;
  [[nodiscard]] bool mustReport(State& state, Instant now) const;

  ProgramAdmissionKnobs knobs_;
  std::map<std::string, State, std::less<>> states_;
  OtherNodes others_;
  std::uint64_t refusals_ = 0;
};

}  // namespace gorsetrail::routing
