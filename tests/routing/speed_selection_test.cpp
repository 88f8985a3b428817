// Replays requests at replicas of different speed, in virtual time: what selection by expected time
// does to load, latency and traffic between zones.
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/replica_placement.h"
#include "routing/speed_contrast.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

constexpr std::uint32_t kSlots = 8;
constexpr double kTypicalMilliseconds = 100;
constexpr double kFastFactor = 0.7;
constexpr double kSlowFactor = 1.7;
/// Reading a prompt that is not cached, at a replica of typical speed.
constexpr double kPromptMilliseconds = 20;
constexpr std::uint64_t kPromptTokens = 1400;
constexpr std::size_t kAttempts = 4;  ///< Of a turn, at replicas that refuse it.
/// Deadline of a program: 1.45 times its time on idle fast replicas, plus 350 ms.
constexpr double kDeadline = 1.45 * 4 * kFastFactor * 105 + 350;
constexpr int kTurns = 4;  ///< Of each program; each starts when the previous one has ended.

struct Job {
  std::size_t node = 0;
  std::uint64_t program = 0;
  int turn = 0;
  double sentAt = 0;
  double startedAt = 0;  ///< Of the program.
  double endsAt = 0;
  std::vector<ReplicaPtr> tried{};
};

struct Engine {
  std::string zone;
  double factor = 1;
  std::vector<Job> running;
  std::deque<Job> waiting;
  ReplicaSpeed speed;        ///< Measured by all nodes.
  std::vector<bool> cached;  ///< By program.
  double timeLoad = 0;       ///< Sum over time of requests per slot, times the factor.
};

enum class Selection : std::uint8_t { ByLoad, ByTime };
enum class Kind : std::uint8_t {
  Engines,       ///< Requests wait for a slot; prompts are cached.
  WithoutQueue,  ///< A full replica refuses.
};

/// A node with its own view of the replicas; other nodes' load is up to 100 ms old.
struct Node {
  Node(const std::string& zone, Selection selection)
      : contrast({}),
        selector(zone, {}, nullptr, selection == Selection::ByTime ? &contrast : nullptr) {}
  ReplicaTable table;
  SpeedContrast contrast;
  ReplicaSelector selector;
  AdmissionPolicy admission{{}};
  ReplicaPlacement placement{table, selector, admission, {}};
  std::vector<ReplicaPtr> replicas;  ///< In the order of the engines.
};

/// Outcome of a replay, from the end of the warm-up.
struct Figures {
  double busiestToMean = 0;      ///< Of the engines' load in time.
  double leastToMean = 0;        ///< Likewise of the least busy engine.
  double slowShare = 0;          ///< Fraction of turns at engines with a factor over 1.
  double otherZone = 0;          ///< Fraction of turns at an engine of another zone.
  double refusedDispatches = 0;  ///< Per attempt.
  double inTime = 0;             ///< Programs that end in time, of those that start.
  double refused = 0;            ///< Fraction of attempts.
};

class Replay {
 public:
  /// \return arrivals of programs per millisecond at a node.
  using Rate = std::function<double(std::size_t node, double milliseconds)>;

  Replay(Selection selection, Kind kind) : selection_(selection), kind_(kind) {}

  void addEngines(const std::string& zone, const std::vector<double>& factors) {
    for (const double factor : factors) {
      engines_.push_back({zone, factor, {}, {}, {}, {}, 0});
    }
  }
  void addNode(const std::string& zone) {
    nodes_.push_back(std::make_unique<Node>(zone, selection_));
    for (std::size_t index = 0; index < engines_.size(); ++index) {
      ReplicaEntry entry;
      entry.id = "engine-" + std::to_string(index);
      entry.service = "s";
      entry.zone = engines_[index].zone;
      entry.slots = kSlots;
      nodes_.back()->table.upsert(entry);
      nodes_.back()->replicas.push_back(nodes_.back()->table.find(entry.id));
    }
    zones_.push_back(zone);
  }
  /// \return turns per millisecond that all engines can process.
  double capacity() const {
    double sum = 0;
    for (const Engine& engine : engines_) {
      sum += kSlots / (kTypicalMilliseconds * engine.factor);
    }
    return sum;
  }
  Engine& engine(std::size_t index) { return engines_[index]; }
  std::size_t nodes() const { return nodes_.size(); }

  /// Runs for the given virtual time. Figures count from `warmUp` on.
  Figures run(double warmUp, double milliseconds, const Rate& rate) {
    reset();
    const double end = now_ + milliseconds;
    const double countedFrom = now_ + warmUp;
    for (; now_ < end; ++now_) {
      counted_ = now_ >= countedFrom;
      if (static_cast<int>(now_) % 100 == 0) {
        exchangeLoads();
      }
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (random_.fraction() < rate(node, now_)) {
          started_ += counted_ ? 1 : 0;
          start({node, programs_++, 0, now_, now_, 0, {}});
        }
      }
      for (std::size_t index = 0; index < engines_.size(); ++index) {
        advance(index);
      }
    }
    return figures();
  }

 private:
  bool refusesWhenFull() const { return kind_ == Kind::WithoutQueue; }
  void reset() {
    started_ = inTime_ = refusedDispatches_ = 0;
    turns_ = slowTurns_ = otherZoneTurns_ = refusals_ = 0;
    for (Engine& engine : engines_) {
      engine.timeLoad = 0;
    }
  }
  Instant instant() const { return Instant{} + milliseconds(1000 + static_cast<int>(now_)); }

  void exchangeLoads() {
    for (std::size_t index = 0; index < engines_.size(); ++index) {
      std::uint32_t all = 0;
      for (const auto& node : nodes_) {
        all += node->replicas[index]->inFlight;
      }
      for (const auto& node : nodes_) {
        Replica& replica = *node->replicas[index];
        replica.othersInFlight = all - replica.inFlight;
        // Nodes report only replicas whose speed deviates.
        const ReplicaSpeed& speed = engines_[index].speed;
        const double factor = mergedTimeFactor(speed, 1, 0, instant());
        const bool deviates = factor > kReportedDeviation || factor < 1 / kReportedDeviation;
        replica.othersTimeFactor = std::exp(speed.meanLog());
        replica.othersTimeSamples = deviates ? speed.samples(instant()) : 0;
        replica.timeFactor =
            mergedTimeFactor({}, replica.othersTimeFactor, replica.othersTimeSamples, instant());
      }
    }
    for (const auto& node : nodes_) {
      node->contrast.update(node->table, instant());
    }
  }

  void start(Job job) {
    Node& node = *nodes_[job.node];
    const std::string program = "program-" + std::to_string(job.program);
    const std::string attempt = program + "/" + std::to_string(job.turn);
    PlacementQuery query;
    query.replica.service = "s";
    query.replica.affinityKey = refusesWhenFull() ? attempt : program;
    query.replica.tried = &job.tried;
    query.replica.waitsForSlot = !refusesWhenFull();
    query.replica.promptTokens = refusesWhenFull() ? 0 : kPromptTokens;
    const WorkStage stage = job.turn == 0 ? WorkStage::FirstTurn : WorkStage::Continuing;
    if (!refusesWhenFull()) {
      query.admission = AdmissionRequest{stage, 5, attempt};
    }
    const Placement placement = node.placement.place(query, instant());
    turns_ += counted_ ? 1 : 0;
    const auto* const placed = std::get_if<Placed>(&placement);
    if (placed == nullptr) {
      refusals_ += counted_ ? 1 : 0;
      return;
    }
    const auto position = std::find(node.replicas.begin(), node.replicas.end(), placed->replica);
    Engine& engine = engines_[static_cast<std::size_t>(position - node.replicas.begin())];
    if (refusesWhenFull() && engine.running.size() + engine.waiting.size() >= kSlots) {
      onRefused(std::move(job), placed->replica);
      return;
    }
    ++placed->replica->inFlight;
    if (counted_) {
      slowTurns_ += engine.factor > 1 ? 1 : 0;
      otherZoneTurns_ += engine.zone == zones_[job.node] ? 0 : 1;
    }
    engine.waiting.push_back(job);
  }

  void onRefused(Job job, const ReplicaPtr& replica) {
    refusedDispatches_ += counted_ ? 1 : 0;
    replica->fullUntil = instant() + milliseconds(60);
    job.tried.push_back(replica);
    if (job.tried.size() < kAttempts) {
      start(std::move(job));
    } else {
      refusals_ += counted_ ? 1 : 0;
    }
  }

  void advance(std::size_t index) {
    Engine& engine = engines_[index];
    if (counted_) {
      const auto load = static_cast<double>(engine.running.size() + engine.waiting.size());
      engine.timeLoad += load * engine.factor / kSlots;
    }
    for (std::size_t job = 0; job < engine.running.size();) {
      if (engine.running[job].endsAt > now_) {
        ++job;
        continue;
      }
      const Job ended = engine.running[job];
      engine.running.erase(engine.running.begin() + static_cast<std::ptrdiff_t>(job));
      --nodes_[ended.node]->replicas[index]->inFlight;
      if (ended.turn + 1 < kTurns) {
        start({ended.node, ended.program, ended.turn + 1, now_, ended.startedAt, 0, {}});
      } else {
        inTime_ += counted_ && now_ - ended.startedAt < kDeadline ? 1 : 0;
      }
    }
    while (engine.running.size() < kSlots && !engine.waiting.empty()) {
      Job job = engine.waiting.front();
      engine.waiting.pop_front();
      beginRun(index, job);
    }
  }

  void beginRun(std::size_t index, Job job) {
    Engine& engine = engines_[index];
    engine.cached.resize(programs_, false);
    const bool isCached = engine.cached[job.program];
    engine.cached[job.program] = true;
    const double size = kTypicalMilliseconds * (0.6 + 0.8 * random_.fraction());
    job.endsAt = now_ + engine.factor * (size + (isCached ? 0 : kPromptMilliseconds));
    // Relative to the median replica, as by the service's model.
    engine.speed.note(
        milliseconds(static_cast<int>(job.endsAt - now_)),
        milliseconds(static_cast<int>((job.endsAt - now_) / engine.factor * kFastFactor)),
        instant());
    // What the node itself measures: the time to the first byte.
    const double firstByte = now_ - job.sentAt + 40 + 0.2 * engine.factor * size;
    double& average = nodes_[job.node]->replicas[index]->answerMilliseconds;
    average = average <= 0 ? firstByte : average + 0.2 * (firstByte - average);
    engine.running.push_back(job);
  }

  Figures figures() const {
    Figures result;
    double sum = 0;
    double busiest = 0;
    double least = std::numeric_limits<double>::max();
    for (const Engine& engine : engines_) {
      sum += engine.timeLoad;
      busiest = std::max(busiest, engine.timeLoad);
      least = std::min(least, engine.timeLoad);
    }
    const auto turns = static_cast<double>(turns_);
    result.busiestToMean = busiest / (sum / static_cast<double>(engines_.size()));
    result.leastToMean = least / (sum / static_cast<double>(engines_.size()));
    result.slowShare = static_cast<double>(slowTurns_) / turns;
    result.otherZone = static_cast<double>(otherZoneTurns_) / turns;
    result.refused = static_cast<double>(refusals_) / turns;
    result.inTime = static_cast<double>(inTime_) / static_cast<double>(started_);
    result.refusedDispatches = static_cast<double>(refusedDispatches_) / turns;
    return result;
  }

  Selection selection_;
  Kind kind_;
  bool counted_ = false;
  double now_ = 0;
  RandomSource random_{7};
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::string> zones_;
  std::uint64_t programs_ = 0;
  std::uint64_t turns_ = 0;
  std::uint64_t slowTurns_ = 0;
  std::uint64_t otherZoneTurns_ = 0;
  std::uint64_t refusals_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t inTime_ = 0;
  std::uint64_t refusedDispatches_ = 0;
};

/// \return the same rate for all nodes, such that all together use this fraction of the capacity.
Replay::Rate evenly(const Replay& replay, double load) {
  const double rate = load * replay.capacity() / kTurns / static_cast<double>(replay.nodes());
  return [rate](std::size_t /*node*/, double /*milliseconds*/) { return rate; };
}

constexpr double kWarmUp = 5000;
constexpr double kDuration = 20000;

/// \return a fleet of one zone: a third of the replicas takes 2.4 times as long as the others.
Replay oneZone(Selection selection, Kind kind = Kind::Engines, int replicas = 6) {
  Replay replay(selection, kind);
  for (int group = 0; group < replicas / 3; ++group) {
    replay.addEngines("a", {kFastFactor, kFastFactor, kSlowFactor});
  }
  for (int node = 0; node < 6; ++node) {
    replay.addNode("a");
  }
  return replay;
}

Figures figuresAt(double load, Selection selection, Kind kind = Kind::Engines) {
  Replay replay = oneZone(selection, kind);
  return replay.run(kWarmUp, kDuration, evenly(replay, load));
}

/// Three zones whose demand varies by half, in different phases, with a period of 12 s.
Replay threeZones() {
  Replay replay(Selection::ByTime, Kind::Engines);
  for (const char* zone : {"a", "b", "c"}) {
    replay.addEngines(zone, {kFastFactor, kFastFactor, kSlowFactor});
  }
  for (const char* zone : {"a", "b", "c"}) {
    replay.addNode(zone);
    replay.addNode(zone);
  }
  return replay;
}
Replay::Rate varying(const Replay& replay, double load) {
  const double mean = load * replay.capacity() / kTurns / static_cast<double>(replay.nodes());
  return [mean](std::size_t node, double milliseconds) {
    constexpr double kPeriod = 12000;
    const std::size_t zone = node / 2;
    const double phase = milliseconds / kPeriod + static_cast<double>(zone) / 3.0;
    return mean * (1.0 + 0.5 * std::sin(2.0 * M_PI * phase));
  };
}

}  // namespace

TEST_GROUP(SpeedSelection){};

// Guards against equal numbers of requests at replicas of different speed, which keep slow replicas
// busy for 2.4 times as long as fast ones.
TEST(SpeedSelection, loadInTimeIsEvenAtReplicasOfDifferentSpeed) {
  CHECK_TRUE(figuresAt(0.7, Selection::ByTime).busiestToMean < 1.2);
  CHECK_TRUE(figuresAt(0.7, Selection::ByLoad).busiestToMean > 1.2);
}

// At 70% load, programs missed their deadlines because their turns met slow replicas.
TEST(SpeedSelection, programsEndInTimeAtNormalLoad) {
  CHECK_TRUE(figuresAt(0.7, Selection::ByTime).inTime > 0.95);
  CHECK_TRUE(figuresAt(0.7, Selection::ByLoad).inTime < 0.9);
}

TEST(SpeedSelection, slowReplicasGetNextToNothingWhileFastOnesHaveFreeSlots) {
  CHECK_TRUE(figuresAt(0.3, Selection::ByTime).slowShare < 0.03);
  CHECK_TRUE(figuresAt(0.3, Selection::ByLoad).slowShare > 0.1);
}

// Guards against refusing work, or queueing it at the fast replicas, beside free slots of the slow
// ones.
TEST(SpeedSelection, slowReplicasTakeTheOverflowWhenFastOnesAreFull) {
  const Figures byTime = figuresAt(1.0, Selection::ByTime);
  const Figures byLoad = figuresAt(1.0, Selection::ByLoad);
  CHECK_TRUE(byTime.slowShare > 0.07);
  CHECK_TRUE(byTime.refused < byLoad.refused);
  CHECK_TRUE(byTime.inTime > byLoad.inTime + 0.05);
}

// Replicas of services without engines refuse what they cannot run at once.
TEST(SpeedSelection, replicasWithoutQueuesRefuseLess) {
  const Figures byTime = figuresAt(0.6, Selection::ByTime, Kind::WithoutQueue);
  const Figures byLoad = figuresAt(0.6, Selection::ByLoad, Kind::WithoutQueue);
  CHECK_TRUE(byTime.refusedDispatches < byLoad.refusedDispatches);
  CHECK_TRUE(byTime.inTime > byLoad.inTime);
  CHECK_TRUE(byTime.slowShare < byLoad.slowShare / 2);
}

// Guards against dispatches to full replicas whose load seems low because it is known late. In a
// larger fleet at its capacity, requests then ran out of attempts.
TEST(SpeedSelection, replicasWithoutQueuesRefuseLessAtCapacity) {
  Replay byTime = oneZone(Selection::ByTime, Kind::WithoutQueue, 18);
  Replay byLoad = oneZone(Selection::ByLoad, Kind::WithoutQueue, 18);
  const Figures figures = byTime.run(kWarmUp, kDuration, evenly(byTime, 1.0));
  const Figures before = byLoad.run(kWarmUp, kDuration, evenly(byLoad, 1.0));
  CHECK_TRUE(figures.inTime > before.inTime);
}

// Guards against traffic between zones, whose bytes cost money, only because batches differ.
TEST(SpeedSelection, workStaysInItsZoneWhileNoQueueForms) {
  Replay replay = threeZones();
  const Figures figures = replay.run(kWarmUp, 29000, varying(replay, 0.45));
  CHECK_TRUE(figures.otherZone < 0.02);
}

// Guards against queues in a zone beside free replicas of others, and against work that stays there
// when the demand has moved on.
TEST(SpeedSelection, workMovesToAnotherZoneWhenQueuesWouldFormAndComesBack) {
  Replay replay = threeZones();
  const Figures high = replay.run(kWarmUp, 29000, varying(replay, 0.75));
  CHECK_TRUE(high.otherZone > 0.05 && high.otherZone < 0.25);
  CHECK_TRUE(high.inTime > 0.9);
  const Figures after = replay.run(2000, 12000, varying(replay, 0.45));
  CHECK_TRUE(after.otherZone < 0.02);
}

// Guards against a replica that is avoided for good, since slow replicas are hardly measured.
TEST(SpeedSelection, aRecoveredReplicaGetsWorkAgain) {
  Replay replay = oneZone(Selection::ByTime);
  replay.run(kWarmUp, kDuration, evenly(replay, 0.3));
  replay.engine(2).factor = kFastFactor;
  replay.engine(5).factor = kFastFactor;
  const Figures after = replay.run(20000, 40000, evenly(replay, 0.3));
  CHECK_TRUE(after.slowShare == 0);  // All are fast now.
  CHECK_TRUE(after.leastToMean > 0.5);
}

// Guards against full batches of turns at a very slow replica, each time its measurements expire.
TEST(SpeedSelection, aVerySlowReplicaIsTriedWithFewRequests) {
  Replay replay = oneZone(Selection::ByTime);
  replay.engine(2).factor = 8 * kFastFactor;
  replay.engine(5).factor = 8 * kFastFactor;
  const Figures figures = replay.run(kWarmUp, 60000, evenly(replay, 0.3));
  CHECK_TRUE(figures.slowShare < 0.01);
}
