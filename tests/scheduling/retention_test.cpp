#include "scheduling/retention.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::scheduling;

TEST_GROUP(Retention){};

TEST(Retention, HoldsLongEnoughForUsualPauses) {
  RetentionPlanner planner(seconds(30));
  for (int count = 0; count < 100; ++count) {
    planner.returned("check", milliseconds(3000));
  }
  CHECK(planner.holdTime("check") == seconds(4));
}

TEST(Retention, DoesNotHoldForProgramsThatRarelyReturn) {
  RetentionPlanner planner(seconds(30));
  for (int count = 0; count < 100; ++count) {
    planner.ended("once");
  }
  planner.returned("once", seconds(1));
  CHECK(planner.holdTime("once") == Duration{});
}

TEST(Retention, DoesNotHoldWhenTheReturnComesLaterThanTheMemoryIsWorth) {
  RetentionPlanner planner(seconds(30));
  for (int count = 0; count < 100; ++count) {
    planner.returned("slow", seconds(200));
  }
  CHECK(planner.holdTime("slow") == Duration{});
}

TEST(Retention, HoldsForTheQuickReturnsOfAMixedWork) {
  RetentionPlanner planner(seconds(30));
  for (int count = 0; count < 100; ++count) {
    planner.returned("mixed", count % 2 == 0 ? milliseconds(1500) : milliseconds(400'000));
  }
  CHECK(planner.holdTime("mixed") == seconds(2));
}

TEST(Retention, ForgetsOldHabits) {
  RetentionPlanner planner(seconds(30));
  for (int count = 0; count < 500; ++count) {
    planner.returned("work", milliseconds(900));
  }
  for (int count = 0; count < 5000; ++count) {
    planner.returned("work", milliseconds(7000));
  }
  CHECK(planner.holdTime("work") == seconds(8));
}
