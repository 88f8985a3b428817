/// \file Knobs of the daemon's parts, from the settings and the mechanisms that are in use.
#pragma once

#include <cstdint>
#include <string>

#include "edge/edge_context.h"
#include "edge/edge_settings.h"
#include "ledger/program_ledger.h"
#include "logstore/call_pacer.h"
#include "routing/admission_policy.h"
#include "routing/cold_replica_rule.h"
#include "routing/replica_selector.h"

namespace gorsetrail::edge {

/// \return where store and ledger calls of other nodes arrive.
std::string relayAddressOf(const EdgeSettings& settings);

/// \return how much of the work that nodes share this one takes, against others: its share of a
/// core, less where its link is narrow, since homes and readers carry the text of others.
double capacityOf(const EdgeSettings& settings);

/// \param life differs between processes.
ledger::LedgerKnobs ledgerKnobsOf(const EdgeSettings& settings, std::uint64_t life);

/// \return bytes of responses that callers may leave untaken, of one listener.
std::uint64_t untakenBytesOf(const EdgeSettings& settings);

logstore::CallPacerKnobs storePaceOf(const EdgeSettings& settings);

routing::ReplicaSelectorKnobs selectorKnobsOf(const EdgeSettings& settings);

routing::AdmissionKnobs admissionKnobsOf(const EdgeSettings& settings);

routing::ColdReplicaKnobs coldReplicaKnobsOf(const EdgeSettings& settings);

ExchangeKnobs exchangeKnobsOf(const EdgeSettings& settings);

TurnRetentionKnobs turnRetentionKnobsOf(const EdgeSettings& settings);

}  // namespace gorsetrail::edge
