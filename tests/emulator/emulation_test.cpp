#include "lab/emulator/emulation.h"

#include <fstream>
#include <string>

#include "lab/emulator/comparison.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::emulator;

namespace {

Distribution about(double median) { return {median, 0.5, 1.0, median * 4.0}; }

/// Two replicas, two nodes, one minute of short programs with tools and sub-agents.
Workload smallWorkload() {
  Workload workload;
  workload.name = "small";
  workload.replicas = 2;
  workload.nodes = 2;
  workload.tenants = 3;
  workload.duration = seconds(60);
  workload.oneWayDelay = milliseconds(1);
  workload.reportInterval = milliseconds(1000);
  workload.eventLossProbability = 0.1;
  workload.maximumContextTokens = 8000;
  workload.engine.reportTokens = false;
  workload.engine.blockTokens = 64;
  workload.engine.cacheBlocks = 200;
  workload.engine.maximumRunning = 8;
  workload.documents = {5, 1.0, about(1000)};
  workload.bursts = {seconds(20), seconds(5), 2.0};
  ProgramClass kind;
  kind.name = "check";
  kind.systemTokens = 256;
  kind.readsDocument = true;
  kind.turns = about(4);
  kind.firstMessageTokens = about(100);
  kind.turnMessageTokens = about(100);
  kind.answerTokens = about(40);
  kind.toolMilliseconds = about(500);
  kind.subAgentProbability = 0.2;
  kind.maximumSubAgents = 2;
  workload.classes = {kind};
  return workload;
}

Figures runOnce(const Workload& workload, const std::string& policy, std::uint64_t seed) {
  Figures figures = Emulation(workload, {policy, 0.5, seed}).run();
  figures.erase("decision_us_p99");
  return figures;
}

std::size_t rootsOf(const std::vector<ProgramPlan>& plans) {
  std::size_t roots = 0;
  for (const ProgramPlan& plan : plans) {
    roots += plan.parent ? 0 : 1;
  }
  return roots;
}

}  // namespace

TEST_GROUP(Emulator){};

TEST(Emulator, EqualSeedsGiveEqualFiguresAndOthersDoNot) {
  const Workload workload = smallWorkload();
  for (const std::string_view policy : emulatedPolicies()) {
    const std::string name(policy);
    CHECK(runOnce(workload, name, 7) == runOnce(workload, name, 7));
    CHECK(runOnce(workload, name, 7) != runOnce(workload, name, 8));
  }
}

TEST(Emulator, EveryPolicyEndsEveryProgramAndCountsItsTokens) {
  const Workload workload = smallWorkload();
  const std::size_t roots = rootsOf(drawPrograms(workload, 0.5, 3));
  CHECK(roots > 20);
  double promptTokens = 0.0;
  for (const std::string_view policy : emulatedPolicies()) {
    const Figures figures = runOnce(workload, std::string(policy), 3);
    LONGS_EQUAL(roots, figures.at("programs_measured"));
    LONGS_EQUAL(0, figures.at("unfinished"));
    CHECK(figures.at("cached_tokens") + figures.at("wasted_recomputed_tokens") <=
          figures.at("prompt_tokens"));
    // The programs are the same whatever the policy does.
    CHECK(promptTokens == 0.0 || promptTokens == figures.at("prompt_tokens"));
    promptTokens = figures.at("prompt_tokens");
  }
}

TEST(Emulator, PeopleWhoWaitTooLongLeaveAndAreCounted) {
  Workload workload = smallWorkload();
  workload.classes[0].patienceMilliseconds = {50.0, 0.0, 50.0, 50.0};
  const Figures figures = runOnce(workload, "sticky-lru", 3);
  CHECK(figures.at("abandoned") > 0);
  LONGS_EQUAL(0, figures.at("unfinished"));
}

TEST(Emulator, ProgramsStayWithinTheContextAndTheRun) {
  const Workload workload = smallWorkload();
  for (const ProgramPlan& plan : drawPrograms(workload, 0.5, 3)) {
    CHECK(!plan.turns.empty());
    CHECK(plan.arrival.time_since_epoch() < workload.duration);
    CHECK(plan.turns.size() == 1 ||
          256 + plan.documentTokens + plan.newTokensFrom(0) <= workload.maximumContextTokens);
  }
}

TEST(Emulator, ComparisonRunsEachPolicyOverTheSameSeeds) {
  const Workload workload = smallWorkload();
  const auto results = comparePolicies(workload, {{"sticky-lru", "round-robin"}, {0.5}, 1, 2, 1});
  LONGS_EQUAL(2, results.size());
  LONGS_EQUAL(2, results[0].runs.size());
  Figures second = results[0].runs[1];
  second.erase("decision_us_p99");
  CHECK(second == runOnce(workload, "sticky-lru", 2));
  const FigureSpread spread = results[0].spreadOf("program_latency_p95_ms");
  CHECK(spread.lowest <= spread.mean && spread.mean <= spread.highest);
}

TEST(Emulator, WorkloadFilesOfBothSitesAreValid) {
  for (const char* name : {"paino-lumo-day", "brazos-bend-day"}) {
    const auto read = readWorkload("lab/emulator/workloads/" + std::string(name) + ".json");
    CHECK(succeeded(read));
    STRCMP_EQUAL(name, valueOf(read).name.c_str());
    LONGS_EQUAL(11, valueOf(read).replicas);
  }
}

TEST(Emulator, MissingWorkloadFileIsATypedError) {
  const auto read = readWorkload("no-such-file.json");
  CHECK_FALSE(succeeded(read));
  CHECK(errorOf(read).kind == ErrorKind::InvalidSettings);
}

TEST_GROUP(EmulatorParts){};

TEST(EmulatorParts, QuantilesAndFairness) {
  DOUBLES_EQUAL(0.0, quantileOf({}, 0.5), 0.0);
  DOUBLES_EQUAL(2.0, quantileOf({4.0, 1.0, 3.0, 2.0}, 0.5), 0.0);
  DOUBLES_EQUAL(4.0, quantileOf({4.0, 1.0, 3.0, 2.0}, 0.95), 0.0);
  DOUBLES_EQUAL(1.0, jainIndex({3.0, 3.0, 3.0}), 1e-9);
  DOUBLES_EQUAL(0.25, jainIndex({1.0, 0.0, 0.0, 0.0}), 1e-9);
}

TEST(EmulatorParts, PromptsShareNamesUpToTheFirstDifference) {
  PromptContext first(64);
  PromptContext second(64);
  for (PromptContext* context : {&first, &second}) {
    context->append(1, 100);
    context->append(2, 200);
  }
  first.append(3, 100);
  second.append(4, 100);
  LONGS_EQUAL(400 / 64, first.chain().size());
  CHECK(first.chain()[3] == second.chain()[3]);
  CHECK(first.chain()[4] != second.chain()[4]);
  CHECK(first.marks().back().prefix == first.chain().back());
}

TEST(EmulatorParts, ForesightTellsTheNearestUse) {
  Foresight foresight;
  foresight.addUser(0, {scheduling::PrefixHash(1)}, 0);
  foresight.addUser(1, {scheduling::PrefixHash(1), scheduling::PrefixHash(2)}, 0);
  foresight.setNextCall(0, Instant(seconds(5)));
  foresight.setNextCall(1, Instant(seconds(3)));
  CHECK(foresight.nextUse(scheduling::PrefixHash(1)) == Instant(seconds(3)));
  foresight.setNextCall(1, Foresight::kNever);
  CHECK(foresight.nextUse(scheduling::PrefixHash(1)) == Instant(seconds(5)));
  CHECK(foresight.nextUse(scheduling::PrefixHash(2)) == Foresight::kNever);
}
