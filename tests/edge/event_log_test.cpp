// Guards against log output that blocks the process, grows without limit or is lost uncounted.
#include "edge/event_log.h"

#include <algorithm>
#include <sstream>
#include <string>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

TEST_GROUP(EventLog) {
  std::string written;
  std::size_t writableBytes = SIZE_MAX;
  Instant now{seconds(100)};
  EventLogKnobs knobs;

  EventLog make() {
    return EventLog(
        [this](std::string_view bytes) {
          const std::size_t accepted = std::min(writableBytes, bytes.size());
          written += bytes.substr(0, accepted);
          return accepted;
        },
        [this] { return now; }, knobs);
  }
  std::size_t lines() const {
    return static_cast<std::size_t>(std::count(written.begin(), written.end(), '\n'));
  }
};

TEST(EventLog, writesEventsWithTheirFields) {
  EventLog log = make();
  log.important("store_lost", {{"reason", "two words"}, {"count", std::uint64_t{3}}});
  log.flush();
  STRCMP_CONTAINS("event=store_lost reason=\"two words\" count=3\n", written.c_str());
}

TEST(EventLog, limitsRoutineLinesAndReportsHowManyWereDropped) {
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

TEST(EventLog, doesNotRateLimitImportantLines) {
  knobs.routineLinesPerSecond = 1;
  EventLog log = make();
  for (int line = 0; line < 50; ++line) {
    log.routine("dispatch", {});
    log.important("request_ended", {});
  }
  log.flush();
  LONGS_EQUAL(52, lines());
}

TEST(EventLog, dropsAndCountsLinesWhileTheOutputIsBlocked) {
  writableBytes = 0;
  knobs.bufferBytes = 2000;
  EventLog log = make();
  for (int line = 0; line < 1000; ++line) {
    log.important("request_ended", {{"request", "0123456789abcdef"}});
    log.flush();
  }
  CHECK(log.leftOut() > 900);
  writableBytes = SIZE_MAX;
  log.flush();
  CHECK(written.size() < 3000);
  log.flush();
  STRCMP_CONTAINS("event=lines_left_out", written.c_str());
}

namespace {

constexpr int kRefusals = 2000;
constexpr int kPrograms = 200;
constexpr int kRoutineLines = 60;
constexpr int kFlushesPerSecond = 4;
/// Capacity of an empty pipe.
constexpr std::size_t kPipeBytes = 65536;
/// Makes a line about as long as the longest line of a refusal.
const std::string kLongValue(kRefusalBytes / 2 - 100, 'x');

}  // namespace

/// One second of refusals with two lines each, mixed with routine lines.
TEST_GROUP(EventLogBurst) {
  std::string written;
  Instant now{seconds(100)};
  EventLog log{[this](std::string_view bytes) {
                 const std::size_t accepted = std::min(kPipeBytes, bytes.size());
                 written += bytes.substr(0, accepted);
                 return accepted;
               },
               [this] { return now; },
               {}};

  /// \param write writes one line of a refused program.
  template <class Write>
  void burst(Write write) {
    for (int number = 0; number < kRefusals; ++number) {
      const std::string program = "p" + std::to_string(number % kPrograms);
      write("reservation_refused", program);
      write("request_ended", program);
      if (number % (kRefusals / kRoutineLines) == 0) {
        log.routine("dispatch", {{"request", "q"}});
      }
      if (number % (kRefusals / kFlushesPerSecond) == 0) {
        now += seconds(1) / kFlushesPerSecond;
        log.flush();
      }
    }
    for (int flush = 0; flush < 2 * kFlushesPerSecond; ++flush) {
      log.flush();
    }
  }
  /// \return the number of refusals of the program with that event, logged in full or counted.
  int reportedRefusals(const std::string& program, const std::string& event) const {
    int reported = 0;
    std::istringstream lines(written);
    for (std::string line; std::getline(lines, line);) {
      if (line.find(" program=" + program + " ") == std::string::npos) {
        continue;
      }
      const std::size_t count = line.find(" count=");
      if (line.find("event=" + event + " ") != std::string::npos) {
        ++reported;
      } else if (line.find(" of=" + event + " ") != std::string::npos) {
        reported += std::stoi(line.substr(count + 7));
      }
    }
    return reported;
  }
};

TEST(EventLogBurst, importantLinesOfABurstExceedTheBuffer) {
  burst([this](const char* event, const std::string& program) {
    log.important(event, {{"program", program}, {"x", kLongValue}});
  });
  CHECK(log.leftOut() > kRefusals);
}

TEST(EventLogBurst, everyRefusalOfABurstIsLoggedOrCounted) {
  burst([this](const char* event, const std::string& program) {
    log.refusal(event, {program, "why"}, {{"program", program}, {"x", kLongValue}});
  });
  CHECK(log.leftOut() <= kRoutineLines + 1);  // Only routine lines were dropped.
  for (int program = 0; program < kPrograms; ++program) {
    const std::string name = "p" + std::to_string(program);
    LONGS_EQUAL(kRefusals / kPrograms, reportedRefusals(name, "reservation_refused"));
    LONGS_EQUAL(kRefusals / kPrograms, reportedRefusals(name, "request_ended"));
  }
}

TEST(EventLogBurst, refusalsFitWhenOtherLinesHaveFilledTheBuffer) {
  for (int line = 0; line < 2000; ++line) {
    log.important("replica_changed", {{"x", kLongValue}});
  }
  CHECK(log.leftOut() > 0);
  log.refusal("request_ended", {"p", "why"}, {{"program", "p"}, {"x", kLongValue}});
  for (int flush = 0; flush < kFlushesPerSecond; ++flush) {
    log.flush();
  }
  LONGS_EQUAL(1, reportedRefusals("p", "request_ended"));
  CHECK(written.find("refusals_counted") == std::string::npos);
}

TEST(EventLogBurst, limitsTheNumberOfRefusalKeys) {
  const EventLogKnobs knobs{};
  for (std::size_t number = 0; number < 2 * knobs.maximumRefusalCounts; ++number) {
    const std::string program = "p" + std::to_string(number);
    log.refusal("request_ended", {program, "why"}, {{"program", program}, {"x", kLongValue}});
  }
  CHECK(log.leftOut() > 0);
}
