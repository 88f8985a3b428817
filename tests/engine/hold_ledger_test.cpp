#include "engine/hold_ledger.h"

#include <vector>

#include "engine/prefix_cursor.h"
#include "hold_world.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::engine;

namespace {

/// First and second epoch that a node may ask for.
constexpr std::uint64_t kFirstEpoch = (1U << 16) | 1;
constexpr std::uint64_t kSecondEpoch = (2U << 16) | 2;
constexpr Duration kTick = milliseconds(10);

}  // namespace

TEST_GROUP(HoldLedger) {
  HoldWorld world;
  HoldKnobs knobs;
  HoldLedger ledger{knobs};

  void begin(HoldLedger & owner, std::uint8_t program, std::uint64_t epoch = kFirstEpoch) {
    owner.onCallStarted(programOf(program), Epoch(epoch), "proof", world.now);
  }
  FinishedCall finished(std::uint8_t program, std::uint64_t epoch, const std::string& engine) {
    FinishedCall call;
    call.program = programOf(program);
    call.epoch = Epoch(epoch);
    call.backendName = engine;
    call.address = "127.0.0.1:1";
    call.prefix = scheduling::PrefixHash(7);
    call.prefixTokens = 4096;
    call.priorityLevel = 1;
    return call;
  }
  void finish(HoldLedger & owner, std::uint8_t program, const std::string& engine = "engine-a",
              std::uint64_t epoch = kFirstEpoch) {
    owner.onCallFinished(finished(program, epoch, engine), world.now);
    owner.onCallEnded(programOf(program), Epoch(epoch), world.now);
  }
  void callOnce(HoldLedger & owner, std::uint8_t program, const std::string& engine = "engine-a",
                std::uint64_t epoch = kFirstEpoch) {
    begin(owner, program, epoch);
    finish(owner, program, engine, epoch);
  }
};

TEST(HoldLedger, NamesProgramAndEpoch) {
  STRCMP_EQUAL("0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a0a.65537",
               holdNameOf(programOf(10), Epoch(kFirstEpoch)).c_str());
}

TEST(HoldLedger, HoldsDuringAPauseAndLetsGoAfterIt) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  CHECK(world.lastPlace.deadline == knobs.deadline);
  CHECK_EQUAL(1U, ledger.counters().held);
  // The planner's time for work that it does not know is 16 s.
  world.run(ledger, seconds(16));
  CHECK_EQUAL(0U, world.holds());
  CHECK_EQUAL(0U, ledger.counters().held);
  CHECK_EQUAL(1U, ledger.programs());
}

TEST(HoldLedger, NeverDropsTheHoldOfAnActiveProgramWithSlowEngines) {
  world.delay = seconds(1);
  callOnce(ledger, 1);
  world.run(ledger, seconds(3));
  begin(ledger, 1);
  for (int tick = 0; tick < 12'000; ++tick) {
    world.run(ledger, kTick);
    CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  }
  CHECK(ledger.counters().renewed >= 12);
  CHECK_EQUAL(0U, ledger.counters().expired);
}

TEST(HoldLedger, RepeatsALostRenewalBeforeTheDeadline) {
  callOnce(ledger, 1);
  begin(ledger, 1);
  world.run(ledger, seconds(1));
  world.loseAnswers = 3;
  world.run(ledger, seconds(60));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  CHECK_EQUAL(3U, ledger.counters().failed);
  CHECK_EQUAL(0U, ledger.counters().expired);
}

TEST(HoldLedger, EndsByDeadlineWhenTheOwnerDies) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(5));
  world.run(std::vector<HoldLedger*>{}, knobs.deadline - seconds(6));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  world.run(std::vector<HoldLedger*>{}, seconds(2));
  CHECK_EQUAL(0U, world.holds());
}

TEST(HoldLedger, AnOwnerPausedPastTheDeadlineDoesNotRenew) {
  callOnce(ledger, 1);
  begin(ledger, 1);
  world.run(ledger, seconds(1));
  world.run(std::vector<HoldLedger*>{}, seconds(60));
  world.run(ledger, seconds(30));
  CHECK_EQUAL(0U, world.holds());
  CHECK_EQUAL(1U, ledger.counters().expired);
  finish(ledger, 1);  // A quorum has the outcome: it is the owner after all.
  world.run(ledger, seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
}

TEST(HoldLedger, ReleasesAtClose) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  ledger.onProgramClosed(programOf(1), world.now);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(0U, world.holds());
  CHECK_EQUAL(0U, ledger.programs());
  CHECK_EQUAL(0U, ledger.pending());
}

TEST(HoldLedger, RepeatsAReleaseWhoseAnswerWasLost) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  world.cut = true;
  ledger.onProgramClosed(programOf(1), world.now);
  world.run(ledger, seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  world.cut = false;
  world.run(ledger, knobs.retryAfter);
  CHECK_EQUAL(0U, world.holds());
  CHECK_EQUAL(0U, ledger.pending());
}

TEST(HoldLedger, ARepeatedReleaseDoesNotEndTheNextHold) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  world.loseAnswers = 1;
  callOnce(ledger, 1, "engine-b");  // Releases at engine-a; that answer is lost.
  world.run(ledger, seconds(1));
  callOnce(ledger, 1, "engine-a");
  world.run(ledger, seconds(6));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  CHECK_EQUAL(1U, world.holds());
}

TEST(HoldLedger, FollowsTheProgramToAnotherEngine) {
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  callOnce(ledger, 1, "engine-b");
  world.run(ledger, seconds(1));
  CHECK(world.holdsAt("engine-b", 1, kFirstEpoch));
  CHECK_EQUAL(1U, world.holds());
}

TEST(HoldLedger, TheNewOwnerReplacesTheHoldOfTheFormerOne) {
  HoldLedger successor{knobs};
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  callOnce(successor, 1, "engine-a", kSecondEpoch);
  world.run(successor, seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kSecondEpoch));
  CHECK_EQUAL(1U, world.holds());
  CHECK_EQUAL(1U, successor.counters().reaped);
}

TEST(HoldLedger, ALateOrderOfTheFormerOwnerIsReaped) {
  HoldLedger successor{knobs};
  callOnce(successor, 1, "engine-a", kSecondEpoch);
  begin(successor, 1, kSecondEpoch);
  world.run(successor, seconds(1));
  PlaceHold late = world.lastPlace;
  late.epoch = Epoch(kFirstEpoch);
  late.deadline = seconds(3600);  // Longer than a node asks for, so that only the reaper ends it.
  CHECK(world.place(late) == HoldOutcome::Done);
  world.run(successor, knobs.reconcileInterval + seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kSecondEpoch));
  CHECK_EQUAL(1U, world.holds());
}

TEST(HoldLedger, AFormerOwnerCannotReleaseTheHoldOfItsSuccessor) {
  HoldLedger successor{knobs};
  callOnce(ledger, 1);
  world.run(ledger, seconds(1));
  callOnce(successor, 1, "engine-a", kSecondEpoch);
  world.run(successor, seconds(1));
  ledger.onSuperseded(programOf(1), world.now);
  world.run({&ledger, &successor}, seconds(2));
  CHECK(world.holdsAt("engine-a", 1, kSecondEpoch));
  CHECK_EQUAL(1U, world.holds());
}

TEST(HoldLedger, LearnsOfItsSuccessorFromAnInventory) {
  HoldLedger successor{knobs};
  callOnce(successor, 1, "engine-a", kSecondEpoch);
  begin(successor, 1, kSecondEpoch);
  world.run(successor, seconds(2));
  callOnce(ledger, 1);
  begin(ledger, 1);
  world.run({&ledger, &successor}, knobs.reconcileInterval + seconds(5));
  CHECK(world.holdsAt("engine-a", 1, kSecondEpoch));
  CHECK_EQUAL(1U, world.holds());
  CHECK_EQUAL(0U, ledger.programs());
}

TEST(HoldLedger, ReapsHoldsOfClosedProgramsAndLeavesThoseOfOthers) {
  callOnce(ledger, 1);
  begin(ledger, 1);
  callOnce(ledger, 2);
  world.run(ledger, seconds(1));
  PlaceHold late = world.lastPlace;  // Of program 2; it overtakes the release.
  late.deadline = seconds(3600);
  ledger.onProgramClosed(programOf(2), world.now);
  world.run(ledger, seconds(1));
  CHECK(world.place(late) == HoldOutcome::Done);
  PlaceHold ofAnother = late;
  ofAnother.program = programOf(9);
  CHECK(world.place(ofAnother) == HoldOutcome::Done);
  world.run(ledger, knobs.reconcileInterval + seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
  CHECK_FALSE(world.holdsAt("engine-a", 2, kFirstEpoch));
  CHECK(world.holdsAt("engine-a", 9, kFirstEpoch));
}

TEST(HoldLedger, PlacesAgainWhatAnEngineForgot) {
  callOnce(ledger, 1);
  begin(ledger, 1);
  world.run(ledger, milliseconds(29'500));  // The next renewal comes at 32 s.
  world.engines["engine-a"].clear();
  world.run(ledger, seconds(1));
  CHECK(world.holdsAt("engine-a", 1, kFirstEpoch));
}

TEST(HoldLedger, ReleasesEverythingWhenTheNodeStops) {
  for (std::uint8_t program = 1; program <= 5; ++program) {
    callOnce(ledger, program);
  }
  begin(ledger, 6);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(5U, world.holds());
  ledger.beginStop(world.now);
  finish(ledger, 6);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(0U, world.holds());
}

TEST(HoldLedger, ReleasesAtTheIdleLease) {
  callOnce(ledger, 1);
  world.run(ledger, knobs.idleLease + seconds(1));
  CHECK_EQUAL(0U, world.holds());
  CHECK_EQUAL(0U, ledger.programs());
}

TEST(HoldLedger, KeepsToItsBounds) {
  knobs.maximumHolds = 5;
  knobs.maximumHoldsPerEngine = 3;
  knobs.maximumPrograms = 8;
  HoldLedger bounded{knobs};
  for (std::uint8_t program = 1; program <= 20; ++program) {
    callOnce(bounded, program, program % 2 == 0 ? "engine-a" : "engine-b");
  }
  world.run(bounded, seconds(1));
  CHECK_EQUAL(8U, bounded.programs());
  CHECK_EQUAL(5U, world.holds());
  CHECK_EQUAL(3U, world.engines["engine-b"].size());
  CHECK_EQUAL(3U, bounded.counters().refused);
}

TEST(HoldLedger, LeavesAFullEngineAlone) {
  world.maximumHoldsOfEngine = 1;
  callOnce(ledger, 1);
  callOnce(ledger, 2);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(1U, ledger.counters().held);
  const std::size_t before = world.orders;
  callOnce(ledger, 3);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(before, world.orders);
}

TEST(HoldLedger, HoldsNothingThatIsNotWorthIt) {
  begin(ledger, 1);
  FinishedCall small = finished(1, kFirstEpoch, "engine-a");
  small.prefixTokens = knobs.minimumPrefixTokens - 1;
  ledger.onCallFinished(small, world.now);
  world.run(ledger, seconds(1));
  CHECK_EQUAL(0U, world.orders);
}

TEST_GROUP(PrefixCursor){};

TEST(PrefixCursor, NamesTheSamePrefixAsTheChainHoweverTheTextComes) {
  std::string text;
  for (int number = 0; number < 200; ++number) {
    text += std::to_string(number * number);
  }
  for (std::size_t part = 1; part <= 150; ++part) {
    PrefixCursor cursor(16);
    for (std::size_t start = 0; start < text.size(); start += part) {
      cursor.append(std::string_view(text).substr(start, part));
    }
    CHECK(cursor.last() == scheduling::prefixChainOf(text, 16).back());
  }
}
