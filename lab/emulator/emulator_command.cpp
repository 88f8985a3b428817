#include "lab/emulator/emulator_command.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "lab/emulator/comparison.h"

DEFINE_string(workload, "", "workload file (JSON) of emulate and compare");
DEFINE_string(policy, "prefix-affinity", "policy of emulate");
DEFINE_string(policies, "", "policies of compare, by commas; empty: all, with the bounds");
DEFINE_string(loads, "0.8", "loads of compare, by commas");
DEFINE_double(load, 0.8, "arrivals as a share of the workload's capacity");
DEFINE_bool(retention, true, "whether prefix-affinity holds prefixes while tools run");
DEFINE_uint32(seed_count, 3, "seeds of compare, from --seed on");
DECLARE_uint32(threads);

namespace gorsetrail::emulator {
namespace {

using Json = nlohmann::json;

std::vector<std::string> splitByCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

int fail(const Error& error) {
  std::cerr << error.toText() << "\n";
  return lab::kExitUsage;
}

std::optional<Error> checkPolicy(const std::string& policy) {
  const std::vector<std::string_view> names = emulatedPolicies();
  if (std::find(names.begin(), names.end(), policy) != names.end()) {
    return std::nullopt;
  }
  std::string known;
  for (const std::string_view name : names) {
    known += " " + std::string(name);
  }
  return Error{ErrorKind::InvalidField, "--policy", "no policy " + policy, "take one of:" + known};
}

std::uint64_t seedOf(const lab::CommandArguments& arguments) {
  return arguments.seed == 0 ? 1 : arguments.seed;
}

int emulate(const lab::CommandArguments& arguments) {
  const Result<Workload> workload = readWorkload(FLAGS_workload);
  if (!succeeded(workload)) {
    return fail(errorOf(workload));
  }
  if (const auto error = checkPolicy(FLAGS_policy)) {
    return fail(*error);
  }
  Emulation emulation(valueOf(workload),
                      {FLAGS_policy, FLAGS_load, seedOf(arguments), FLAGS_retention});
  const Figures figures = emulation.run();
  if (arguments.format == "json") {
    const Json json{{"workload", valueOf(workload).name},
                    {"policy", FLAGS_policy},
                    {"load", FLAGS_load},
                    {"seed", seedOf(arguments)},
                    {"figures", figures}};
    std::cout << json.dump() << "\n";
    return lab::kExitSuccess;
  }
  for (const auto& [name, value] : figures) {
    std::printf("%-28s %16.2f\n", name.c_str(), value);
  }
  return lab::kExitSuccess;
}

constexpr const char* kTableFigures[] = {
    "program_latency_p50_ms", "program_latency_p95_ms", "program_latency_p99_ms",
    "first_token_p95_ms",     "between_tokens_p95_ms",  "wasted_recomputed_tokens",
    "wasted_idle_token_s",    "goodput_programs_per_s", "abandoned",
    "tenant_fairness_jain"};

void printTable(const std::vector<PolicyRuns>& results) {
  std::printf("%-20s %5s", "policy", "load");
  for (const char* figure : kTableFigures) {
    std::printf(" %25s", figure);
  }
  std::printf("\n");
  for (const PolicyRuns& result : results) {
    std::printf("%-20s %5.2f", result.policy.c_str(), result.load);
    for (const char* figure : kTableFigures) {
      std::printf(" %25.2f", result.spreadOf(figure).mean);
    }
    std::printf("\n");
  }
}

void printJson(const Workload& workload, const std::vector<PolicyRuns>& results) {
  Json list = Json::array();
  for (const PolicyRuns& result : results) {
    Json figures = Json::object();
    for (const auto& [name, value] : result.runs.front()) {
      const FigureSpread spread = result.spreadOf(name);
      figures[name] = {
          {"mean", spread.mean}, {"lowest", spread.lowest}, {"highest", spread.highest}};
    }
    list.push_back({{"policy", result.policy},
                    {"load", result.load},
                    {"seeds", result.runs.size()},
                    {"figures", figures}});
  }
  std::cout << Json{{"workload", workload.name}, {"results", list}}.dump() << "\n";
}

int compare(const lab::CommandArguments& arguments) {
  const Result<Workload> workload = readWorkload(FLAGS_workload);
  if (!succeeded(workload)) {
    return fail(errorOf(workload));
  }
  ComparisonOptions options;
  options.policies = splitByCommas(FLAGS_policies);
  if (options.policies.empty()) {
    const std::vector<std::string_view> all = emulatedPolicies();
    options.policies.assign(all.begin(), all.end());
  }
  for (const std::string& policy : options.policies) {
    if (const auto error = checkPolicy(policy)) {
      return fail(*error);
    }
  }
  for (const std::string& load : splitByCommas(FLAGS_loads)) {
    options.loads.push_back(std::strtod(load.c_str(), nullptr));
  }
  options.firstSeed = seedOf(arguments);
  options.seeds = std::max(1U, FLAGS_seed_count);
  options.threads = FLAGS_threads;
  options.retention = FLAGS_retention;
  const std::vector<PolicyRuns> results = comparePolicies(valueOf(workload), options);
  if (arguments.format == "json") {
    printJson(valueOf(workload), results);
  } else {
    printTable(results);
  }
  return lab::kExitSuccess;
}

}  // namespace

void addCommands(lab::CommandRegistry& registry) {
  registry.add({"emulate", "engines, workload and one policy in virtual time", emulate});
  registry.add({"compare", "several policies over the same programs and seeds", compare});
}

}  // namespace gorsetrail::emulator
