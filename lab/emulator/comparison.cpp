#include "lab/emulator/comparison.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace gorsetrail::emulator {

FigureSpread PolicyRuns::spreadOf(const std::string& figure) const {
  FigureSpread spread;
  for (std::size_t run = 0; run < runs.size(); ++run) {
    const double value = runs[run].at(figure);
    spread.mean += value / static_cast<double>(runs.size());
    spread.lowest = run == 0 ? value : std::min(spread.lowest, value);
    spread.highest = run == 0 ? value : std::max(spread.highest, value);
  }
  return spread;
}

std::vector<PolicyRuns> comparePolicies(const Workload& workload,
                                        const ComparisonOptions& options) {
  std::vector<PolicyRuns> results;
  for (const double load : options.loads) {
    for (const std::string& policy : options.policies) {
      results.push_back({policy, load, std::vector<Figures>(options.seeds)});
    }
  }
  const std::size_t jobs = results.size() * options.seeds;
  std::atomic<std::size_t> nextJob = 0;
  const auto work = [&] {
    for (std::size_t job = nextJob++; job < jobs; job = nextJob++) {
      PolicyRuns& target = results[job / options.seeds];
      const std::uint64_t seed = options.firstSeed + job % options.seeds;
      Emulation emulation(workload, {target.policy, target.load, seed, options.retention});
      target.runs[job % options.seeds] = emulation.run();
    }
  };
  std::vector<std::thread> threads;
  for (std::uint32_t count = 1; count < options.threads; ++count) {
    threads.emplace_back(work);
  }
  work();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

}  // namespace gorsetrail::emulator
