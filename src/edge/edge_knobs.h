/// \file Derives the settings of the daemon's components from the node's settings and the enabled
/// mechanisms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "edge/edge_context.h"
#include "edge/edge_settings.h"
#include "http/request_memory.h"
#include "ledger/program_ledger.h"
#include "logstore/adaptive_retry_policy.h"
#include "routing/admission_policy.h"
#include "routing/cold_replica_rule.h"
#include "routing/program_admission.h"
#include "routing/replica_selector.h"
#include "routing/service_times.h"

namespace gorsetrail::edge {

/// \return the address at which this node accepts store and ledger calls of other nodes.
std::string relayAddressOf(const EdgeSettings& settings);

/// \return this node's relative weight when nodes share work: its share of a core, scaled down for
/// narrow links, because coordinators and topic readers transfer data for other nodes.
double capacityOf(const EdgeSettings& settings);

/// \param incarnation unique for each process.
ledger::LedgerKnobs ledgerKnobsOf(const EdgeSettings& settings, std::uint64_t incarnation);

/// Of each client connection in the kernel, which allows twice as much.
inline constexpr std::uint32_t kReceiveBufferBytes = 16 * 1024;

/// \return for one listener, the maximum bytes of responses that clients have not read yet.
std::uint64_t maximumUnreadBytesOf(const EdgeSettings& settings);
/// \return the maximum number of connections to the listeners for clients, operators and the
/// platform, together.
std::size_t clientConnectionsOf(const EdgeSettings& settings);
/// \return the maximum number of connections from other nodes.
std::size_t peerConnectionsOf(const EdgeSettings& settings);

/// \return the bounds of the memory that requests take, over all listeners.
http::RequestMemoryLimits requestMemoryLimitsOf(const EdgeSettings& settings);
/// \return the memory for unfinished answers of replicas.
std::size_t maximumAnswerBytesOf(const EdgeSettings& settings);

logstore::AdaptiveRetrySettings storePaceOf(const EdgeSettings& settings);

routing::ReplicaSelectorKnobs selectorKnobsOf(const EdgeSettings& settings);

routing::AdmissionKnobs admissionKnobsOf(const EdgeSettings& settings);

/// \return the policy for programs that start; empty without overload control or its mechanism.
std::optional<routing::ProgramAdmission> programAdmissionOf(const EdgeSettings& settings);

routing::ColdReplicaKnobs coldReplicaKnobsOf(const EdgeSettings& settings);

/// \return whether tenants share the replicas of a service while its capacity is scarce.
bool usesTenantShares(const EdgeSettings& settings);

ExchangeKnobs exchangeKnobsOf(const EdgeSettings& settings);

routing::ServiceTimesKnobs serviceTimesKnobsOf(const EdgeSettings& settings);

TurnRetentionKnobs turnRetentionKnobsOf(const EdgeSettings& settings);

RetryControlKnobs retryControlKnobsOf(const EdgeSettings& settings);

}  // namespace gorsetrail::edge
