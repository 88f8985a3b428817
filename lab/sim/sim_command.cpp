#include "lab/sim/sim_command.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "base/log.h"
#include "lab/sim/mutants.h"
#include "lab/sim/result_text.h"
#include "lab/sim/simulation.h"

DEFINE_string(mutant, "", "`run` and `soak`: faulty nodes, by a name of `gorsetrail-lab mutants`");
DEFINE_string(trace, "", "`run`: a program whose requests are written to standard error");
DEFINE_string(seeds, "1..10", "`soak`: seeds, FIRST..LAST");
DEFINE_string(scenarios, "lab/scenarios", "`list` and `soak`: directory of the scenario files");
DECLARE_uint32(threads);

namespace gorsetrail::sim {
namespace {

using lab::CommandArguments;

bool wantsJson(const CommandArguments& arguments) { return arguments.format == "json"; }

int fail(const Error& error) {
  std::cerr << error.toText() << "\n";
  return lab::kExitUsage;
}

bool knowsMutant() {
  if (FLAGS_mutant.empty() || findMutant(FLAGS_mutant) != nullptr) {
    return true;
  }
  std::cerr << "no mutant " << FLAGS_mutant << "; `gorsetrail-lab mutants` lists them\n";
  return false;
}

int runCommand(const CommandArguments& arguments) {
  if (arguments.rest.size() != 1 || !knowsMutant()) {
    std::cerr << "usage: gorsetrail-lab run FILE [--seed N] [--format json] [--mutant NAME]\n";
    return lab::kExitUsage;
  }
  configureLogging(LogLevel::Error);
  const Result<Scenario> scenario = readScenario(arguments.rest.front());
  if (!succeeded(scenario)) {
    return fail(errorOf(scenario));
  }
  const std::uint64_t seed = arguments.seed != 0 ? arguments.seed : valueOf(scenario).seed;
  const RunResult result = runScenario(valueOf(scenario), seed, FLAGS_mutant, FLAGS_trace);
  std::cout << (wantsJson(arguments) ? resultJson(result) + "\n" : resultTable(result));
  return result.violationCount == 0 ? lab::kExitSuccess : lab::kExitViolation;
}

std::vector<std::string> scenarioFiles() {
  std::vector<std::string> files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(FLAGS_scenarios, error)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

int listCommand(const CommandArguments& /*arguments*/) {
  for (const std::string& file : scenarioFiles()) {
    const Result<Scenario> scenario = readScenario(file);
    if (!succeeded(scenario)) {
      return fail(errorOf(scenario));
    }
    std::cout << file << "\t" << valueOf(scenario).description << "\n";
  }
  return lab::kExitSuccess;
}

int mutantsCommand(const CommandArguments& /*arguments*/) {
  for (const MutantInfo& mutant : mutants()) {
    std::cout << mutant.name << "\tbreaks " << promiseName(mutant.promise) << " in "
              << mutant.scenario << "\t" << mutant.what << "\n";
  }
  return lab::kExitSuccess;
}

struct SeedRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

std::optional<SeedRange> parseSeeds(const std::string& text) {
  SeedRange range;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, range.first);
  const bool separated =
      first.ec == std::errc{} && end - first.ptr > 2 && first.ptr[0] == '.' && first.ptr[1] == '.';
  if (!separated) {
    return std::nullopt;
  }
  const auto last = std::from_chars(first.ptr + 2, end, range.last);
  const bool valid = last.ec == std::errc{} && last.ptr == end && range.first <= range.last;
  return valid ? std::optional<SeedRange>(range) : std::nullopt;
}

struct SoakJob {
  const Scenario* scenario = nullptr;
  std::uint64_t seed = 0;
};

/// Runs every job in one of `threads` threads; each run itself has one thread and one seed.
std::uint64_t runJobs(const std::vector<SoakJob>& jobs, unsigned threads) {
  std::atomic<std::size_t> next{0};
  std::atomic<std::uint64_t> failed{0};
  std::mutex output;
  const auto work = [&] {
    for (std::size_t place = next++; place < jobs.size(); place = next++) {
      const RunResult result = runScenario(*jobs[place].scenario, jobs[place].seed, FLAGS_mutant);
      const std::lock_guard<std::mutex> lock(output);
      std::cout << result.scenario << " seed " << result.seed << " digest " << result.digest
                << " violations " << result.violationCount << "\n";
      for (const Violation& violation : result.violations) {
        std::cout << "  " << promiseName(violation.promise) << " at "
                  << toMilliseconds(violation.at - Instant{}) / 1000.0 << " s: " << violation.text
                  << "\n";
      }
      std::cout.flush();
      failed += result.violationCount == 0 ? 0 : 1;
    }
  };
  std::vector<std::thread> workers;
  for (unsigned number = 0; number < threads; ++number) {
    workers.emplace_back(work);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return failed;
}

int soakCommand(const CommandArguments& arguments) {
  const std::optional<SeedRange> seeds = parseSeeds(FLAGS_seeds);
  if (!seeds || !knowsMutant()) {
    std::cerr << "usage: gorsetrail-lab soak --seeds FIRST..LAST [--threads N] [FILE...]\n";
    return lab::kExitUsage;
  }
  configureLogging(LogLevel::Error);
  std::vector<Scenario> scenarios;
  for (const std::string& file : arguments.rest.empty() ? scenarioFiles() : arguments.rest) {
    Result<Scenario> scenario = readScenario(file);
    if (!succeeded(scenario)) {
      return fail(errorOf(scenario));
    }
    scenarios.push_back(std::move(valueOf(scenario)));
  }
  std::vector<SoakJob> jobs;
  for (std::uint64_t seed = seeds->first; seed <= seeds->last; ++seed) {
    for (const Scenario& scenario : scenarios) {
      jobs.push_back({&scenario, seed});
    }
  }
  const std::uint64_t failed = runJobs(jobs, std::max(1U, FLAGS_threads));
  std::cout << jobs.size() << " runs, " << failed << " with violations\n";
  return failed == 0 ? lab::kExitSuccess : lab::kExitViolation;
}

}  // namespace

void addCommands(lab::CommandRegistry& registry) {
  registry.add({"run", "runs a scenario file in virtual time and checks the promises", runCommand});
  registry.add({"list", "lists the scenario files", listCommand});
  registry.add({"mutants", "lists the faulty nodes that make each check fire", mutantsCommand});
  registry.add({"soak", "runs all scenarios over a range of seeds", soakCommand});
}

}  // namespace gorsetrail::sim
