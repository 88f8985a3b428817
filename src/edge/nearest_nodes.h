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

}  // namespace gorsetrail::edge
