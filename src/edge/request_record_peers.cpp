#include "edge/request_record_peers.h"

#include <algorithm>

namespace gorsetrail::edge {
namespace {

std::string ipOf(std::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

}  // namespace

void RequestRecordPeers::setOwnAddress(const std::string& ip, std::uint16_t port) {
  ownIp_ = ip;
  portSuffix_ = ":" + std::to_string(port);
}

std::vector<std::string> RequestRecordPeers::holdersOf(const routing::RequestKey& key,
                                                       HolderCounts counts) const {
  if (portSuffix_.empty()) {
    return {};
  }
  const std::vector<ledger::NodeCandidate>& candidates = sources_.candidates();
  const auto own = std::find_if(candidates.begin(), candidates.end(),
                                [this](const auto& node) { return ipOf(node.address) == ownIp_; });
  std::vector<std::string> holders =
      selectHolders(key, candidates, own == candidates.end() ? std::string_view() : own->address,
                    sources_.zones->regionOf(ownZone_), *sources_.zones, counts);
  for (std::string& holder : holders) {
    holder = ipOf(holder) + portSuffix_;
  }
  return holders;
}

std::vector<std::string> RequestRecordPeers::others() const {
  std::vector<std::string> addresses;
  if (portSuffix_.empty()) {
    return addresses;
  }
  for (const std::string& member : sources_.members()) {
    std::string ip = ipOf(member);
    if (ip != ownIp_) {
      addresses.push_back(std::move(ip) + portSuffix_);
    }
  }
  return addresses;
}

std::string RequestRecordPeers::randomOther() {
  std::vector<std::string> addresses = others();
  return addresses.empty() ? std::string() : std::move(addresses[random_.below(addresses.size())]);
}

}  // namespace gorsetrail::edge
