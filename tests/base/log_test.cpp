#include "base/log.h"

#include "log_capture.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

TEST_GROUP(Log){};

TEST(Log, ValueCannotForgeAnotherFieldOrLine) {
  const std::string line =
      formatLogLine("call_refused", {{"tenant", "a\nevent=fake"}, {"count", std::uint64_t{3}}});
  STRCMP_EQUAL("event=call_refused tenant=\"a\\x0aevent=fake\" count=3", line.c_str());
}

TEST(Log, SinkReceivesOnlyLinesAtOrAboveTheMinimumLevel) {
  LogCapture log;
  logEvent(LogLevel::Debug, "dropped", {});
  logEvent(LogLevel::Warning, "kept", {{"count", std::uint64_t{3}}});
  LONGS_EQUAL(1, log.lines.size());
  STRCMP_EQUAL("event=kept count=3", log.lines.front().c_str());
}

TEST(Log, LevelsAreParsedFromSettings) {
  CHECK(logLevelNamed("debug") == LogLevel::Debug);
  CHECK(logLevelNamed("warning") == LogLevel::Warning);
  CHECK(logLevelNamed("error") == LogLevel::Error);
  CHECK(logLevelNamed("no such level") == LogLevel::Info);
}
