/// \file Selects the nodes that hold copies of a request's record. Pure functions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/rendezvous_selector.h"
#include "routing/locality.h"
#include "routing/request_key.h"

namespace gorsetrail::edge {

/// How many nodes are selected in a node's own region, and in each other region.
struct HolderCounts {
  std::size_t ownRegion = 0;
  std::size_t otherRegion = 0;
};

/// Ranks the nodes of each region by rendezvous hashing, with the best node of each zone first, so
/// that copies survive the loss of a zone. The selection with smaller counts is always a part of
/// the selection with larger ones.
/// \param ownAddress address of this node, which is not selected.
/// \return addresses of the selected candidates, those of the own region first.
std::vector<std::string> selectHolders(const routing::RequestKey& key,
                                       const std::vector<ledger::NodeCandidate>& candidates,
                                       std::string_view ownAddress, std::string_view ownRegion,
                                       const routing::ZoneTable& zones, HolderCounts counts);

}  // namespace gorsetrail::edge
