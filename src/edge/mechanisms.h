/// \file Mechanisms that can be switched off, to measure what each is worth.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "base/result.h"

namespace gorsetrail::edge {

enum class Mechanism : std::uint8_t {
  BudgetLeases,       ///< Turns granted ahead of their records.
  PromptAffinity,     ///< A prompt that must be read again counts against a replica.
  LoadDigests,        ///< Other nodes' requests count as a replica's load.
  Admission,          ///< Work is turned away before replicas are too full.
  RunawayLimit,       ///< Programs that have used most of their budget are turned away first.
  FailureCounts,      ///< Failed requests count against a replica.
  ReplicaSuspicion,   ///< A replica without an answer is passed over for a while.
  SilenceChecks,      ///< A silent replica is asked for a connection.
  RegistrationDoubt,  ///< Registrations that lapse with the store are used on for a while.
  DirectoryChoice,    ///< Clients are not sent to nodes that fail their liveness probes.
  SecondPartitions,   ///< A turn is stored in a second partition when the first is out of order.
  HedgedStoreCalls,   ///< A second try runs beside a store call that takes longer than usual.
  PeerProbes,         ///< Nodes that do not answer probes are left out before their records end.
  TopicGateways,      ///< One node of a zone reads followed topics for the others.
  QuotaTokens,        ///< Limits are kept by coordinators' tokens, not by equal static shares.
  ColdFeeders,        ///< A few nodes send to a cold replica, instead of all by static shares.
  TurnRetention,      ///< Persisted turns run while the store is away; their ends wait for it.
};

using MechanismSet = std::set<Mechanism>;

/// \return the stable snake_case name.
std::string_view mechanismName(Mechanism mechanism);

/// Reads names separated by commas; an empty text names none. Errors: `InvalidField` with all names
/// that there are.
Result<MechanismSet> parseMechanisms(std::string_view names);

}  // namespace gorsetrail::edge
