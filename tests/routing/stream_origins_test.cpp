// Guards against records of streams that change, outlast their time or grow without limit.
#include "routing/stream_origins.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(StreamOrigins) {
  StreamOrigins origins{{4}};
  Instant now{seconds(100)};

  void record(const char* stream, const char* version, Duration keepFor = seconds(20)) {
    origins.record(streamIdOf(stream), {"model", version}, now + keepFor, now);
  }
  std::string versionOf(const char* stream) const {
    const OriginState state = origins.find(streamIdOf(stream), now);
    if (const auto* const origin = std::get_if<StreamOrigin>(&state)) {
      return origin->softwareVersion;
    }
    return std::holds_alternative<ConflictingOrigin>(state) ? "conflicting" : "unknown";
  }
};

TEST(StreamOrigins, keepsARecordUntilItsExpiry) {
  record("q1", "v1");
  STRCMP_EQUAL("v1", versionOf("q1").c_str());
  STRCMP_EQUAL("unknown", versionOf("q2").c_str());
  now += seconds(19);
  record("q1", "v1");
  now += seconds(19);
  STRCMP_EQUAL("v1", versionOf("q1").c_str());
  now += seconds(1);
  STRCMP_EQUAL("unknown", versionOf("q1").c_str());
}

TEST(StreamOrigins, neverAnswersFromRecordsThatDisagree) {
  record("q1", "v1");
  record("q1", "v2");
  STRCMP_EQUAL("conflicting", versionOf("q1").c_str());
  record("q1", "v1");
  STRCMP_EQUAL("conflicting", versionOf("q1").c_str());
}

TEST(StreamOrigins, dropsExpiredRecordsBeforeLiveOnes) {
  record("short", "v1", seconds(1));
  record("long", "v1", seconds(600));
  now += seconds(2);
  for (const char* stream : {"q1", "q2", "q3"}) {
    record(stream, "v2");
  }
  LONGS_EQUAL(4, origins.size());
  LONGS_EQUAL(0, origins.droppedRecords());
  STRCMP_EQUAL("v1", versionOf("long").c_str());
}

TEST(StreamOrigins, dropsTheOldestRecordsWhenItIsFull) {
  for (const char* stream : {"q1", "q2", "q3", "q4", "q5"}) {
    record(stream, "v1");
  }
  LONGS_EQUAL(4, origins.size());
  LONGS_EQUAL(1, origins.droppedRecords());
  STRCMP_EQUAL("unknown", versionOf("q1").c_str());
  STRCMP_EQUAL("v1", versionOf("q5").c_str());
}
