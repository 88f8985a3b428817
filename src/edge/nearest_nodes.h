/// \file Selects candidates by distance and capacity. Pure functions.
#pragma once

#include <string_view>
#include <vector>

#include "ledger/home_selector.h"
#include "routing/locality.h"

namespace gorsetrail::edge {

/// Prefers near nodes, because calls and traffic between regions are slow and expensive.
/// \return the candidates of the zone; if there are none, those of its region; else all.
std::vector<ledger::HomeCandidate> nearestNodes(
    const std::vector<ledger::HomeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones);

/// Excludes nodes that are too weak to read topics for a large zone.
/// \return the candidates with at least half of the largest capacity among them.
std::vector<ledger::HomeCandidate> capableNodes(
    const std::vector<ledger::HomeCandidate>& candidates);

}  // namespace gorsetrail::edge
