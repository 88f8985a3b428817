// Guards against streams continued at a version that is not the only one of late.
#include "routing/software_version_history.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(SoftwareVersionHistory) {
  SoftwareVersionHistory history{{}};
  ReplicaTable replicas;
  Instant now{seconds(100)};

  static ReplicaEntry entryOf(const char* id, const char* version) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "model";
    entry.softwareVersion = version;
    return entry;
  }
  void registerReplica(const char* id, const char* version) {
    replicas.upsert(entryOf(id, version));
    history.onSeen(entryOf(id, version), now);
  }
  void removeReplica(const char* id, const char* version) {
    history.onSeen(entryOf(id, version), now);
    replicas.remove(id);
  }
  /// Reads the registrations once a second.
  void run(int forSeconds) {
    for (int second = 0; second < forSeconds; ++second) {
      now += seconds(1);
      history.onFresh(now);
    }
  }
  std::string only(Duration streamLifetime = seconds(16)) const {
    return history.onlyVersionOf("model", replicas, streamLifetime, now).value_or("-");
  }
};

TEST(SoftwareVersionHistory, needsAHistoryAsLongAsStreamsLast) {
  history.onFresh(now);
  registerReplica("r1", "v1");
  run(19);
  STRCMP_EQUAL("-", only().c_str());
  run(1);
  STRCMP_EQUAL("v1", only().c_str());
}

TEST(SoftwareVersionHistory, countsVersionsUntilTheirStreamsAreOver) {
  registerReplica("r1", "v1");
  run(30);
  registerReplica("r2", "v2");
  STRCMP_EQUAL("-", only().c_str());
  removeReplica("r1", "v1");
  run(20);
  STRCMP_EQUAL("-", only().c_str());
  run(1);
  STRCMP_EQUAL("v2", only().c_str());
}

TEST(SoftwareVersionHistory, knowsNothingAfterAGapInItsReads) {
  registerReplica("r1", "v1");
  run(30);
  now += seconds(4);
  STRCMP_EQUAL("-", only().c_str());
  run(5);
  STRCMP_EQUAL("-", only().c_str());
  run(20);
  STRCMP_EQUAL("v1", only().c_str());
}

// All nodes were killed: what they know begins after a long stream did, at replicas that have left.
TEST(SoftwareVersionHistory, doesNotKnowTheVersionOfStreamsThatMayBeOlder) {
  registerReplica("r2", "v2");
  run(60);
  STRCMP_EQUAL("v2", only(seconds(58)).c_str());
  STRCMP_EQUAL("-", only(seconds(61)).c_str());
  run(1000);
  STRCMP_EQUAL("v2", only(seconds(600)).c_str());
  STRCMP_EQUAL("-", only(seconds(601)).c_str());
}

TEST(SoftwareVersionHistory, remembersVersionsForLongStreams) {
  registerReplica("r1", "v1");
  run(300);
  registerReplica("r2", "v2");
  removeReplica("r1", "v1");
  run(100);
  STRCMP_EQUAL("v2", only().c_str());
  STRCMP_EQUAL("-", only(seconds(120)).c_str());
}
