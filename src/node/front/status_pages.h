/// \file JSON of the node's read-only pages.
#pragma once

#include <string>

#include "node/core/node_core.h"

namespace gorsetrail::node {

/// Facts of a node that its core does not tell.
struct NodeFacts {
  NodeId self;
  Incarnation incarnation;
  std::string zone;
  std::string site;
  bool stopping = false;
  std::size_t callsUnderWay = 0;
};

/// \return `{"status","node","zone","bundle_version","calls_under_way"}`.
std::string healthJson(const NodeFacts& facts, const NodeCore& core);
/// \return node, site, zone, incarnation, bundle version, and the members with their states.
std::string statusJson(const NodeFacts& facts, const NodeCore& core);
/// \return the program's summary with its history.
std::string programJson(const program::ProgramSummary& summary);

}  // namespace gorsetrail::node
