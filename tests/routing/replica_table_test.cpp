// Changes of registrations, and grace periods of lapsed ones.
#include "routing/replica_table.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

ReplicaEntry entryOf(const std::string& id, const std::string& service) {
  ReplicaEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = "10.0.0.1:80";
  entry.slots = 4;
  return entry;
}

}  // namespace

TEST_GROUP(ReplicaTable) { ReplicaTable table; };

TEST(ReplicaTable, reportsChanges) {
  ReplicaEntry entry = entryOf("a", "s");
  CHECK(table.upsert(entry) == ReplicaChange::Added);
  CHECK(table.upsert(entry) == ReplicaChange::None);
  entry.draining = true;
  CHECK(table.upsert(entry) == ReplicaChange::Draining);
  CHECK_FALSE(table.ofService("s").front()->acceptsRequests());
  entry.draining = false;
  CHECK(table.upsert(entry) == ReplicaChange::Ready);
  CHECK(table.remove("a") == ReplicaChange::Removed);
  CHECK(table.remove("a") == ReplicaChange::None);
  CHECK(table.ofService("s").empty());
}

TEST(ReplicaTable, aRemovedReplicaAcceptsNoRequestsWhileStillReferenced) {
  table.upsert(entryOf("a", "s"));
  const ReplicaPtr held = table.ofService("s").front();
  table.remove("a");
  CHECK_FALSE(held->acceptsRequests());
}

TEST(ReplicaTable, movesBetweenServices) {
  table.upsert(entryOf("a", "s"));
  CHECK(table.upsert(entryOf("a", "t")) == ReplicaChange::Moved);
  CHECK(table.ofService("s").empty());
  LONGS_EQUAL(1, table.ofService("t").size());
}

TEST(ReplicaTable, findsIdsMissingFromAListing) {
  table.upsert(entryOf("a", "s"));
  table.upsert(entryOf("b", "s"));
  const auto missing = table.missingFrom({"b", "c"});
  LONGS_EQUAL(1, missing.size());
  STRCMP_EQUAL("a", missing.front().c_str());
}

TEST(ReplicaTable, aDoubtedReplicaStaysUntilItsTimeIsOver) {
  const Instant now{seconds(100)};
  table.upsert(entryOf("a", "s"));
  CHECK(table.markLapsed("a", now + seconds(2)) == ReplicaChange::Lapsed);
  CHECK(table.markLapsed("a", now + seconds(9)) == ReplicaChange::None);
  CHECK_TRUE(table.ofService("s").front()->acceptsRequests());
  CHECK(table.removeLapsed(now + seconds(1)).empty());
  LONGS_EQUAL(1, table.removeLapsed(now + seconds(2)).size());
  CHECK(table.ofService("s").empty());
}

TEST(ReplicaTable, aNewRegistrationEndsTheGracePeriod) {
  const Instant now{seconds(100)};
  table.upsert(entryOf("a", "s"));
  table.markLapsed("a", now + seconds(2));
  table.upsert(entryOf("a", "s"));
  CHECK(table.removeLapsed(now + seconds(9)).empty());
  LONGS_EQUAL(1, table.size());
}

TEST(ReplicaTable, removesADrainingReplicaWithoutGracePeriod) {
  ReplicaEntry entry = entryOf("a", "s");
  entry.draining = true;
  table.upsert(entry);
  CHECK(table.markLapsed("a", Instant{seconds(100)}) == ReplicaChange::Removed);
  LONGS_EQUAL(0, table.size());
}
