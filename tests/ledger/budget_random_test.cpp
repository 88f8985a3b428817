// Random days of homes, outages, kills and programs: an outside count of the tokens handed out
// never exceeds a program's budget and one turn, its largest.
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
/// Larger than a lease's share, and within what it allows for a single turn.
constexpr std::uint64_t kLargeTurn = 400;
/// Of a secondary lease: the largest single turn that note 0011 proves.
constexpr LeaseShares kLargerShares{0.3, 0.45};
constexpr int kSteps = 600;
constexpr int kSeeds = 400;

/// One seeded day on which every home may be asked at any moment, whoever is the partition's home.
class RandomDay {
 public:
  /// \param knobsOfB of home "b"; the others have `knobs`.
  RandomDay(std::uint64_t seed, const BudgetPartitionKnobs& knobs,
            const BudgetPartitionKnobs& knobsOfB)
      : random_(seed), fleet_(knobs) {
    fleet_.knobsOf["b"] = knobsOfB;
    for (const char* holder : kHolders) {
      lives_[holder] = &fleet_.start(holder);
    }
  }
  /// \return tokens that were handed out above what the rule allows, by the worst program.
  std::uint64_t excess() {
    for (int step = 0; step < kSteps; ++step) {
      play();
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
  Home& anyHome() { return *lives_[kHolders[draw(kHolders.size())]]; }

  void play() {
    const std::uint64_t what = draw(81);
    if (what < 46) {
      askForTurns();
    } else if (what < 70) {
      tend();
    } else if (what < 73) {
      fleet_.log.fault =
          std::array{FakeFault::Silent, FakeFault::Busy, FakeFault::LostReply}[draw(3)];
    } else if (what < 76) {
      fleet_.log.fault = FakeFault::None;
    } else if (what < 77) {
      anyHome().way.cut = draw(2) == 0;
    } else if (what < 79) {
      restart(kHolders[draw(kHolders.size())]);
    } else if (what < 80) {
      killAllBeforeAnOutage();
    } else {
      fleet_.timers.advance(seconds(1 + static_cast<Duration::rep>(draw(15))));
    }
  }

  void restart(const char* holder) { lives_[holder] = &fleet_.start(holder); }

  /// All processes die and start anew; most of them tend their leases before the store goes away.
  void killAllBeforeAnOutage() {
    fleet_.log.fault = FakeFault::None;
    for (const char* const holder : kHolders) {
      restart(holder);
    }
    for (std::uint64_t tick = 0; tick < 2 * kHolders.size(); ++tick) {
      tend();
    }
    fleet_.log.fault = FakeFault::Silent;
  }

  void tend() {
    Home& home = anyHome();
    if (draw(10) == 0) {
      home.partition.releaseLease();
    } else {
      home.partition.maintainLease();
    }
    fleet_.timers.advance(milliseconds(static_cast<Duration::rep>(200 + draw(900))));
  }

  /// A program asks some turns close together, as parallel helpers do.
  void askForTurns() {
    constexpr Duration kBetweenPrograms = seconds(3);
    const auto newest =
        static_cast<std::uint64_t>(fleet_.timers.now.time_since_epoch() / kBetweenPrograms);
    const std::uint64_t number = newest - draw(5);
    for (std::uint64_t turns = 1 + draw(6); turns > 0; --turns) {
      askForATurn(number);
    }
  }

  /// Programs loop: each should be over 6 s after its first turn, and goes on all the same.
  void askForATurn(std::uint64_t number) {
    const std::string program = "p" + std::to_string(number);
    const auto [finish, isNew] = finishes_.try_emplace(program, fleet_.timers.now + seconds(6));
    const Duration left = std::max(Duration::zero(), finish->second - fleet_.timers.now);
    Home& home = anyHome();
    const std::string request = "r" + std::to_string(++requests_);
    const bool hasLargeTurns = number % 4 == 0;
    const std::uint64_t turn = hasLargeTurns && draw(3) == 0 ? kLargeTurn : kTurn;
    const auto outcome = fleet_.spend(home, request, program, turn, kBudget, left,
                                      milliseconds(static_cast<Duration::rep>(draw(200))));
    if (outcome != ReservationOutcome::Granted) {
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
  std::map<std::string, Home*> lives_;
  std::map<std::string, Instant> finishes_;
  std::map<std::string, std::uint64_t> largestTurns_;  ///< Granted, by program.
  int requests_ = 0;
};

/// \return the first seed whose day breaks the rule; 0: none.
std::uint64_t firstBrokenSeed(const BudgetPartitionKnobs& knobs,
                              const BudgetPartitionKnobs& knobsOfB) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    if (RandomDay(seed, knobs, knobsOfB).excess() > 0) {
      return seed;
    }
  }
  return 0;
}

std::uint64_t firstBrokenSeed(const BudgetPartitionKnobs& knobs) {
  return firstBrokenSeed(knobs, knobs);
}

}  // namespace

TEST_GROUP(BudgetRandom) { BudgetPartitionKnobs knobs; };

TEST(BudgetRandom, noDayBreaksTheBudget) { LONGS_EQUAL(0, firstBrokenSeed(knobs)); }

TEST(BudgetRandom, noDayBreaksTheBudgetWithALargerSecondaryShare) {
  knobs.leases.secondary = kLargerShares;
  LONGS_EQUAL(0, firstBrokenSeed(knobs));
}

// Each of these must show, or the test above could not fail.
TEST(BudgetRandom, findsAHomeThatClearsLeasesAtOnceInAFleetThatThenForgetsThem) {
  knobs.leases.retention = Duration::zero();
  BudgetPartitionKnobs hasty = knobs;
  hasty.leases.maxDecisionDelay =
      -knobs.leases.maxRemainingProgramTime;  // It decides nothing by the log.
  CHECK(firstBrokenSeed(knobs, hasty) != 0);
}

TEST(BudgetRandom, findsAHomeThatDoesNotCountTheLeasesOfOthers) {
  BudgetPartitionKnobs careless = knobs;
  careless.leases.primary = {};
  careless.leases.secondary = {};
  CHECK(firstBrokenSeed(knobs, careless) != 0);
}

TEST(BudgetRandom, findsAHomeThatDoesNotCountTheSecondaryLeasesOfOthers) {
  knobs.leases.secondary = kLargerShares;
  BudgetPartitionKnobs careless = knobs;
  careless.leases.secondary = {};
  CHECK(firstBrokenSeed(knobs, careless) != 0);
}

TEST(BudgetRandom, findsAHomeThatSpendsMoreUnderASecondaryLeaseThanOthersCount) {
  BudgetPartitionKnobs greedy = knobs;
  greedy.leases.secondary.share = 0.95;
  CHECK(firstBrokenSeed(knobs, greedy) != 0);
}

TEST(BudgetRandom, findsAHomeThatSpendsMoreAheadThanOthersCount) {
  BudgetPartitionKnobs greedy = knobs;
  greedy.leases.primary.share = 0.95;
  CHECK(firstBrokenSeed(knobs, greedy) != 0);
}
