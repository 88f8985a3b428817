/// \file Selects the nodes with which a node shares what it knows of single requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "edge/record_holders.h"
#include "ledger/rendezvous_selector.h"
#include "routing/locality.h"
#include "routing/request_key.h"

namespace gorsetrail::edge {

/// What the selection needs to know of the fleet.
struct RequestRecordSources {
  /// Live nodes that stay, with their relay addresses. They hold copies.
  std::function<const std::vector<ledger::NodeCandidate>&()> candidates;
  /// Relay addresses of all listed nodes. Those that leave still take requests, and those that do
  /// not answer may have been suspended.
  std::function<std::vector<std::string>()> members;
  const routing::ZoneTable* zones = nullptr;
};

/// All addresses are those of request records: the IP of a node and the port that is the same on
/// all nodes.
class RequestRecordPeers {
 public:
  /// \param ownZone zone of this node.
  RequestRecordPeers(RequestRecordSources sources, std::string ownZone, std::uint64_t seed)
      : sources_(std::move(sources)), ownZone_(std::move(ownZone)), random_(seed) {}

  /// Without it, this is the only node.
  void setOwnAddress(const std::string& ip, std::uint16_t port);
  /// \return the nodes that hold copies of a record.
  [[nodiscard]] std::vector<std::string> holdersOf(const routing::RequestKey& key,
                                                   HolderCounts counts) const;
  /// \return all other listed nodes.
  [[nodiscard]] std::vector<std::string> others() const;
  /// \return one of the other nodes; empty if there is none.
  [[nodiscard]] std::string randomOther();

 private:
  RequestRecordSources sources_;
  std::string ownZone_;
  RandomSource random_;
  std::string ownIp_;
  std::string portSuffix_;  ///< Empty: this is the only node.
};

}  // namespace gorsetrail::edge
