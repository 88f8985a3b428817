// Random outages, restarts and requests: the tokens granted to a program never exceed its budget by
// more than its largest turn.
#include <algorithm>
#include <array>
#include <random>
#include <string>

#include "ledger/budget_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using namespace gorsetrail::ledger::testing;
using logstore::FakeFault;

namespace {

constexpr std::uint64_t kBudget = 600;
constexpr std::uint64_t kTurn = 60;
/// Exceeds a lease's share but not its single-turn share.
constexpr std::uint64_t kLargeTurn = 400;
/// Shares of a secondary lease with the largest single turn proved safe in note 0011.
constexpr LeaseShares kLargerShares{0.3, 0.45};
constexpr int kSteps = 600;
constexpr int kSeeds = 400;

/// A seeded run in which any node may be called at any time, whether or not it is the partition's
/// coordinator.
class RandomRun {
 public:
  /// \param knobsOfB settings of node "b"; the others use `knobs`.
  RandomRun(std::uint64_t seed, const BudgetPartitionKnobs& knobs,
            const BudgetPartitionKnobs& knobsOfB)
      : random_(seed), fleet_(knobs) {
    fleet_.knobsOf["b"] = knobsOfB;
    for (const char* holder : kHolders) {
      processes_[holder] = &fleet_.start(holder);
    }
  }
  /// \return the most tokens by which a program exceeded its budget and its largest turn.
  std::uint64_t excess() {
    for (int step = 0; step < kSteps; ++step) {
      runStep();
    }
    std::uint64_t worst = 0;
    for (const auto& [program, tokens] : fleet_.handedOut) {
      const std::uint64_t allowed = kBudget + largestTurns_[program];
      worst = std::max(worst, tokens > allowed ? tokens - allowed : 0);
    }
    return worst;
  }

 private:
  static constexpr std::array<const char*, 3> kHolders{"a", "b", "c"};

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  BudgetNode& randomNode() { return *processes_[kHolders[draw(kHolders.size())]]; }

  void runStep() {
    const std::uint64_t action = draw(81);
    if (action < 46) {
      reserveTurns();
    } else if (action < 70) {
      maintainOrRelease();
    } else if (action < 73) {
      fleet_.log.fault =
          std::array{FakeFault::Silent, FakeFault::Busy, FakeFault::LostReply}[draw(3)];
    } else if (action < 76) {
      fleet_.log.fault = FakeFault::None;
    } else if (action < 77) {
      randomNode().storeLink.cut = draw(2) == 0;
    } else if (action < 79) {
      restart(kHolders[draw(kHolders.size())]);
    } else if (action < 80) {
      killAllBeforeAnOutage();
    } else {
      fleet_.timers.advance(seconds(1 + static_cast<Duration::rep>(draw(15))));
    }
  }

  void restart(const char* holder) { processes_[holder] = &fleet_.start(holder); }

  /// Restarts all nodes, and maintains most leases before the store becomes unavailable.
  void killAllBeforeAnOutage() {
    fleet_.log.fault = FakeFault::None;
    for (const char* const holder : kHolders) {
      restart(holder);
    }
    for (std::uint64_t tick = 0; tick < 2 * kHolders.size(); ++tick) {
      maintainOrRelease();
    }
    fleet_.log.fault = FakeFault::Silent;
  }

  void maintainOrRelease() {
    BudgetNode& home = randomNode();
    home.partition.sweep();
    if (draw(10) == 0) {
      home.partition.releaseLease();
    } else {
      home.partition.maintainLease();
    }
    fleet_.timers.advance(milliseconds(static_cast<Duration::rep>(200 + draw(900))));
  }

  /// Reserves several turns of one program in quick succession, like parallel requests.
  void reserveTurns() {
    constexpr Duration kBetweenPrograms = seconds(3);
    const auto newest =
        static_cast<std::uint64_t>(fleet_.timers.now.time_since_epoch() / kBetweenPrograms);
    const std::uint64_t number = newest - draw(5);
    for (std::uint64_t turns = 1 + draw(6); turns > 0; --turns) {
      reserveTurn(number);
    }
  }

  /// Reserves a turn. A program is overdue 6 s after its first turn, but continues. Some programs
  /// come back later and declare new time.
  void reserveTurn(std::uint64_t number) {
    const std::string program = "p" + std::to_string(number);
    const auto [deadline, isNew] = deadlines_.try_emplace(program, fleet_.timers.now + seconds(6));
    if (deadline->second < fleet_.timers.now && draw(4) == 0) {
      deadline->second = fleet_.timers.now + seconds(6);
    }
    const Duration left = std::max(Duration::zero(), deadline->second - fleet_.timers.now);
    BudgetNode& home = randomNode();
    const std::string request = "r" + std::to_string(++requests_);
    const bool hasLargeTurns = number % 4 == 0;
    const std::uint64_t turn = hasLargeTurns && draw(3) == 0 ? kLargeTurn : kTurn;
    const auto outcome = fleet_.spend(home, request, program, turn, kBudget, left,
                                      milliseconds(static_cast<Duration::rep>(draw(200))));
    if (outcome != ReservationOutcome::Granted) {
      if (draw(3) == 0) {
        home.partition.settle({request, program, 0});  // The caller does not run the turn.
      }
      return;
    }
    std::uint64_t& largest = largestTurns_[program];
    largest = std::max(largest, turn);
    if (draw(3) == 0) {
      const std::uint64_t used = draw(turn + 1);
      fleet_.handedOut[program] -= turn - used;
      home.partition.settle({request, program, used});
    }
  }

  std::mt19937_64 random_;
  BudgetFleet fleet_;
  std::map<std::string, BudgetNode*> processes_;
  std::map<std::string, Instant> deadlines_;
  std::map<std::string, std::uint64_t> largestTurns_;  ///< Granted, by program.
  int requests_ = 0;
};

/// \return the first seed whose run exceeds a budget; 0: none.
std::uint64_t firstViolatingSeed(const BudgetPartitionKnobs& knobs,
                                 const BudgetPartitionKnobs& knobsOfB) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    if (RandomRun(seed, knobs, knobsOfB).excess() > 0) {
      return seed;
    }
  }
  return 0;
}

std::uint64_t firstViolatingSeed(const BudgetPartitionKnobs& knobs) {
  return firstViolatingSeed(knobs, knobs);
}

}  // namespace

TEST_GROUP(BudgetRandom) {
  BudgetPartitionKnobs knobs;
  // Longer than a program of a run lasts, and short enough for several leases in a run.
  void setup() override { knobs.leases.retention = seconds(20); }
};

TEST(BudgetRandom, randomRunsStayWithinTheBudget) { LONGS_EQUAL(0, firstViolatingSeed(knobs)); }

TEST(BudgetRandom, randomRunsStayWithinTheBudgetWithALargerSecondaryShare) {
  knobs.leases.secondary = kLargerShares;
  LONGS_EQUAL(0, firstViolatingSeed(knobs));
}

// Guard against an ineffective random test: each of these faults must be detected.
TEST(BudgetRandom, detectsANodeThatForgetsLeasesTooEarly) {
  BudgetPartitionKnobs faulty = knobs;
  faulty.leases.retention = Duration::zero();
  CHECK(firstViolatingSeed(knobs, faulty) != 0);
}

TEST(BudgetRandom, detectsANodeThatDoesNotCountLeasesOfOthers) {
  BudgetPartitionKnobs faulty = knobs;
  faulty.leases.primary = {};
  faulty.leases.secondary = {};
  CHECK(firstViolatingSeed(knobs, faulty) != 0);
}

TEST(BudgetRandom, detectsANodeThatDoesNotCountSecondaryLeasesOfOthers) {
  knobs.leases.secondary = kLargerShares;
  BudgetPartitionKnobs faulty = knobs;
  faulty.leases.secondary = {};
  CHECK(firstViolatingSeed(knobs, faulty) != 0);
}

TEST(BudgetRandom, detectsANodeThatExceedsItsSecondaryLeaseShare) {
  BudgetPartitionKnobs faulty = knobs;
  faulty.leases.secondary.share = 0.95;
  CHECK(firstViolatingSeed(knobs, faulty) != 0);
}

TEST(BudgetRandom, detectsANodeThatExceedsItsPrimaryLeaseShare) {
  BudgetPartitionKnobs faulty = knobs;
  faulty.leases.primary.share = 0.95;
  CHECK(firstViolatingSeed(knobs, faulty) != 0);
}
