/// \file A fleet of nodes with quotas over a network of the test's, in virtual time.
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

/// The network and the nodes. Every node sees as coordinators those nodes that it can reach, in an
/// order of the partition's own: what a failure detector would tell it a moment later.
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

  /// Asks for a request's token at a node that runs.
  void request(std::size_t node, const tenant::Tenant& tenant, ProgramStage stage) {
    if (!nodes_[node]->service || nodes_[node]->isFrozen) {
      return;
    }
    ++asked[tenant.name];
    nodes_[node]->service->admit(
        tenant, stage, [this, name = tenant.name, stage](QuotaDecision decision) {
          if (decision.verdict == QuotaVerdict::Granted) {
            grants[name].push_back(timers.now);
            ++(stage == ProgramStage::Begun ? begunGranted : beginningGranted)[name];
          } else {
            ++refused[name];
            lastRetryAfter = decision.retryAfter;
            lastTrace = decision.trace;
          }
        });
  }
  /// A granted request was not sent after all.
  void giveBack(std::size_t node, const tenant::Tenant& tenant) {
    nodes_[node]->service->giveBack(tenant.name);
  }
  void kill(std::size_t node) { nodes_[node]->service.reset(); }
  /// A planned stop: the node serves on and coordinates nothing.
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
  /// A frozen node handles nothing; what arrives meanwhile waits.
  void freeze(std::size_t node) { nodes_[node]->isFrozen = true; }
  void thaw(std::size_t node) {
    Node& woken = *nodes_[node];
    woken.isFrozen = false;
    std::deque<std::function<void()>> held = std::move(woken.held);
    woken.held.clear();
    for (const auto& work : held) {
      work();
    }
  }
  /// Cuts the nodes of group 1 from those of group 0.
  void setGroup(std::size_t node, int group) { nodes_[node]->group = group; }
  /// Puts other tenants in force at one node.
  void setTenants(std::size_t node, std::shared_ptr<const tenant::TenantDirectory> tenants) {
    nodes_[node]->ownTenants = std::move(tenants);
  }
  /// Whether nodes learn of cuts, deaths and freezes.
  bool detectsFailures = true;
  /// Every other node takes the second choice for the first.
  bool disagreesOnCoordinators = false;
  double lossShare = 0.01;
  /// No coordinator learns what the one before it granted.
  bool losesHandOvers = false;
  /// Told of each message that leaves a node; may be unset.
  std::function<void(const QuotaMessage&)> onCarried;

  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] const QuotaService& service(std::size_t node) const {
    return *nodes_[node]->service;
  }
  /// \return the most grants of a tenant in any span of that length.
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
  std::map<std::string, std::size_t> refused;
  std::map<std::string, std::size_t> asked;
  std::map<std::string, std::size_t> begunGranted;
  std::map<std::string, std::size_t> beginningGranted;
  Duration lastRetryAfter{};
  std::optional<QuotaTrace> lastTrace;  ///< Of the last request that was not granted.
  std::size_t messages = 0;
  std::size_t coordinatorChanges = 0;

 private:
  struct Node final : QuotaFleet {
    Node(SimulatedFleet& owner, std::size_t number)
        : fleet(owner), index(number), address(std::to_string(number)) {}

    [[nodiscard]] std::vector<std::string> coordinatorsOf(std::uint32_t partition) const override {
      std::vector<std::string> candidates;
      for (std::size_t step = 0; step < fleet.size() && candidates.size() < 2; ++step) {
        const std::size_t other = (partition * 7 + step) % fleet.size();
        if (fleet.seesAlive(*this, *fleet.nodes_[other])) {
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
      fleet.carry(*this, std::stoul(to), message);
    }

    void onCoordinatorChanged(std::uint32_t /*partition*/,
                              const std::string& /*address*/) override {
      ++fleet.coordinatorChanges;
    }

    std::shared_ptr<const tenant::TenantDirectory> ownTenants;  ///< Null: the fleet's.
    SimulatedFleet& fleet;
    std::size_t index;
    std::string address;
    std::unique_ptr<QuotaService> service;
    std::uint64_t incarnation = 0;
    bool isFrozen = false;
    bool isLeaving = false;
    int group = 0;
    std::deque<std::function<void()>> held;
  };

  bool seesAlive(const Node& viewer, const Node& other) const {
    if (!detectsFailures || &viewer == &other) {
      return true;
    }
    return other.service && !other.isFrozen && !other.isLeaving && other.group == viewer.group;
  }
  void carry(const Node& from, std::size_t to, const QuotaMessage& message) {
    ++messages;
    if (onCarried) {
      onCarried(message);
    }
    const bool isLost = losesHandOvers && std::holds_alternative<HandOver>(message);
    if (random_.fraction() < lossShare || isLost) {
      return;
    }
    // Through the codec, as on the wire.
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
    if (target.isFrozen) {
      target.held.push_back([this, &target, sender, bytes] { deliver(target, sender, bytes); });
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
    if (!ticked.isFrozen) {
      ticked.service->onTick();
    }
    const Duration period = milliseconds(ticked.service->hasWaiting() ? 10 : 50);
    timers.runAfter(period, [this, node, incarnation] { tick(node, incarnation); });
  }

  QuotaKnobs knobs_;
  RandomSource random_;
  std::shared_ptr<const tenant::TenantDirectory> tenants_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace gorsetrail::quota::testing
