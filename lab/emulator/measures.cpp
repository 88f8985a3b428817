#include "lab/emulator/measures.h"

#include <algorithm>
#include <cmath>

namespace gorsetrail::emulator {

double quantileOf(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0.0;
  }
  const auto rank =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

double jainIndex(const std::vector<double>& values) {
  double sum = 0.0;
  double squares = 0.0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares == 0.0 ? 1.0 : sum * sum / (static_cast<double>(values.size()) * squares);
}

Figures figuresOf(const Measures& measures, Duration measuredTime) {
  std::vector<double> slowdowns;
  for (std::size_t tenant = 0; tenant < measures.tenantPrograms.size(); ++tenant) {
    if (measures.tenantPrograms[tenant] > 0) {
      slowdowns.push_back(measures.tenantSlowdownSum[tenant] / measures.tenantPrograms[tenant]);
    }
  }
  Figures figures;
  figures["program_latency_p50_ms"] = quantileOf(measures.programLatencyMs, 0.50);
  figures["program_latency_p95_ms"] = quantileOf(measures.programLatencyMs, 0.95);
  figures["program_latency_p99_ms"] = quantileOf(measures.programLatencyMs, 0.99);
  figures["program_total_p95_ms"] = quantileOf(measures.programTotalMs, 0.95);
  figures["first_token_p95_ms"] = quantileOf(measures.firstTokenMs, 0.95);
  figures["wasted_recomputed_tokens"] = static_cast<double>(measures.recomputedTokens);
  figures["prompt_tokens"] = static_cast<double>(measures.promptTokens);
  figures["cached_tokens"] = static_cast<double>(measures.cachedTokens);
  figures["goodput_programs_per_s"] = static_cast<double>(measures.completedPrograms) /
                                      std::chrono::duration<double>(measuredTime).count();
  figures["abandoned"] = static_cast<double>(measures.leftPrograms);
  figures["abandoned_by_plan"] = static_cast<double>(measures.abandonedPrograms);
  figures["unfinished"] = static_cast<double>(measures.unfinishedPrograms);
  figures["programs_measured"] = static_cast<double>(measures.programLatencyMs.size());
  figures["calls_measured"] = static_cast<double>(measures.calls);
  figures["tenant_fairness_jain"] = jainIndex(slowdowns);
  return figures;
}

}  // namespace gorsetrail::emulator
