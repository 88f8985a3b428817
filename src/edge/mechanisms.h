/// \file Features that can be disabled individually, for comparison runs.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::edge {

/// Optional features. The snake_case names are used on the command line.
enum class Mechanism : std::uint8_t {
  BudgetLeases,       ///< Budget is granted in leases, before turns are recorded in the log.
  PromptAffinity,     ///< Prefers replicas that have the prompt cached.
  LoadDigests,        ///< Counts requests from other nodes in the load of a replica.
  Admission,          ///< Refuses new work before the replicas are overloaded.
  RunawayLimit,       ///< Refuses programs that have used most of their budget first.
  FailureCounts,      ///< Ranks replicas with failed requests lower.
  ReplicaSuspicion,   ///< Avoids a replica that did not answer, for a limited time.
  SilenceChecks,      ///< Tests connectivity to a replica that sends nothing.
  RegistrationDoubt,  ///< Keeps expired registrations for a limited time while the store is down.
  DirectoryChoice,    ///< The directory omits nodes that fail their liveness probes.
  SecondPartitions,   ///< Stores a turn in a second partition when the first is unavailable.
  HedgedStoreCalls,   ///< Sends a hedged request when a store call takes longer than usual.
  PeerProbes,         ///< Excludes nodes that fail probes before their records expire.
  TopicGateways,      ///< One node per zone reads the followed topics for the other nodes.
  QuotaTokens,        ///< Coordinators issue quota tokens; otherwise limits are split equally.
  ColdFeeders,        ///< Only a few nodes send requests to a replica that is warming up.
  TurnRetention,      ///< Persisted turns run during a store outage and delay their stream ends.
  OverdueLimit,       ///< Programs past their deadline use only free slots of replicas.
  PromptLocality,     ///< Turns go to further replicas only while there is spare capacity.
  ProgramAdmission,   ///< Programs start only while replicas answer close to their unloaded speed.
  TenantShares,       ///< Tenants share the replicas of a service while capacity is scarce.
  ServiceTimes,       ///< Requests that cannot be answered before their deadline are refused.
  ReplicaSpeeds,      ///< Replicas are chosen by expected completion time, from measured speeds.
  ReturnSchedule,     ///< Retry delays of refused callers follow the backlog.
  RetryBudget,        ///< Limits dispatches after refusals by replicas relative to successes.
};

using MechanismSet = std::set<Mechanism>;

/// \return the stable snake_case name.
std::string_view mechanismName(Mechanism mechanism);

/// Parses a comma-separated list of names; an empty text gives an empty set. Errors: `InvalidField`
/// with the list of valid names.
Result<MechanismSet> parseMechanisms(std::string_view names);

}  // namespace gorsetrail::edge
