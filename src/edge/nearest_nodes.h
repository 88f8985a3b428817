/// \file Selects candidates by distance and capacity. Pure functions.
#pragma once

#include <string_view>
#include <vector>

#include "ledger/rendezvous_selector.h"
#include "routing/locality.h"

namespace gorsetrail::edge {

/// Prefers near nodes, because calls and traffic between regions are slow and expensive.
/// \return the candidates of the zone; if there are none, those of its region; else all.
std::vector<ledger::NodeCandidate> nearestNodes(
    const std::vector<ledger::NodeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones);

/// Excludes nodes that are too weak to read topics for a large zone.
/// \return the candidates with at least half of the largest capacity among them.
std::vector<ledger::NodeCandidate> capableNodes(
    const std::vector<ledger::NodeCandidate>& candidates);

}  // namespace gorsetrail::edge
