#include "lab/load/load_figures.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace gorsetrail::load {
namespace {

constexpr double kMedian = 0.50;
constexpr double kNinetyFifth = 0.95;
constexpr double kNinetyNinth = 0.99;

Promise promiseAt(std::size_t index) { return static_cast<Promise>(index); }

nlohmann::json promisesJson(const PromiseTally& tally) {
  nlohmann::json promises = nlohmann::json::object();
  for (std::size_t index = 0; index < kPromiseCount; ++index) {
    const Promise promise = promiseAt(index);
    promises[std::string(promiseName(promise))] = {{"checks", tally.checks(promise)},
                                                   {"violations", tally.violations(promise)}};
  }
  return promises;
}

nlohmann::json violationsJson(const PromiseTally& tally) {
  nlohmann::json list = nlohmann::json::array();
  for (const Violation& violation : tally.texts()) {
    list.push_back({{"promise", promiseName(violation.promise)}, {"text", violation.text}});
  }
  return list;
}

std::uint64_t recomputedTokens(const LoadFigures& figures) {
  return figures.promptTokens - std::min(figures.promptTokens, figures.cachedTokens);
}

std::string line(const std::string& name, const std::string& value) {
  std::string text = "  " + name;
  constexpr std::size_t kNameWidth = 28;
  text.resize(std::max(text.size() + 1, kNameWidth), ' ');
  return text + value + "\n";
}

std::string rounded(double number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", number);
  return text;
}

}  // namespace

double quantileMilliseconds(std::vector<Duration> samples, double share) {
  if (samples.empty()) {
    return 0.0;
  }
  std::ranges::sort(samples);
  const double rank = std::ceil(share * static_cast<double>(samples.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return toMilliseconds(samples[std::min(index, samples.size() - 1)]);
}

std::string summaryJson(const LoadFigures& figures, const PromiseTally& tally) {
  const auto& latencies = figures.programLatencies;
  const nlohmann::json summary = {
      {"programs_started", figures.programsStarted},
      {"programs_completed", figures.programsCompleted},
      {"calls_answered", figures.callsAnswered},
      {"calls_given_up", figures.callsGivenUp},
      {"attempts", figures.attempts},
      {"redirects", figures.redirects},
      {"errors", figures.errors},
      {"program_latency_p50_ms", quantileMilliseconds(latencies, kMedian)},
      {"program_latency_p95_ms", quantileMilliseconds(latencies, kNinetyFifth)},
      {"program_latency_p99_ms", quantileMilliseconds(latencies, kNinetyNinth)},
      {"prompt_tokens", figures.promptTokens},
      {"cached_tokens", figures.cachedTokens},
      {"recomputed_tokens", recomputedTokens(figures)},
      {"completion_tokens", figures.completionTokens},
      {"elapsed_ms", toMilliseconds(figures.elapsed)},
      {"promises", promisesJson(tally)},
      {"violation_count", tally.totalViolations()},
      {"violations", violationsJson(tally)}};
  return summary.dump(2);
}

std::string summaryTable(const LoadFigures& figures, const PromiseTally& tally) {
  const auto& latencies = figures.programLatencies;
  std::string text = "load\n";
  text += line("programs", std::to_string(figures.programsCompleted) + " of " +
                               std::to_string(figures.programsStarted) + " completed");
  text += line("calls", std::to_string(figures.callsAnswered) + " answered, " +
                            std::to_string(figures.callsGivenUp) + " given up");
  text += line("attempts", std::to_string(figures.attempts) + ", " +
                               std::to_string(figures.redirects) + " redirects");
  text += line("program latency p50/p95/p99",
               rounded(quantileMilliseconds(latencies, kMedian)) + " / " +
                   rounded(quantileMilliseconds(latencies, kNinetyFifth)) + " / " +
                   rounded(quantileMilliseconds(latencies, kNinetyNinth)) + " ms");
  text += line("prompt tokens", std::to_string(figures.promptTokens) + ", " +
                                    std::to_string(figures.cachedTokens) + " cached, " +
                                    std::to_string(recomputedTokens(figures)) + " recomputed");
  for (const auto& [kind, count] : figures.errors) {
    text += line("error " + kind, std::to_string(count));
  }
  text += "promises\n";
  for (std::size_t index = 0; index < kPromiseCount; ++index) {
    const Promise promise = promiseAt(index);
    text += line(std::string(promiseName(promise)),
                 std::to_string(tally.checks(promise)) + " checks, " +
                     std::to_string(tally.violations(promise)) + " violations");
  }
  for (const Violation& violation : tally.texts()) {
    text +=
        "VIOLATION " + std::string(promiseName(violation.promise)) + ": " + violation.text + "\n";
  }
  return text;
}

}  // namespace gorsetrail::load
