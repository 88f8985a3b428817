// Log lines are bounded, count what was left out, and never hold the process up.
#include "edge/event_log.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(EventLog) {
  std::string written;
  std::size_t room = SIZE_MAX;
  Instant now{seconds(100)};
  EventLogKnobs knobs;

  EventLog make() {
    return EventLog(
        [this](std::string_view bytes) {
          const std::size_t taken = std::min(room, bytes.size());
          written += bytes.substr(0, taken);
          return taken;
        },
        [this] { return now; }, knobs);
  }
  std::size_t lines() const {
    return static_cast<std::size_t>(std::count(written.begin(), written.end(), '\n'));
  }
};

TEST(EventLog, writesLinesWithTheirFields) {
  EventLog log = make();
  log.important("store_lost", {{"reason", "two words"}, {"count", std::uint64_t{3}}});
  log.flush();
  STRCMP_CONTAINS("event=store_lost reason=\"two words\" count=3\n", written.c_str());
}

TEST(EventLog, boundsRoutineLinesAndSaysHowManyWereLeftOut) {
  knobs.routineLinesPerSecond = 10;
  EventLog log = make();
  for (int line = 0; line < 100; ++line) {
    log.routine("dispatch", {});
  }
  log.flush();
  LONGS_EQUAL(11, lines());
  STRCMP_CONTAINS("event=lines_left_out count=90", written.c_str());
  now += seconds(1);
  log.routine("dispatch", {});
  log.flush();
  LONGS_EQUAL(12, lines());
}

TEST(EventLog, writesEveryFailureWhateverElseIsWritten) {
  knobs.routineLinesPerSecond = 1;
  EventLog log = make();
  for (int line = 0; line < 50; ++line) {
    log.routine("dispatch", {});
    log.important("request_ended", {});
  }
  log.flush();
  LONGS_EQUAL(52, lines());
}

TEST(EventLog, dropsAndCountsWhenNobodyReads) {
  room = 0;
  knobs.bufferBytes = 2000;
  EventLog log = make();
  for (int line = 0; line < 1000; ++line) {
    log.important("request_ended", {{"request", "0123456789abcdef"}});
    log.flush();
  }
  CHECK(log.leftOut() > 900);
  room = SIZE_MAX;
  log.flush();
  CHECK(written.size() < 3000);
  log.flush();
  STRCMP_CONTAINS("event=lines_left_out", written.c_str());
}
