// A soak that looks too late stood still; a node that says nothing is silent.
#include "lab/faultsoak/stall_watch.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(StallWatch) {
  Instant start{seconds(100)};
  StallWatch watch{StallLimits{}, 2, start};

  StallWatch::Look lookAt(Duration after) { return watch.look(start + after); }
  void signOfBoth(Duration after) {
    watch.onSign(0, start + after);
    watch.onSign(1, start + after);
  }
};

TEST(StallWatch, seesNothingWhileAllRun) {
  for (Duration after = milliseconds(100); after < seconds(10); after += milliseconds(100)) {
    signOfBoth(after);
    const StallWatch::Look seen = lookAt(after);
    CHECK_FALSE(seen.soakStoodStill);
    CHECK_FALSE(seen.nodeIsSilent);
  }
  CHECK(watch.stalled() == Duration::zero());
}

TEST(StallWatch, aLateLookTellsThatTheSoakStoodStill) {
  lookAt(milliseconds(100));
  CHECK(lookAt(milliseconds(2100)).soakStoodStill);
  CHECK(watch.stalled() == milliseconds(1900));
  CHECK_FALSE(lookAt(milliseconds(2200)).soakStoodStill);
}

TEST(StallWatch, oneSilentNodeIsEnough) {
  for (Duration after = milliseconds(100); after <= milliseconds(1500);
       after += milliseconds(100)) {
    watch.onSign(0, start + after);
    CHECK_FALSE(lookAt(after).nodeIsSilent);
  }
  CHECK(lookAt(milliseconds(1600)).nodeIsSilent);
  signOfBoth(milliseconds(1650));
  CHECK_FALSE(lookAt(milliseconds(1700)).nodeIsSilent);
}
