/// \file Several nodes with routed ledgers on one fake store in virtual time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger/routed_ledger.h"
#include "logstore/fake_log_store.h"

namespace gorsetrail::ledger::testing {

/// The region of each zone.
using Regions = std::map<std::string, std::string, std::less<>>;

class Fleet;

/// Calls between the nodes of a fleet, with a latency of 1 ms each way.
class FleetPeers final : public LedgerPeers {
 public:
  FleetPeers(Fleet& fleet, std::string own) : fleet_(fleet), own_(std::move(own)) {}
  [[nodiscard]] std::vector<NodeCandidate> candidates() const override;
  [[nodiscard]] bool isNodeListKnown() const override;
  void checkAlive(const std::string& address, Duration limit,
                  std::function<void(bool alive)> callback) override;
  void call(const std::string& address, const LedgerRequest& request, Duration timeLimit,
            std::function<void(std::optional<LedgerReply>)> callback) override;

 private:
  Fleet& fleet_;
  std::string own_;
};

struct Node {
  Node(Fleet& fleet, logstore::FakeLogStore& log, logstore::FakeTimers& timers,
       const std::string& address, const std::string& zone, const Regions& regions)
      : zone(zone),
        store(
            log, timers, [&timers] { return timers.now; }, {}, 1),
        local(
            store, timers, [&timers] { return timers.now; }, localKnobs(zone)),
        service(local),
        peers(fleet, address),
        ledger(
            service, peers, timers, [&timers] { return timers.now; },
            routedKnobs(address, zone, regions), 1) {}

  static LedgerKnobs localKnobs(const std::string& zone) {
    LedgerKnobs knobs;
    knobs.zone = zone;
    return knobs;
  }
  static RoutedLedgerKnobs routedKnobs(const std::string& address, const std::string& zone,
                                       const Regions& regions) {
    RoutedLedgerKnobs knobs;
    knobs.ownAddress = address;
    knobs.zone = zone;
    for (const auto& [name, region] : regions) {
      knobs.zones.push_back(name);
    }
    knobs.regionOfZone = regions;
    return knobs;
  }

  std::string zone;
  logstore::RetryingStore store;
  ProgramLedger local;
  LedgerService service;
  FleetPeers peers;
  RoutedLedger ledger;
};

class Fleet {
 public:
  /// Nodes in two zones of one region, half of them in each.
  Fleet(logstore::FakeLogStore& log, logstore::FakeTimers& timers, int size = 6)
      : Fleet(log, timers, {{"a", "r"}, {"b", "r"}}, size / 2) {}
  /// \param nodesPerZone nodes are numbered zone by zone, in the order of the zone names.
  Fleet(logstore::FakeLogStore& log, logstore::FakeTimers& timers, const Regions& regions,
        int nodesPerZone)
      : timers(timers) {
    int number = 0;
    for (const auto& [zone, region] : regions) {
      for (int node = 0; node < nodesPerZone; ++node, ++number) {
        const std::string address = "node" + std::to_string(number);
        nodes[address] = std::make_unique<Node>(*this, log, timers, address, zone, regions);
      }
    }
  }
  Node& node(int number) { return *nodes["node" + std::to_string(number)]; }
  /// \return the first and second coordinator of the program's budget.
  std::vector<std::string> budgetCoordinators() {
    return RendezvousSelector({}).selectNodes(LedgerPartitions({}).ofBudget("program"), {},
                                              node(0).peers.candidates(), timers.now);
  }
  /// \return the number of a node that is not in the list.
  static int nodeThatIsNoneOf(const std::vector<std::string>& coordinators) {
    int number = 0;
    while (std::count(coordinators.begin(), coordinators.end(), "node" + std::to_string(number)) >
           0) {
      ++number;
    }
    return number;
  }

  logstore::FakeTimers& timers;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::set<std::string> dead;    ///< Refuse connections.
  std::set<std::string> silent;  ///< Accept calls and never reply.
  int calls = 0;
  std::map<std::string, int> callsTo;  ///< Calls received, by node.
  bool known = true;                   ///< Whether the list of nodes is known.
};

inline bool FleetPeers::isNodeListKnown() const { return fleet_.known; }

inline std::vector<NodeCandidate> FleetPeers::candidates() const {
  std::vector<NodeCandidate> candidates;
  for (const auto& [address, node] : fleet_.nodes) {
    candidates.push_back({address, node->zone, 1.0});
  }
  return candidates;
}

inline void FleetPeers::checkAlive(const std::string& address, Duration limit,
                                   std::function<void(bool alive)> callback) {
  const bool alive = fleet_.dead.count(address) + fleet_.silent.count(address) == 0;
  fleet_.timers.runAfter(alive ? milliseconds(2) : limit, [callback, alive] { callback(alive); });
}

inline void FleetPeers::call(const std::string& address, const LedgerRequest& request,
                             Duration timeLimit,
                             std::function<void(std::optional<LedgerReply>)> callback) {
  ++fleet_.calls;
  logstore::FakeTimers& timers = fleet_.timers;
  if (fleet_.dead.count(address) > 0) {
    timers.runAfter(milliseconds(1), [callback] { callback(std::nullopt); });
    return;
  }
  if (fleet_.silent.count(address) > 0) {
    timers.runAfter(timeLimit, [callback] { callback(std::nullopt); });
    return;
  }
  ++fleet_.callsTo[address];
  timers.runAfter(milliseconds(1), [this, address, request, callback, &timers] {
    fleet_.nodes[address]->service.handleForPeer(request, [callback, &timers](LedgerReply reply) {
      timers.runAfter(milliseconds(1), [callback, reply = std::move(reply)] { callback(reply); });
    });
  });
}

}  // namespace gorsetrail::ledger::testing
