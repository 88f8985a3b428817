/// \file The simulated network: delay by zone pair, loss, duplication, reordering, partitions.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/random.h"
#include "lab/sim/event_queue.h"
#include "lab/sim/scenario.h"

namespace gorsetrail::sim {

/// Messages between nodes travel by `sendPeer`; other paths only ask for delay and reachability.
class SimNetwork {
 public:
  /// \param events, random outlive the network.
  SimNetwork(EventQueue& events, RandomSource& random, const DelaySpec& delays)
      : events_(events), random_(random), delays_(delays) {}

  void setConditions(const NetworkConditions& conditions) { conditions_ = conditions; }
  /// Cuts a zone off from all others, or joins it again.
  void setPartitioned(const std::string& zone, bool partitioned);
  [[nodiscard]] bool isPartitioned(const std::string& zone) const {
    return partitioned_.count(zone) != 0;
  }
  [[nodiscard]] bool reachable(const std::string& from, const std::string& to) const;
  /// \return the one-way delay between two zones, with a little jitter.
  Duration delay(const std::string& from, const std::string& to);
  /// \return when the last partition began or ended.
  [[nodiscard]] Instant lastChange() const { return lastChange_; }

  /// Delivers a message between nodes, perhaps twice, late or never. Messages of one pair arrive
  /// in their order (as on one connection) unless they are picked for reordering.
  void sendPeer(NodeId from, const std::string& fromZone, NodeId to, const std::string& toZone,
                const EventQueue::Action& deliver);

 private:
  void deliverOnce(NodeId from, const std::string& fromZone, NodeId to, const std::string& toZone,
                   const EventQueue::Action& deliver);
  bool happens(std::uint32_t perMille) { return perMille > 0 && random_.below(1000) < perMille; }

  EventQueue& events_;
  RandomSource& random_;
  DelaySpec delays_;
  NetworkConditions conditions_;
  std::set<std::string> partitioned_;
  std::map<std::pair<NodeId, NodeId>, Instant> lastArrival_;
  Instant lastChange_{};
};

}  // namespace gorsetrail::sim
