/// \file Which nodes are near: those of the own zone, then those of its region. No I/O, no clock.
#pragma once

#include <string_view>
#include <vector>

#include "ledger/home_selector.h"
#include "routing/locality.h"

namespace gorsetrail::edge {

/// A call to another region takes 16 ms there and back where one to another zone takes 1 ms, and
/// bytes between regions cost several times those between zones.
/// \return the candidates of the zone; where it has none those of its region; else all.
std::vector<ledger::HomeCandidate> nearestNodes(
    const std::vector<ledger::HomeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones);

/// Reading a topic for a zone of 160 nodes takes 5% of a core and 1 MB/s, and as much again to pass
/// it on: a node with 0.12 of a core and a link of 30 Mbit/s cannot bear that.
/// \return the candidates with at least half of the largest capacity among them.
std::vector<ledger::HomeCandidate> capableNodes(
    const std::vector<ledger::HomeCandidate>& candidates);

}  // namespace gorsetrail::edge
