/// \file Processor time of one placement decision before 790 replicas, for each policy: the look-up
/// in the prefix index, the views of the replicas and the policy's choice. Prints microseconds and
/// fails when prefix-affinity's p99 passes the budget.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "scheduling/prefix_index.h"
#include "scheduling/scheduling_policy.h"

namespace {

using gorsetrail::RandomSource;
using gorsetrail::scheduling::CallDescription;
using gorsetrail::scheduling::PrefixHash;
using gorsetrail::scheduling::PrefixIndex;
using gorsetrail::scheduling::PrefixMark;
using gorsetrail::scheduling::ReplicaIndex;
using gorsetrail::scheduling::ReplicaView;

constexpr std::uint32_t kReplicas = 790;
constexpr std::size_t kMarksPerReplica = 64;
constexpr std::uint64_t kPrefixes = 20'000;
/// A history of 120,000 tokens, marked every 2,048.
constexpr std::size_t kMarksPerCall = 59;
constexpr std::uint32_t kTokensPerMark = 2048;
constexpr int kWarmUp = 2'000;
constexpr int kDecisions = 50'000;
constexpr double kBudgetMicroseconds = 50.0;

struct Fleet {
  std::vector<ReplicaView> replicas{kReplicas};
  PrefixIndex index{kMarksPerReplica};
};

void fill(Fleet& fleet, RandomSource& random) {
  for (std::uint32_t number = 0; number < kReplicas; ++number) {
    ReplicaView& replica = fleet.replicas[number];
    replica.name = "lm-" + std::to_string(number);
    replica.reportedRunning = static_cast<std::uint32_t>(random.below(24));
    replica.reportedQueued = static_cast<std::uint32_t>(random.below(6));
    for (std::size_t mark = 0; mark < kMarksPerReplica; ++mark) {
      fleet.index.stored(ReplicaIndex(number),
                         {PrefixHash(random.below(kPrefixes)), kTokensPerMark});
    }
  }
}

std::vector<PrefixMark> drawMarks(RandomSource& random) {
  std::vector<PrefixMark> marks;
  for (std::uint32_t mark = 1; mark <= kMarksPerCall; ++mark) {
    marks.push_back({PrefixHash(random.below(kPrefixes)), mark * kTokensPerMark});
  }
  return marks;
}

CallDescription describeCall(RandomSource& random) {
  CallDescription call;
  call.program = gorsetrail::programIdOf({"zone", "tenant", std::to_string(random.below(100'000))});
  call.promptTokens = kMarksPerCall * kTokensPerMark;
  call.previous = ReplicaIndex(static_cast<std::uint32_t>(random.below(kReplicas)));
  call.candidates.reserve(kReplicas);
  for (std::uint32_t number = 0; number < kReplicas; ++number) {
    call.candidates.emplace_back(number);
  }
  return call;
}

/// \return microseconds of each decision, in rising order.
std::vector<double> measure(std::string_view name, Fleet& fleet) {
  const auto policy = gorsetrail::scheduling::makePolicy(name);
  RandomSource random(17);
  std::vector<double> samples;
  for (int decision = 0; decision < kWarmUp + kDecisions; ++decision) {
    const std::vector<PrefixMark> marks = drawMarks(random);
    const CallDescription call = describeCall(random);
    const auto begin = std::chrono::steady_clock::now();
    fleet.index.applyTo(marks, fleet.replicas);
    const auto choice = policy->choose(call, fleet.replicas, random);
    const auto end = std::chrono::steady_clock::now();
    if (decision >= kWarmUp && choice) {
      samples.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    }
  }
  std::sort(samples.begin(), samples.end());
  return samples;
}

}  // namespace

int main() {
  RandomSource random(5);
  Fleet fleet;
  fill(fleet, random);
  bool withinBudget = true;
  for (const std::string_view name : gorsetrail::scheduling::policyNames()) {
    const std::vector<double> samples = measure(name, fleet);
    const double median = samples[samples.size() / 2];
    const double p99 = samples[samples.size() * 99 / 100];
    std::printf("policy=%.*s replicas=%u decisions=%zu p50_us=%.2f p99_us=%.2f\n",
                static_cast<int>(name.size()), name.data(), kReplicas, samples.size(), median, p99);
    withinBudget = withinBudget && (name != "prefix-affinity" || p99 <= kBudgetMicroseconds);
  }
  return withinBudget ? 0 : 1;
}
