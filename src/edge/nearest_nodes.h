/// \file Selects candidates by distance and capacity. Pure functions.
#pragma once

#include <string_view>
#include <vector>

#include "ledger/rendezvous_selector.h"
#include "routing/locality.h"

namespace gorsetrail::edge {

/// Prefers near nodes, because calls and traffic between regions are slow and expensive: a round
/// trip takes 16 ms to another region and 1 ms to another zone, and traffic between regions costs
/// several times as much as between zones.
/// \return the candidates of the zone; if there are none, those of its region; else all.
std::vector<ledger::NodeCandidate> nearestNodes(
    const std::vector<ledger::NodeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones);

/// Excludes nodes that are too weak to read topics for a large zone. Reading a topic for a zone of
/// 160 nodes takes 5% of a core and 1 MB/s, and passing it on takes as much again, more than a node
/// with 0.12 of a core and a link of 30 Mbit/s can afford.
/// \return the candidates with at least half of the largest capacity among them.
std::vector<ledger::NodeCandidate> capableNodes(
    const std::vector<ledger::NodeCandidate>& candidates);

}  // namespace gorsetrail::edge
