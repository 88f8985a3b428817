#include "engine/backend_table.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::engine;

namespace {

constexpr Instant kStart{seconds(100)};

std::vector<BackendDescription> twoBackends() {
  return {{"lm-1", "zone-1", "127.0.0.1:1", "model", false},
          {"lm-2", "zone-2", "127.0.0.1:2", "model", false}};
}

const std::vector<std::string> kNames = {"lm-1", "lm-2"};

}  // namespace

TEST_GROUP(BackendTable) {
  BackendTable table;
  void setup() override { table.update(twoBackends(), kStart); }
  std::size_t usable(Instant now) { return table.candidates(kNames, {}, now).usable.size(); }
  void failThreeTimes(const std::string& name) {
    for (int failure = 0; failure < 3; ++failure) {
      table.onDispatched(name, kStart);
      table.onFailed(name, kStart);
    }
  }
};

TEST(BackendTable, CircuitOpensThenLetsOneCallTryAndClosesOnSuccess) {
  failThreeTimes("lm-1");
  CHECK_EQUAL(1U, usable(kStart));
  CHECK(table.candidates(kNames, {}, kStart).usableAt.has_value());
  const Instant later = kStart + seconds(1);
  CHECK_EQUAL(2U, usable(later));
  table.onDispatched("lm-1", later);
  CHECK_EQUAL(1U, usable(later));
  table.onSucceeded("lm-1");
  CHECK_EQUAL(2U, usable(later));
}

TEST(BackendTable, FailedTrialOpensForLonger) {
  failThreeTimes("lm-1");
  const Instant later = kStart + milliseconds(600);
  table.onDispatched("lm-1", later);
  table.onFailed("lm-1", later);
  CHECK_EQUAL(1U, usable(later + milliseconds(600)));
  CHECK_EQUAL(2U, usable(later + milliseconds(1100)));
}

TEST(BackendTable, FailuresFarApartDoNotOpenTheCircuit) {
  for (int failure = 0; failure < 10; ++failure) {
    table.onFailed("lm-1", kStart + failure * seconds(20));
  }
  CHECK_EQUAL(2U, usable(kStart + seconds(181)));
}

TEST(BackendTable, LeavingBackendGetsNothingNewWhoeverSaysSo) {
  table.setLeaving("lm-1", true, kStart);
  CHECK_EQUAL(1U, usable(kStart));
  CHECK(!table.candidates({"lm-1"}, {}, kStart).usableAt.has_value());
  table.setLeavingByNotice(backendHashOf("lm-1"), false, kStart);
  CHECK_EQUAL(2U, usable(kStart));
  auto backends = twoBackends();
  backends[1].leaving = true;
  table.update(backends, kStart);
  CHECK_EQUAL(1U, usable(kStart));
}

TEST(BackendTable, NoticeOfABackendHoldsWhenItsBundleComesLater) {
  table.setLeavingByNotice(backendHashOf("lm-3"), true, kStart);
  auto backends = twoBackends();
  backends.push_back({"lm-3", "zone-1", "127.0.0.1:3", "model", false});
  table.update(backends, kStart);
  CHECK(table.candidates({"lm-3"}, {}, kStart).usable.empty());
}

TEST(BackendTable, LaggingReportDoesNotLiftAFreshLeavingMark) {
  table.setLeaving("lm-1", true, kStart);
  CHECK(!table.mayServeAgain("lm-1", kStart + seconds(2)));
  CHECK(table.mayServeAgain("lm-1", kStart + seconds(11)));
}

TEST(BackendTable, NewBundleKeepsWhatIsKnownOfBackendsThatStay) {
  table.onDispatched("lm-2", kStart);
  auto backends = twoBackends();
  backends.erase(backends.begin());
  table.update(backends, kStart);
  CHECK_EQUAL(1U, table.ownOutstanding("lm-2"));
  CHECK_EQUAL(0U, table.ownOutstanding("lm-1"));
}

TEST(BackendTable, YoungerReportWinsAndViewTellsItsAge) {
  table.onReport("lm-1", {5, 1, 0, kStart});
  table.onDigest({{{backendHashOf("lm-1"), 9, 0, 0, 4000}}}, kStart + seconds(1));
  table.onDigest({{{backendHashOf("lm-2"), 7, 0, 0, 500}}}, kStart + seconds(1));
  const Instant now = kStart + seconds(1);
  const auto candidates = table.candidates(kNames, {}, now).usable;
  const auto& view = table.view(candidates, std::nullopt, now);
  CHECK_EQUAL(5U, view[0].reportedRunning);
  CHECK(view[0].reportAge == seconds(1));
  CHECK_EQUAL(7U, view[1].reportedRunning);
  CHECK(view[1].reportAge == milliseconds(500));
}

TEST(BackendTable, DigestIsBoundedAndKeepsRoomForOtherZones) {
  std::vector<BackendDescription> backends;
  for (int number = 0; number < 100; ++number) {
    const std::string zone = number % 2 == 0 ? "zone-1" : "zone-2";
    backends.push_back({"lm-" + std::to_string(number), zone, "127.0.0.1:1", "model", false});
  }
  table.update(backends, kStart);
  for (const BackendDescription& backend : backends) {
    table.onReport(backend.name, {1, 0, 0, kStart});
  }
  const LoadDigest digest = table.digestFor("zone-1", kStart + seconds(1));
  CHECK_EQUAL(kMaximumReplicas, digest.replicas.size());
  int otherZone = 0;
  for (const ReplicaLoad& load : digest.replicas) {
    const auto index = table.indexOfHash(load.backendHash);
    otherZone += table.description(*index).zone == "zone-2" ? 1 : 0;
  }
  CHECK_EQUAL(8, otherZone);
  CHECK(table.digestFor("zone-1", kStart + seconds(40)).replicas.empty());
}

TEST(BackendTable, PreviousReplicasAreBoundedAndKeepWhatIsAskedFor) {
  PreviousReplicas previous(100);
  const ProgramId kept = programIdOf({"z", "t", "kept"});
  previous.remember(kept, {1, 10});
  for (int number = 0; number < 1000; ++number) {
    previous.remember(programIdOf({"z", "t", std::to_string(number)}), {2, 20});
    CHECK(previous.find(kept).has_value());
  }
  CHECK(previous.size() <= 100);
  CHECK(!previous.find(programIdOf({"z", "t", "0"})).has_value());
}
