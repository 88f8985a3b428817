#include "base/ids.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(Ids){};

TEST(Ids, ProgramsOfDifferentTenantsHaveDifferentIds) {
  const ProgramKey first{"hall-1", "ab", "c"};
  const ProgramKey second{"hall-1", "a", "bc"};
  CHECK(programIdOf(first) != programIdOf(second));
}

TEST(Ids, DispatchIdTextContainsProgramEpochCallAndAttempt) {
  const DispatchId id{programIdOf({"z", "t", "n"}), Epoch(3), CallNumber(7), AttemptNumber(2)};
  STRCMP_EQUAL((id.program.toHex() + ".3.7.2").c_str(), id.toText().c_str());
}
