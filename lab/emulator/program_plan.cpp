#include "lab/emulator/program_plan.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <cmath>

namespace gorsetrail::emulator {
namespace {

constexpr std::size_t kCalibrationPrograms = 4000;

/// Draws an index by a Zipf law.
class ZipfTable {
 public:
  ZipfTable(std::uint32_t count, double exponent) {
    double sum = 0.0;
    for (std::uint32_t rank = 1; rank <= count; ++rank) {
      sum += 1.0 / std::pow(rank, exponent);
      cumulative_.push_back(sum);
    }
  }
  std::uint32_t sample(RandomSource& random) const {
    const double point = random.fraction() * cumulative_.back();
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), point);
    const auto index = static_cast<std::uint32_t>(found - cumulative_.begin());
    return std::min(index, static_cast<std::uint32_t>(cumulative_.size() - 1));
  }

 private:
  std::vector<double> cumulative_;
};

class Drawer {
 public:
  Drawer(const Workload& workload, std::uint64_t seed)
      : workload_(workload),
        random_(streamSeed(seed, 1)),
        documents_(workload.documents.count, workload.documents.zipfExponent),
        tenants_(workload.tenants, 1.0) {
    RandomSource documentRandom(streamSeed(seed, 2));
    for (std::uint32_t index = 0; index < workload.documents.count; ++index) {
      documentTokens_.push_back(workload.documents.tokens.sampleCount(documentRandom));
    }
  }

  /// Adds a root program and its sub-agents.
  void addRoot(Instant arrival) {
    const std::size_t first = plans_.size();
    plans_.push_back(drawHeader(drawClass()));
    plans_[first].arrival = arrival;
    drawTurns(first, true);
  }

  RandomSource& random() { return random_; }
  std::vector<ProgramPlan>& plans() { return plans_; }

 private:
  std::uint32_t drawClass() {
    double total = 0.0;
    for (const ProgramClass& kind : workload_.classes) {
      total += kind.share;
    }
    double point = random_.fraction() * total;
    for (std::uint32_t index = 0; index + 1 < workload_.classes.size(); ++index) {
      point -= workload_.classes[index].share;
      if (point < 0.0) {
        return index;
      }
    }
    return static_cast<std::uint32_t>(workload_.classes.size() - 1);
  }

  ProgramPlan drawHeader(std::uint32_t classIndex) {
    const ProgramClass& kind = workload_.classes[classIndex];
    ProgramPlan plan;
    plan.index = static_cast<std::uint32_t>(plans_.size());
    plan.classIndex = classIndex;
    plan.tenant = tenants_.sample(random_);
    plan.node = static_cast<std::uint32_t>(random_.below(workload_.nodes));
    plan.patience = kind.patienceMilliseconds.sampleMilliseconds(random_);
    if (kind.readsDocument) {
      plan.document = documents_.sample(random_);
      plan.documentTokens = documentTokens_[*plan.document];
    }
    return plan;
  }

  void drawTurns(std::size_t position, bool mayBranch) {
    const ProgramClass& kind = workload_.classes[plans_[position].classIndex];
    std::uint32_t wanted = std::max(1U, kind.turns.sampleCount(random_));
    if (!mayBranch) {
      wanted = std::max(1U, wanted / 3);
    }
    std::uint32_t context = kind.systemTokens + plans_[position].documentTokens;
    for (std::uint32_t turn = 0; turn < wanted; ++turn) {
      TurnPlan drawn = drawTurn(kind, turn);
      context += drawn.messageTokens + drawn.answerTokens;
      if (turn > 0 && context > workload_.maximumContextTokens) {
        break;
      }
      const bool last = turn + 1 == wanted;
      if (mayBranch && !last && random_.fraction() < kind.subAgentProbability) {
        drawn.subAgents = drawSubAgents(position, kind);
      }
      plans_[position].turns.push_back(std::move(drawn));
      if (mayBranch && !last && random_.fraction() < kind.abandonProbability) {
        plans_[position].abandoned = true;
        break;
      }
    }
  }

  TurnPlan drawTurn(const ProgramClass& kind, std::uint32_t turn) {
    TurnPlan drawn;
    const Distribution& message = turn == 0 ? kind.firstMessageTokens : kind.turnMessageTokens;
    drawn.messageTokens = std::max(1U, message.sampleCount(random_));
    drawn.answerTokens = std::max(1U, kind.answerTokens.sampleCount(random_));
    drawn.toolPause = kind.toolMilliseconds.sampleMilliseconds(random_);
    return drawn;
  }

  std::vector<std::uint32_t> drawSubAgents(std::size_t parent, const ProgramClass& kind) {
    std::vector<std::uint32_t> children;
    const std::uint64_t count = 1 + random_.below(std::max(1U, kind.maximumSubAgents));
    for (std::uint64_t number = 0; number < count; ++number) {
      ProgramPlan child = drawHeader(plans_[parent].classIndex);
      child.parent = static_cast<std::uint32_t>(parent);
      child.tenant = plans_[parent].tenant;
      child.node = plans_[parent].node;
      child.document = plans_[parent].document;
      child.documentTokens = plans_[parent].documentTokens;
      child.patience = Duration{};
      const std::size_t position = plans_.size();
      children.push_back(child.index);
      plans_.push_back(std::move(child));
      drawTurns(position, false);
    }
    return children;
  }

  const Workload& workload_;
  RandomSource random_;
  ZipfTable documents_;
  ZipfTable tenants_;
  std::vector<std::uint32_t> documentTokens_;
  std::vector<ProgramPlan> plans_;
};

/// \return mean least engine time of a root program with its sub-agents, in seconds.
double meanEngineSeconds(const Workload& workload, std::uint64_t seed) {
  Drawer drawer(workload, seed);
  for (std::size_t count = 0; count < kCalibrationPrograms; ++count) {
    drawer.addRoot(Instant{});
  }
  Duration total{};
  for (const ProgramPlan& plan : drawer.plans()) {
    total += leastEngineTime(plan, workload);
  }
  return toMilliseconds(total) / 1000.0 / static_cast<double>(kCalibrationPrograms);
}

bool inBurst(const Bursts& bursts, Instant at) {
  return at.time_since_epoch() % bursts.period < bursts.length;
}

}  // namespace

std::uint64_t streamSeed(std::uint64_t seed, std::uint64_t stream) {
  std::uint64_t mixed = seed * 0x9E3779B97F4A7C15ULL + stream * 0xD1B54A32D192ED03ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t ProgramPlan::newTokensFrom(std::size_t firstTurn) const {
  std::uint64_t tokens = 0;
  for (std::size_t turn = firstTurn; turn < turns.size(); ++turn) {
    tokens += turns[turn].messageTokens + turns[turn].answerTokens;
  }
  return tokens;
}

Duration leastEngineTime(const ProgramPlan& plan, const Workload& workload) {
  const enginemodel::EngineOptions& engine = workload.engine;
  std::uint64_t prefill = 0;
  std::uint64_t decode = 0;
  for (const TurnPlan& turn : plan.turns) {
    prefill += turn.messageTokens;
    decode += turn.answerTokens;
  }
  const Duration perToken = engine.stepPerStream + engine.baseStep / engine.maximumRunning;
  return microseconds(prefill * engine.nanosecondsPerPrefillToken / 1000) + decode * perToken;
}

std::vector<ProgramPlan> drawPrograms(const Workload& workload, double load, std::uint64_t seed) {
  const double programSeconds = meanEngineSeconds(workload, 0);
  const double meanRate = load * workload.capacityShare * workload.replicas / programSeconds;
  const double burstShare = std::chrono::duration<double>(workload.bursts.length) /
                            std::chrono::duration<double>(workload.bursts.period);
  const double quietRate = meanRate / (1.0 + burstShare * (workload.bursts.factor - 1.0));
  const double highestRate = quietRate * workload.bursts.factor;
  Drawer drawer(workload, seed);
  RandomSource arrivals(streamSeed(seed, 3));
  boost::random::exponential_distribution<double> gap(highestRate);
  // Thinning: arrivals at the highest rate, of which those outside bursts are mostly dropped.
  Instant at{};
  while (true) {
    at += microseconds(std::llround(gap(arrivals.generator()) * 1e6));
    if (at.time_since_epoch() >= workload.duration) {
      return std::move(drawer.plans());
    }
    const bool kept = arrivals.fraction() * workload.bursts.factor < 1.0;
    if (kept || inBurst(workload.bursts, at)) {
      drawer.addRoot(at);
    }
  }
}

}  // namespace gorsetrail::emulator
