// Simulates a fleet in which every node sends all requests that the rule allows, and checks the
// arrivals at each cold replica in every sliding second. Mutants must exceed the limit.
#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>

#include "base/random.h"
#include "routing/cold_replica_rule.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

constexpr std::size_t kReplicas = 2;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kTendPeriod = milliseconds(100);
constexpr Duration kHeartbeat = milliseconds(1200);
constexpr Duration kColdTime = seconds(3);
const std::string kZone = "z";

/// Parameters of a run.
struct Scenario {
  ColdReplicaKnobs knobs;
  std::size_t nodes = 100;
  double coldPerSecond = 25;
  double hiddenMemberFraction = 0.1;  ///< Fraction of the members that each view omits.
  bool viewsChangeContinuously = false;
  bool isSplit = false;  ///< Two halves that see only their own members.
  /// Number of nodes that lose the store and all relays before the evacuation. They keep sending
  /// to the replicas and get responses.
  std::size_t cutOff = 8;
  double pausedFraction = 0.1;     ///< Fraction of nodes that are paused around the return.
  double restartedFraction = 0.3;  ///< Fraction of nodes that restart around the return.
  double storeLostFraction = 0;    ///< Fraction of nodes that lose the store some seconds before.
  /// If set, all processes restart at the same time, this long after the return.
  std::optional<Duration> fullRestartAfter;
  std::optional<Duration> secondRestartAfter;  ///< Delay of a second restart after the first.
  bool isUnresponsiveBefore = false;  ///< The replicas do not respond until they return cold.
  // Mutants: faults injected into the rule or its inputs.
  bool everyNodeIsSender = false;
  bool everyNodeOwnsAll = false;  ///< Each node knows only itself as a member.
  bool ignoresReturn = false;
  bool startsInKnownState = false;
};

/// \return the limit of requests that reach a cold replica in any second.
double limitOf(const Scenario& scenario) {
  return scenario.coldPerSecond * scenario.knobs.overshoot + scenario.knobs.slack;
}

/// A registration as stored.
struct Registration {
  Instant writtenAt;
  Duration coldFor;
};

struct SimulatedReplica {
  std::string id;
  Instant coldFrom;
  Instant coldUntil;
  std::vector<Registration> log;
  std::deque<Instant> arrivals;  ///< Within the last second, while cold.
  std::size_t maxPerSecond = 0;
  std::size_t total = 0;
};

struct FleetNode {
  std::string name;
  std::vector<std::string> view;
  std::vector<RingMember> members;  ///< Same members as `view`; built on demand.
  std::unique_ptr<ColdReplicaRule> rule;
  std::vector<ReplicaPtr> replicas;
  std::vector<std::size_t> read;  ///< Number of registrations read, for each replica.
  Instant nextReadAt;
  Instant nextEvacuationReadAt;
  bool hasReadReturn = false;
  Instant listsAt;          ///< When the first listings after a restart are complete.
  Instant membersListedAt;  ///< The member list is empty before this time.
  bool isListed = true;
  bool knowsEvacuated = true;
  bool isCutOff = false;
  Instant pausedFrom = Instant::max();
  Instant pausedUntil = Instant::max();
  Instant restartsAt = Instant::max();
  bool hasRestartedTwice = false;
};

class Fleet {
 public:
  Fleet(Scenario scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    service_.name = "m";
    service_.coldTime = kColdTime;
    service_.coldRequestsPerSecond = scenario_.coldPerSecond;
    makeReplicas();
    for (std::size_t index = 0; index < scenario_.nodes; ++index) {
      nodes_.push_back(std::make_unique<FleetNode>());
      nodes_.back()->name = "n" + std::to_string(index);
    }
    for (std::size_t index = 0; index < scenario_.nodes; ++index) {
      initializeNode(index);
    }
  }

  void run() {
    const Instant end = returnedAt_ + seconds(6);
    while (now_ < end) {
      now_ += kStep;
      for (std::size_t index = 0; index < scenario_.nodes; ++index) {
        step(index);
      }
    }
  }
  /// \return the maximum number of requests at one replica in one second.
  [[nodiscard]] std::size_t maxPerSecond() const {
    std::size_t maxPerSecond = 0;
    for (const SimulatedReplica& replica : simulatedReplicas_) {
      maxPerSecond = std::max(maxPerSecond, replica.maxPerSecond);
    }
    return maxPerSecond;
  }
  [[nodiscard]] std::size_t total() const {
    return simulatedReplicas_.front().total + simulatedReplicas_.back().total;
  }

 private:
  Duration randomUpTo(Duration span) {
    return Duration(
        static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(span.count()))));
  }

  void makeReplicas() {
    for (std::size_t index = 0; index < kReplicas; ++index) {
      SimulatedReplica replica;
      replica.id = "i-" + std::to_string(random_.below(UINT32_MAX));
      replica.coldFrom = returnedAt_ - randomUpTo(milliseconds(800));
      replica.coldUntil = replica.coldFrom + kColdTime;
      const Instant first = now_ - randomUpTo(kHeartbeat);
      for (Instant at = first; at < returnedAt_ + seconds(6); at += kHeartbeat) {
        const bool cold = replica.coldFrom <= at && at < replica.coldUntil;
        replica.log.push_back({at, cold ? replica.coldUntil - at : Duration::zero()});
      }
      simulatedReplicas_.push_back(std::move(replica));
    }
  }

  void makeView(std::size_t index) {
    FleetNode& node = *nodes_[index];
    node.view.clear();
    if (scenario_.everyNodeIsSender) {
      node.view = {node.name};
      return;
    }
    for (std::size_t other = 0; other < scenario_.nodes; ++other) {
      const bool isOtherHalf = scenario_.isSplit && other % 2 != index % 2;
      const bool isHidden = other != index && random_.fraction() < scenario_.hiddenMemberFraction;
      if (!isOtherHalf && !isHidden) {
        node.view.push_back("n" + std::to_string(other));
      }
    }
  }

  void initializeNode(std::size_t index) {
    FleetNode& node = *nodes_[index];
    makeView(index);
    startProcess(node);
    // The process has been running for a while.
    node.rule->onEvacuationsListed(now_ - seconds(60));
    node.rule->onFresh(now_);
    node.rule->onEvacuationsFresh(now_);
    node.nextEvacuationReadAt = now_ + randomUpTo(milliseconds(600));
    node.nextReadAt = now_ + randomUpTo(milliseconds(600));
    const double draw = random_.fraction();
    if (index < scenario_.cutOff) {
      node.isCutOff = true;
    } else if (draw < scenario_.pausedFraction) {
      node.pausedFrom = returnedAt_ - randomUpTo(seconds(4));
      node.pausedUntil = node.pausedFrom + milliseconds(500) + randomUpTo(seconds(5));
      if (random_.below(2) == 0) {
        // Paused during the whole evacuation.
        node.knowsEvacuated = false;
        node.pausedFrom = returnedAt_ - milliseconds(3500) - randomUpTo(milliseconds(1500));
        node.pausedUntil = returnedAt_ - milliseconds(400) + randomUpTo(seconds(2));
      }
    } else if (draw < scenario_.pausedFraction + scenario_.restartedFraction) {
      node.restartsAt = returnedAt_ - seconds(1) + randomUpTo(seconds(4));
    }
    if (random_.fraction() < scenario_.storeLostFraction) {
      node.isCutOff = true;
    }
    if (scenario_.fullRestartAfter) {
      node.restartsAt = returnedAt_ + *scenario_.fullRestartAfter + randomUpTo(milliseconds(60));
    }
    if (node.isCutOff) {
      node.knowsEvacuated = false;
    }
  }

  void startProcess(FleetNode& node) {
    ColdReplicaSources sources;
    sources.serviceOf = [this](std::string_view) { return &service_; };
    sources.nodes = [this, &node]() -> const std::vector<std::string>& { return viewOf(node); };
    sources.members = [this, &node]() -> const std::vector<RingMember>& { return membersOf(node); };
    const std::uint64_t incarnation =
        (random_.below(UINT32_MAX) << 20U) + random_.below(UINT32_MAX);
    node.rule = std::make_unique<ColdReplicaRule>(scenario_.knobs, sources, node.name, incarnation);
    node.replicas.clear();
    node.read.assign(kReplicas, 0);
    for (const SimulatedReplica& replica : simulatedReplicas_) {
      auto replicaView = std::make_shared<Replica>();
      replicaView->entry.id = replica.id;
      replicaView->entry.service = "m";
      replicaView->entry.zone = kZone;
      replicaView->coldRequestsPerSecond = scenario_.coldPerSecond;
      node.replicas.push_back(std::move(replicaView));
    }
  }

  const std::vector<RingMember>& membersOf(FleetNode& node) const {
    node.members.clear();
    if (scenario_.everyNodeOwnsAll) {
      node.members.push_back({node.name});
    } else {
      for (const std::string& name : viewOf(node)) {
        node.members.push_back({name});
      }
    }
    return node.members;
  }

  /// \return the members known to the node.
  [[nodiscard]] const std::vector<std::string>& viewOf(const FleetNode& node) const {
    static const std::vector<std::string> kNoMembers;
    return now_ < node.membersListedAt ? kNoMembers : node.view;
  }

  void restart(FleetNode& node) {
    node.restartsAt = Instant::max();
    startProcess(node);
    node.isListed = false;
    node.listsAt = now_ + milliseconds(20) + randomUpTo(milliseconds(400));
    node.nextReadAt = node.listsAt;
    node.nextEvacuationReadAt = node.listsAt;
    if (scenario_.fullRestartAfter) {
      // All nodes query the store at the same time, which delays the member lists.
      node.membersListedAt = now_ + milliseconds(14) + randomUpTo(milliseconds(1140));
    }
    if (scenario_.secondRestartAfter && !node.hasRestartedTwice) {
      node.hasRestartedTwice = true;
      node.restartsAt = now_ + *scenario_.secondRestartAfter;
    }
  }

  void readRegistrations(FleetNode& node) {
    for (std::size_t index = 0; index < kReplicas; ++index) {
      const std::vector<Registration>& log = simulatedReplicas_[index].log;
      while (node.read[index] < log.size() && log[node.read[index]].writtenAt <= now_) {
        node.replicas[index]->entry.coldFor = log[node.read[index]].coldFor;
        node.rule->onRegistration(*node.replicas[index], false, now_);
        ++node.read[index];
      }
    }
    node.rule->onFresh(now_);
    node.nextReadAt = now_ + milliseconds(400) + randomUpTo(milliseconds(200));
  }

  void readEvacuations(FleetNode& node) {
    if (!node.isListed) {
      if (now_ < node.listsAt) {
        return;
      }
      node.isListed = true;
      node.knowsEvacuated = now_ < returnedAt_;
      node.hasReadReturn = !node.knowsEvacuated;
      node.rule->onEvacuationsListed(scenario_.startsInKnownState ? Instant{} : now_);
    }
    if (now_ < node.nextEvacuationReadAt) {
      return;
    }
    node.nextEvacuationReadAt = now_ + milliseconds(200) + randomUpTo(milliseconds(400));
    node.rule->onEvacuationsFresh(now_);
    node.knowsEvacuated = now_ < returnedAt_;
    if (now_ >= returnedAt_ && !node.hasReadReturn) {
      node.hasReadReturn = true;
      if (!scenario_.ignoresReturn) {
        node.rule->onZoneReturned(kZone, now_);
      }
    }
  }

  void step(std::size_t index) {
    FleetNode& node = *nodes_[index];
    if (now_ >= node.pausedFrom && now_ < node.pausedUntil) {
      return;
    }
    if (now_ >= node.restartsAt) {
      restart(node);
    }
    // A node may send right after a pause, before it reads the store.
    sendAll(node);
    if (!node.isCutOff) {
      readEvacuations(node);
      if (now_ >= node.nextReadAt && node.isListed) {
        readRegistrations(node);
      }
    }
    if (now_.time_since_epoch() % kTendPeriod == Duration::zero()) {
      if (scenario_.viewsChangeContinuously) {
        makeView(index);
      }
      node.rule->updateColdStates(node.replicas, now_);
    }
    sendAll(node);
  }

  void sendAll(FleetNode& node) {
    if (!node.isListed || node.knowsEvacuated) {
      return;
    }
    for (std::size_t index = 0; index < kReplicas; ++index) {
      const Replica& replica = *node.replicas[index];
      if (!node.rule->exclusionOf(replica, {}, now_)) {
        node.rule->onSent(replica, now_);
        if (!scenario_.isUnresponsiveBefore || now_ >= simulatedReplicas_[index].coldFrom) {
          node.replicas[index]->lastDataAt = now_;
        }
        recordArrival(simulatedReplicas_[index]);
      }
    }
  }

  void recordArrival(SimulatedReplica& replica) const {
    if (now_ < replica.coldFrom || now_ >= replica.coldUntil) {
      return;
    }
    replica.arrivals.push_back(now_);
    while (now_ - replica.arrivals.front() >= seconds(1)) {
      replica.arrivals.pop_front();
    }
    replica.maxPerSecond = std::max(replica.maxPerSecond, replica.arrivals.size());
    ++replica.total;
  }

  Scenario scenario_;
  RandomSource random_;
  Service service_;
  Instant now_{seconds(1000)};
  Instant returnedAt_{seconds(1006)};
  std::vector<SimulatedReplica> simulatedReplicas_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
};

struct Outcome {
  std::size_t maxPerSecond = 0;
  std::size_t total = 0;
};

Outcome runSeeds(const Scenario& scenario, std::uint64_t seeds = 12) {
  Outcome outcome;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(scenario, seed * 7919);
    fleet.run();
    outcome.maxPerSecond = std::max(outcome.maxPerSecond, fleet.maxPerSecond());
    outcome.total += fleet.total();
  }
  return outcome;
}

void checkLimitHolds(const Scenario& scenario, std::uint64_t seeds = 12) {
  const Outcome outcome = runSeeds(scenario, seeds);
  CHECK_COMPARE(static_cast<double>(outcome.maxPerSecond), <=, limitOf(scenario));
  CHECK_COMPARE(outcome.total, >, 0U);
}

void checkLimitIsExceeded(const Scenario& scenario) {
  CHECK_COMPARE(static_cast<double>(runSeeds(scenario).maxPerSecond), >, limitOf(scenario));
}

Scenario changingViews() {
  Scenario scenario;
  scenario.viewsChangeContinuously = true;
  scenario.hiddenMemberFraction = 0.4;
  return scenario;
}

/// The fleet of `tools/fault_soak.sh --nodes 40`, with a limit of 11 requests per second.
Scenario fullRestartAfter(Duration afterTheReturn) {
  Scenario scenario;
  scenario.nodes = 40;
  scenario.coldPerSecond = 4;
  scenario.fullRestartAfter = afterTheReturn;
  scenario.hiddenMemberFraction = 0;
  scenario.cutOff = 0;
  scenario.pausedFraction = 0;
  scenario.restartedFraction = 0;
  return scenario;
}

}  // namespace

TEST_GROUP(ColdReplicaFleet){};

TEST(ColdReplicaFleet, holdsWithRestartsPausesAndCutOffNodes) { checkLimitHolds({}); }

TEST(ColdReplicaFleet, holdsWhenTwoHalvesHaveDisjointSenders) {
  Scenario scenario;
  scenario.isSplit = true;
  scenario.hiddenMemberFraction = 0;
  scenario.cutOff = 4;
  checkLimitHolds(scenario);
}

TEST(ColdReplicaFleet, holdsWhileMembershipViewsChange) { checkLimitHolds(changingViews()); }

TEST(ColdReplicaFleet, holdsWhenTheWholeFleetRestartsAsTheZoneReturns) {
  Scenario scenario;
  scenario.restartedFraction = 1;
  scenario.cutOff = 0;
  scenario.pausedFraction = 0;
  checkLimitHolds(scenario);
}

TEST(ColdReplicaFleet, holdsWhileNoNodeReachesTheStore) {
  Scenario scenario;
  scenario.storeLostFraction = 1;
  scenario.restartedFraction = 0;
  scenario.isUnresponsiveBefore = true;
  checkLimitHolds(scenario);
}

TEST(ColdReplicaFleet, holdsWithStaticShares) {
  Scenario scenario;
  scenario.knobs.sharing = ColdSharing::StaticShares;
  checkLimitHolds(scenario);
}

TEST(ColdReplicaFleet, mutantInitialTokensExceedIt) {
  Scenario scenario = changingViews();
  scenario.knobs.initialTokens = 1;
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantInWhichEveryNodeIsASenderExceedsIt) {
  Scenario scenario;
  scenario.everyNodeIsSender = true;
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantWithoutSlotsInUnknownStateExceedsIt) {
  Scenario scenario;
  scenario.knobs.unknownStateSlot = milliseconds(1);
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, holdsALowLimitWhenAllNodesRestartTwice) {
  constexpr std::uint64_t kSeeds = 50;
  for (const int between : {400, 1000, 1600}) {
    Scenario scenario = fullRestartAfter(milliseconds(-1000));
    scenario.secondRestartAfter = milliseconds(between);
    checkLimitHolds(scenario, kSeeds);
  }
}

TEST(ColdReplicaFleet, mutantInWhichEveryNodeInUnknownStateSendsExceedsIt) {
  Scenario scenario = fullRestartAfter(milliseconds(-1000));
  scenario.everyNodeOwnsAll = true;
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantThatIgnoresAZonesReturnExceedsIt) {
  Scenario scenario;
  scenario.ignoresReturn = true;
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantThatAcceptsOldRegistrationsExceedsIt) {
  Scenario scenario;
  scenario.knobs.heartbeat = Duration::zero();
  scenario.knobs.margin = Duration::zero();
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantWithoutStalenessTimeoutExceedsIt) {
  Scenario scenario;
  scenario.knobs.staleAfter = seconds(3600);
  checkLimitIsExceeded(scenario);
}

TEST(ColdReplicaFleet, mutantInKnownStateAtStartExceedsIt) {
  Scenario scenario;
  scenario.startsInKnownState = true;
  checkLimitIsExceeded(scenario);
}

// Guards against random bursts after all nodes restart while a zone returns: while no node knows
// which replicas are cold, only each replica's owners on the member ring may send.
TEST(ColdReplicaFleet, holdsALowLimitWhenAllNodesAreLostAfterTheReturn) {
  constexpr std::uint64_t kSeeds = 100;
  for (const int after : {-1000, 0, 400, 1000, 2000}) {
    checkLimitHolds(fullRestartAfter(milliseconds(after)), kSeeds);
  }
}

// Nodes cut off from the store keep sending to responsive replicas, two requests per second each,
// and the number of such nodes is not bounded. Listed in KNOWN-RED.txt.
TEST(ColdReplicaFleet, holdsALowLimitBesideNodesThatAreCutOff) {
  Scenario scenario = fullRestartAfter({});
  scenario.fullRestartAfter.reset();
  scenario.cutOff = 8;
  checkLimitHolds(scenario);
}
