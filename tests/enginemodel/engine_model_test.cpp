#include "lab/enginemodel/engine_model.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::enginemodel;

namespace {

constexpr std::uint32_t kBlock = 16;

Instant at(int value) { return Instant(milliseconds(value)); }

std::vector<PrefixHash> chainOf(std::uint64_t seed, std::size_t blocks) {
  std::vector<PrefixHash> chain;
  PrefixHash last;
  for (std::size_t index = 0; index < blocks; ++index) {
    last = scheduling::extendPrefix(last, seed + index);
    chain.push_back(last);
  }
  return chain;
}

EngineRequest request(const std::string& id, std::uint64_t seed, std::uint32_t promptBlocks,
                      std::uint32_t answerTokens) {
  return {id, chainOf(seed, promptBlocks), promptBlocks * kBlock, answerTokens, 0};
}

/// Runs until the engine is idle, at most `limit` steps.
std::vector<EngineEvent> drain(EngineModel& engine, int limit = 100'000) {
  std::vector<EngineEvent> all;
  while (limit-- > 0) {
    const auto next = engine.nextStepAt();
    if (!next) {
      break;
    }
    for (EngineEvent& event : engine.advance(*next)) {
      all.push_back(std::move(event));
    }
  }
  return all;
}

std::vector<RequestFinished> finishedIn(const std::vector<EngineEvent>& events) {
  std::vector<RequestFinished> result;
  for (const EngineEvent& event : events) {
    if (const auto* finished = std::get_if<RequestFinished>(&event)) {
      result.push_back(*finished);
    }
  }
  return result;
}

EngineOptions smallOptions(std::uint32_t cacheBlocks) {
  EngineOptions options;
  options.cacheBlocks = cacheBlocks;
  return options;
}

}  // namespace

TEST_GROUP(EngineModel){};

TEST(EngineModel, EmitsEveryTokenOnceAndInOrder) {
  EngineModel engine(smallOptions(100));
  CHECK(engine.submit(request("a", 1, 4, 5), at(0)) == SubmitOutcome::Accepted);
  const std::vector<EngineEvent> events = drain(engine);
  LONGS_EQUAL(6, events.size());
  for (std::uint32_t offset = 0; offset < 5; ++offset) {
    LONGS_EQUAL(offset, std::get<TokenEmitted>(events[offset]).offset);
  }
  LONGS_EQUAL(5, finishedIn(events)[0].usage.completionTokens);
  CHECK(engine.stream("a")->finished);
}

TEST(EngineModel, StepTakesAtLeastThreeMilliseconds) {
  EngineModel engine(smallOptions(100));
  engine.submit(request("a", 1, 1, 1), at(0));
  CHECK(*engine.nextStepAt() >= at(3));
}

TEST(EngineModel, SecondRequestWithTheSamePrefixIsCachedButForItsLastBlock) {
  EngineModel engine(smallOptions(100));
  engine.submit(request("a", 1, 4, 1), at(0));
  drain(engine);
  engine.submit(request("b", 1, 4, 1), at(1000));
  LONGS_EQUAL(3 * kBlock, finishedIn(drain(engine))[0].usage.cachedTokens);
}

TEST(EngineModel, AnswerIsCachedForTheNextCall) {
  EngineModel engine(smallOptions(100));
  EngineRequest first = request("a", 1, 2, 2 * kBlock);
  first.chain = chainOf(1, 4);
  engine.submit(first, at(0));
  drain(engine);
  engine.submit(request("b", 1, 5, 1), at(1000));
  LONGS_EQUAL(4 * kBlock, finishedIn(drain(engine))[0].usage.cachedTokens);
}

TEST(EngineModel, LeastRecentlyUsedPrefixIsEvictedFromItsEnd) {
  EngineModel engine(smallOptions(10));
  engine.submit(request("a", 1, 4, 1), at(0));
  drain(engine);
  engine.submit(request("b", 100, 4, 1), at(1000));
  drain(engine);
  engine.submit(request("c", 200, 4, 1), at(2000));
  drain(engine);
  // 12 blocks were wanted of 10, and one more for each answer's tail: the end of a's went.
  const std::vector<PrefixHash> first = chainOf(1, 4);
  CHECK(engine.cache().matchedBlocks(first) < 4);
  LONGS_EQUAL(4, engine.cache().matchedBlocks(chainOf(100, 4)));
  LONGS_EQUAL(4, engine.cache().matchedBlocks(chainOf(200, 4)));
  bool evictedEnd = false;
  for (const CacheEvent& event : engine.cacheEventsAfter(0)) {
    evictedEnd |= event.kind == CacheEventKind::Evicted && event.prefix == first.back();
  }
  CHECK(evictedEnd);
}

TEST(EngineModel, HeldPrefixStaysUntilItsDeadline) {
  EngineModel engine(smallOptions(10));
  engine.submit(request("a", 1, 4, 1), at(0));
  drain(engine);
  const Hold hold{"h", "p", Epoch(2), chainOf(1, 4).back(), at(5000)};
  CHECK(engine.placeHold(hold, at(100)) == HoldOutcome::Held);
  for (int turn = 1; turn < 4; ++turn) {
    engine.submit(request("x" + std::to_string(turn), turn * 1000, 4, 1), at(turn * 1000));
    drain(engine);
  }
  LONGS_EQUAL(4, engine.cache().matchedBlocks(chainOf(1, 4)));
  LONGS_EQUAL(0, engine.holds(at(5000)).size());
  LONGS_EQUAL(0, engine.cache().heldBlocks());
  engine.submit(request("y", 9000, 9, 1), at(6000));
  drain(engine);
  LONGS_EQUAL(0, engine.cache().matchedBlocks(chainOf(1, 4)));
}

TEST(EngineModel, HoldOfALowerEpochIsRefused) {
  EngineModel engine(smallOptions(10));
  engine.submit(request("a", 1, 4, 1), at(0));
  drain(engine);
  const PrefixHash prefix = chainOf(1, 4).back();
  CHECK(engine.placeHold({"h", "p", Epoch(2), prefix, at(5000)}, at(100)) == HoldOutcome::Held);
  CHECK(engine.placeHold({"h", "p", Epoch(1), prefix, at(9000)}, at(100)) ==
        HoldOutcome::StaleEpoch);
  CHECK(engine.placeHold({"g", "p", Epoch(1), PrefixHash(7), at(9000)}, at(100)) ==
        HoldOutcome::PrefixNotCached);
}

TEST(EngineModel, HoldsBeyondTheirShareAreRefused) {
  EngineModel engine(smallOptions(10));
  engine.submit(request("a", 1, 6, 1), at(0));
  drain(engine);
  CHECK(engine.placeHold({"h", "p", Epoch(1), chainOf(1, 6).back(), at(5000)}, at(100)) ==
        HoldOutcome::LimitExceeded);
  LONGS_EQUAL(0, engine.cache().heldBlocks());
}

TEST(EngineModel, HoldGivesWayWhenItAloneKeepsWorkFromStarting) {
  EngineModel engine(smallOptions(10));
  engine.submit(request("a", 1, 4, 1), at(0));
  drain(engine);
  engine.placeHold({"h", "p", Epoch(1), chainOf(1, 4).back(), at(50'000)}, at(100));
  engine.submit(request("b", 100, 9, 1), at(200));
  LONGS_EQUAL(1, finishedIn(drain(engine)).size());
}

TEST(EngineModel, YieldingHoldsGiveWayToRunningWork) {
  for (const bool yields : {false, true}) {
    EngineOptions options = smallOptions(10);
    options.holdsYield = yields;
    EngineModel engine(options);
    engine.submit(request("a", 1, 4, 1), at(0));
    drain(engine);
    engine.placeHold({"h", "p", Epoch(1), chainOf(1, 4).back(), at(50'000)}, at(100));
    engine.submit(request("long", 100, 3, 30), at(200));
    engine.submit(request("next", 200, 3, 1), at(200));
    // The second request can join the batch when the step under way ends.
    engine.advance(*engine.nextStepAt());
    LONGS_EQUAL(yields ? 2 : 1, engine.load().running);
    LONGS_EQUAL(yields ? 0 : 4, engine.cache().heldBlocks());
    LONGS_EQUAL(2, finishedIn(drain(engine)).size());
  }
}

TEST(EngineModel, HigherPriorityStartsFirstAndTheBatchIsBounded) {
  EngineOptions options = smallOptions(1000);
  options.maximumRunning = 1;
  EngineModel engine(options);
  engine.submit(request("running", 1, 1, 10), at(0));
  engine.submit(request("low", 100, 1, 1), at(0));
  EngineRequest urgent = request("high", 200, 1, 1);
  urgent.priority = 5;
  engine.submit(urgent, at(0));
  LONGS_EQUAL(1, engine.load().running);
  LONGS_EQUAL(2, engine.load().queued);
  const std::vector<RequestFinished> finished = finishedIn(drain(engine));
  STRCMP_EQUAL("high", finished[1].id.c_str());
  STRCMP_EQUAL("low", finished[2].id.c_str());
}

TEST(EngineModel, CancelFreesMemoryAndReportsTheTokensSoFar) {
  EngineModel engine(smallOptions(20));
  engine.submit(request("a", 1, 4, 100), at(0));
  engine.advance(*engine.nextStepAt());
  CHECK(engine.cancel("a", at(20)));
  CHECK_FALSE(engine.cancel("a", at(20)));
  const std::vector<RequestFinished> finished = finishedIn(drain(engine));
  LONGS_EQUAL(1, finished.size());
  CHECK(finished[0].cancelled);
  CHECK(finished[0].usage.completionTokens < 100);
  LONGS_EQUAL(0, engine.cache().reservedBlocks());
}

TEST(EngineModel, RefusesWhenLeavingDoubledTooLongOrFull) {
  EngineOptions options = smallOptions(20);
  options.maximumQueued = 1;
  options.maximumRunning = 1;
  EngineModel engine(options);
  CHECK(engine.submit(request("long", 1, 20, 1), at(0)) == SubmitOutcome::TooLong);
  engine.submit(request("a", 1, 4, 100), at(0));
  CHECK(engine.submit(request("a", 1, 4, 100), at(0)) == SubmitOutcome::DuplicateId);
  engine.submit(request("b", 1, 4, 100), at(0));
  CHECK(engine.submit(request("c", 1, 4, 100), at(0)) == SubmitOutcome::QueueFull);
  engine.setLeaving(true);
  CHECK(engine.submit(request("d", 1, 4, 1), at(0)) == SubmitOutcome::Leaving);
  LONGS_EQUAL(2, finishedIn(drain(engine)).size());
}

TEST(EngineModel, ExportedPrefixCanBeImportedElsewhere) {
  EngineModel source(smallOptions(20));
  EngineModel target(smallOptions(20));
  source.submit(request("a", 1, 4, 1), at(0));
  drain(source);
  LONGS_EQUAL(4, target.importPrefix(source.exportPrefix(chainOf(1, 4).back())));
  target.submit(request("b", 1, 5, 1), at(1000));
  LONGS_EQUAL(4 * kBlock, finishedIn(drain(target))[0].usage.cachedTokens);
  LONGS_EQUAL(5, target.inventory().size());
}

TEST(EngineModel, SkippingEqualStepsChangesNoEndTime) {
  EngineOptions options = smallOptions(4000);
  EngineModel stepwise(options);
  options.reportTokens = false;
  EngineModel skipping(options);
  std::vector<RequestFinished> ends[2];
  EngineModel* engines[] = {&stepwise, &skipping};
  for (int which = 0; which < 2; ++which) {
    std::vector<EngineEvent> events;
    for (int index = 0; index < 40; ++index) {
      const auto number = static_cast<std::uint32_t>(index);
      engines[which]->submit(
          request("r" + std::to_string(index), number % 7 * 100, 3 + number % 50, 1 + number * 13),
          at(index * 37));
    }
    ends[which] = finishedIn(drain(*engines[which]));
  }
  LONGS_EQUAL(40, ends[0].size());
  for (std::size_t index = 0; index < ends[0].size(); ++index) {
    STRCMP_EQUAL(ends[0][index].id.c_str(), ends[1][index].id.c_str());
    CHECK(ends[0][index].at == ends[1][index].at);
  }
}
