// Programs that were refused a moment ago are remembered, within a bounded number and time.
#include "routing/recent_refusals.h"

#include <string>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(RecentRefusals) {
  RecentRefusals refusals{{seconds(5), 3}};
  Instant start{seconds(100)};
};

TEST(RecentRefusals, remembersARefusalForItsLifetime) {
  CHECK_FALSE(refusals.contains("p", start));
  refusals.note("p", start);
  CHECK_TRUE(refusals.contains("p", start + milliseconds(4999)));
  CHECK_FALSE(refusals.contains("p", start + seconds(5)));
  CHECK_FALSE(refusals.contains("other", start));
}

TEST(RecentRefusals, aLaterRefusalCountsFromItsOwnTime) {
  refusals.note("p", start);
  refusals.note("p", start + seconds(4));
  refusals.note("q", start + seconds(6));  // Forgets the first refusal of `p`, not the second.
  CHECK_TRUE(refusals.contains("p", start + seconds(8)));
}

TEST(RecentRefusals, forgetsTheOldestAboveItsBound) {
  for (const char* const program : {"a", "b", "c", "d"}) {
    refusals.note(program, start);
  }
  CHECK_FALSE(refusals.contains("a", start));
  CHECK_TRUE(refusals.contains("d", start));
  LONGS_EQUAL(3, refusals.size());
}

TEST(RecentRefusals, keepsNothingOfProgramsThatAreLongGone) {
  refusals.note("a", start);
  refusals.note("b", start + seconds(10));
  LONGS_EQUAL(1, refusals.size());
}
