/// \file Simulated fleet of quota services with a lossy network, in virtual time.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "logstore/fake_log_store.h"
#include "quota/quota_service.h"

namespace gorsetrail::quota::testing {

inline std::shared_ptr<const tenant::TenantDirectory> directoryOf(
    std::vector<tenant::Tenant> tenants) {
  auto made = tenant::TenantDirectory::make(std::move(tenants));
  return std::make_shared<const tenant::TenantDirectory>(std::move(valueOf(made)));
}

inline tenant::Tenant limited(const std::string& name, double rate, double burst) {
  return {name, {}, {}, {rate, burst}};
}

/// Runs one `QuotaService` per node. Each node's candidate coordinators are the nodes that it can
/// reach, in an order that depends on the partition, as an ideal failure detector would report
/// them.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t nodes, std::shared_ptr<const tenant::TenantDirectory> tenants,
                 std::uint64_t seed, QuotaKnobs knobs = {})
      : knobs_(knobs), random_(seed), tenants_(std::move(tenants)) {
    for (std::size_t index = 0; index < nodes; ++index) {
      nodes_.push_back(std::make_unique<Node>(*this, index));
      start(index);
    }
  }

  /// Submits a request at a node; ignored unless the node is running.
  void request(std::size_t node, const tenant::Tenant& tenant, ProgramStage stage) {
    if (!nodes_[node]->service || nodes_[node]->isSuspended) {
      return;
    }
    ++asked[tenant.name];
    nodes_[node]->service->admit(
        tenant, stage, [this, name = tenant.name, stage](QuotaDecision decision) {
          if (decision.verdict == QuotaVerdict::Granted) {
            grants[name].push_back(timers.now);
            ++(stage == ProgramStage::Started ? begunGranted : beginningGranted)[name];
          } else {
            ++rejected[name];
            lastRetryAfter = decision.retryAfter;
            lastTrace = decision.trace;
          }
        });
  }
  /// Returns the token of a granted request that was not sent.
  void returnToken(std::size_t node, const tenant::Tenant& tenant) {
    nodes_[node]->service->returnToken(tenant.name);
  }
  void crash(std::size_t node) { nodes_[node]->service.reset(); }
  /// Starts a planned shutdown: the node still serves requests but no longer coordinates.
  void stop(std::size_t node) {
    nodes_[node]->service->endCoordination();
    nodes_[node]->isLeaving = true;
  }
  void start(std::size_t node) {
    Node& started = *nodes_[node];
    started.service = std::make_unique<QuotaService>(started, knobs_, started.address,
                                                     random_.below(UINT32_MAX) + 1,
                                                     [this] { return timers.now; });
    ++started.incarnation;
    started.isLeaving = false;
    tick(node, started.incarnation);
  }
  /// Suspends a node; messages that arrive meanwhile are queued until `resume`.
  void suspend(std::size_t node) { nodes_[node]->isSuspended = true; }
  void resume(std::size_t node) {
    Node& resumed = *nodes_[node];
    resumed.isSuspended = false;
    std::deque<std::function<void()>> queued = std::move(resumed.queued);
    resumed.queued.clear();
    for (const auto& work : queued) {
      work();
    }
  }
  /// Nodes in different network groups cannot reach each other; the default group is 0.
  void setNetworkGroup(std::size_t node, int group) { nodes_[node]->group = group; }
  /// Replaces the tenant configuration of one node.
  void setTenants(std::size_t node, std::shared_ptr<const tenant::TenantDirectory> tenants) {
    nodes_[node]->ownTenants = std::move(tenants);
  }
  /// Whether nodes detect partitions, crashes and suspensions.
  bool detectsFailures = true;
  /// Nodes with odd indices swap the first and second candidate coordinator.
  bool disagreesOnCoordinators = false;
  double lossRate = 0.01;
  /// Drops all hand-over messages.
  bool dropsHandOvers = false;
  /// Called for each message sent, if set.
  std::function<void(const QuotaMessage&)> onSent;

  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] const QuotaService& service(std::size_t node) const {
    return *nodes_[node]->service;
  }
  /// \return the maximum number of grants of a tenant in any window of this length.
  [[nodiscard]] std::size_t mostGrantedIn(Duration window, const std::string& tenant) const {
    const auto found = grants.find(tenant);
    if (found == grants.end()) {
      return 0;
    }
    const std::vector<Instant>& moments = found->second;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < moments.size(); ++last) {
      while (moments[last] - moments[first] > window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  logstore::FakeTimers timers;
  RandomSource& random() { return random_; }
  std::map<std::string, std::vector<Instant>> grants;
  std::map<std::string, std::size_t> rejected;
  std::map<std::string, std::size_t> asked;
  std::map<std::string, std::size_t> begunGranted;
  std::map<std::string, std::size_t> beginningGranted;
  Duration lastRetryAfter{};
  std::optional<QuotaTrace> lastTrace;  ///< Trace of the last request that was not granted.
  std::size_t messages = 0;
  std::size_t coordinatorChanges = 0;

 private:
  struct Node final : QuotaFleetView {
    Node(SimulatedFleet& owner, std::size_t number)
        : fleet(owner), index(number), address(std::to_string(number)) {}

    [[nodiscard]] std::vector<std::string> candidateCoordinators(
        std::uint32_t partition) const override {
      std::vector<std::string> candidates;
      for (std::size_t step = 0; step < fleet.size() && candidates.size() < 2; ++step) {
        const std::size_t other = (partition * 7 + step) % fleet.size();
        if (fleet.isReachable(*this, *fleet.nodes_[other])) {
          candidates.push_back(fleet.nodes_[other]->address);
        }
      }
      if (fleet.disagreesOnCoordinators && index % 2 == 1) {
        std::reverse(candidates.begin(), candidates.end());
      }
      return candidates;
    }
    [[nodiscard]] std::vector<std::string> members() const override {
      std::vector<std::string> all;
      for (const auto& node : fleet.nodes_) {
        all.push_back(node->address);
      }
      return all;
    }
    [[nodiscard]] double ownShare() const override {
      return 1.0 / static_cast<double>(fleet.size());
    }
    [[nodiscard]] std::shared_ptr<const tenant::TenantDirectory> tenants() const override {
      return ownTenants ? ownTenants : fleet.tenants_;
    }
    void send(const std::string& to, const QuotaMessage& message) override {
      fleet.transmit(*this, std::stoul(to), message);
    }

    void onCoordinatorChanged(std::uint32_t /*partition*/,
                              const std::string& /*address*/) override {
      ++fleet.coordinatorChanges;
    }

    /// Tenants of this node; null to use those of the fleet.
    std::shared_ptr<const tenant::TenantDirectory> ownTenants;
    SimulatedFleet& fleet;
    std::size_t index;
    std::string address;
    std::unique_ptr<QuotaService> service;
    std::uint64_t incarnation = 0;
    bool isSuspended = false;
    bool isLeaving = false;
    int group = 0;
    std::deque<std::function<void()>> queued;
  };

  bool isReachable(const Node& viewer, const Node& other) const {
    if (!detectsFailures || &viewer == &other) {
      return true;
    }
    return other.service && !other.isSuspended && !other.isLeaving && other.group == viewer.group;
  }
  void transmit(const Node& from, std::size_t to, const QuotaMessage& message) {
    ++messages;
    if (onSent) {
      onSent(message);
    }
    const bool isLost = dropsHandOvers && std::holds_alternative<HandOver>(message);
    if (random_.fraction() < lossRate || isLost) {
      return;
    }
    // Encodes and decodes each message to cover the codec.
    const std::string bytes = encodeQuotaMessage(message);
    const Duration delay =
        milliseconds(1) + Duration(static_cast<Duration::rep>(random_.below(4000)));
    timers.runAfter(delay, [this, sender = from.address, group = from.group, to, bytes] {
      Node& target = *nodes_[to];
      if (target.group == group) {
        deliver(target, sender, bytes);
      }
    });
  }
  void deliver(Node& target, const std::string& sender, const std::string& bytes) {
    if (target.isSuspended) {
      target.queued.push_back([this, &target, sender, bytes] { deliver(target, sender, bytes); });
      return;
    }
    if (target.service) {
      auto message = decodeQuotaMessage(bytes);
      target.service->onMessage(sender, valueOf(message));
    }
  }
  void tick(std::size_t node, std::uint64_t incarnation) {
    Node& ticked = *nodes_[node];
    if (!ticked.service || ticked.incarnation != incarnation) {
      return;
    }
    if (!ticked.isSuspended) {
      ticked.service->onTick();
    }
    const Duration period = milliseconds(ticked.service->hasWaitingRequests() ? 10 : 50);
    timers.runAfter(period, [this, node, incarnation] { tick(node, incarnation); });
  }

  QuotaKnobs knobs_;
  RandomSource random_;
  std::shared_ptr<const tenant::TenantDirectory> tenants_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace gorsetrail::quota::testing
