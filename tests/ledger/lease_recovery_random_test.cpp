// Random deaths, suspensions and outages of nodes whose leases have witnesses: the tokens granted
// to a program never exceed its budget by more than its largest turn, though leases are cleared
// early.
#include <algorithm>
#include <array>
#include <random>
#include <string>

#include "ledger/lease_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::ledger;
using namespace gorsetrail::ledger::testing;
using logstore::FakeFault;

namespace {

constexpr std::uint64_t kBudget = 600;
constexpr std::uint64_t kTurn = 60;
constexpr int kNodes = 4;
constexpr int kSteps = 150;
constexpr int kSeeds = 60;

/// A seeded run on nodes that die, restart, are suspended and cut off from the store.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, bool witnessesForget) : random_(seed), fleet_(kNodes) {
    fleet_.budget = kBudget;
    fleet_.witnessesForget = witnessesForget;
  }
  /// \return the most tokens by which a program exceeded its budget and its largest turn.
  std::uint64_t excess() {
    for (int step = 0; step < kSteps; ++step) {
      runStep();
    }
    std::uint64_t worst = 0;
    for (const auto& [program, tokens] : fleet_.handedOut) {
      worst = std::max(worst, tokens > kBudget + kTurn ? tokens - kBudget - kTurn : 0);
    }
    return worst;
  }
  /// \return leases that were cleared with the help of their witnesses.
  std::uint64_t recoveredLeases() const {
    std::uint64_t count = recoveredBefore_;
    for (const auto& [address, process] : fleet_.alive) {
      count += process->local.budgetCounters().recoveredLeases;
    }
    return count;
  }

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  std::string randomAddress() { return "node" + std::to_string(draw(kNodes)); }

  void runStep() {
    const std::uint64_t action = draw(100);
    if (action < 60) {
      spendTurns();
    } else if (action < 75) {
      fleet_.run(milliseconds(static_cast<Duration::rep>(200 + draw(1500))));
    } else if (action < 80) {
      fleet_.log.fault =
          std::array{FakeFault::Silent, FakeFault::Busy, FakeFault::LostReply}[draw(3)];
    } else if (action < 85) {
      fleet_.log.fault = FakeFault::None;
    } else if (action < 93) {
      restart(randomAddress());
    } else if (action < 98) {
      ProcessTimers& timers = fleet_.alive.at(randomAddress())->processTimers;
      timers.isSuspended = !timers.isSuspended;
    } else {
      StoreLink& link = fleet_.alive.at(randomAddress())->storeLink;
      link.cut = !link.cut;
    }
  }

  void restart(const std::string& address) {
    recoveredBefore_ += fleet_.alive.at(address)->local.budgetCounters().recoveredLeases;
    fleet_.kill(address);
    if (draw(2) == 0) {
      fleet_.run(milliseconds(static_cast<Duration::rep>(draw(3000))));
    }
    fleet_.start(address);
  }

  void spendTurns() {
    const std::string program = "program" + std::to_string(draw(3));
    for (std::uint64_t turns = 1 + draw(4); turns > 0; --turns) {
      const std::string node = randomAddress();
      if (!fleet_.alive.at(node)->processTimers.isSuspended) {
        fleet_.spend(node, program, kTurn, draw(kTurn + 1));
      }
    }
  }

  std::mt19937_64 random_;
  LeaseFleet fleet_;
  std::uint64_t recoveredBefore_ = 0;
};

}  // namespace

TEST_GROUP(LeaseRecoveryRandom) {
  std::uint64_t recovered = 0;

  /// \return the first seed whose run exceeds a budget; 0: none.
  std::uint64_t firstViolatingSeed(bool witnessesForget) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomRun run(seed, witnessesForget);
      const std::uint64_t excess = run.excess();
      recovered += run.recoveredLeases();
      if (excess > 0) {
        return seed;
      }
    }
    return 0;
  }
};

TEST(LeaseRecoveryRandom, randomRunsStayWithinTheBudget) {
  LONGS_EQUAL(0, firstViolatingSeed(false));
  CHECK(recovered > kSeeds);
}

// Guard against an ineffective random test.
TEST(LeaseRecoveryRandom, detectsWitnessesThatForgetGrants) {
  CHECK(firstViolatingSeed(true) != 0);
}
