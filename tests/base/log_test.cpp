#include "base/log.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(Log){};

TEST(Log, ValueCannotForgeAnotherFieldOrLine) {
  const std::string line =
      formatLogLine("call_refused", {{"tenant", "a\nevent=fake"}, {"count", std::uint64_t{3}}});
  STRCMP_EQUAL("event=call_refused tenant=\"a\\x0aevent=fake\" count=3", line.c_str());
}
