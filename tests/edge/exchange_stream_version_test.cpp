// Guards against streams whose events come from replicas of two software versions.
#include "edge/exchange_world.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";
const std::string kThird = "id: 3\ndata: c\n\n";

}  // namespace

TEST_GROUP(ExchangeStreamVersion) {
  ExchangeWorld world;

  void setup() override {
    setVersion("r1", "v1");
    setVersion("r2", "v2");
    setVersion("r3", "v3");
  }
  void setVersion(const std::string& id, const std::string& version) {
    routing::ReplicaEntry entry = world.replicas.find(id)->entry;
    entry.softwareVersion = version;
    world.replicas.upsert(entry);
  }
  void setDraining(const std::string& id) {
    routing::ReplicaEntry entry = world.replicas.find(id)->entry;
    entry.draining = true;
    world.replicas.upsert(entry);
  }
  void wait(Duration time = milliseconds(50)) { world.timers.advance(time); }
  /// Continues the stream of q1 after an event, at a node that did not see it before.
  std::shared_ptr<ClientView> continueStream(const std::string& requestId = "q2",
                                             const std::string& after = "1") {
    CallRequest call = ExchangeWorld::turn("again");
    call.requestId = requestId;
    call.resumedRequestId = "q1";
    call.lastEventId = after;
    const auto client = world.start(call);
    wait();
    return client;
  }
  /// Lets the last dispatch bring an event and then break off with its node.
  void bringEventAndEnd(const std::shared_ptr<ClientView>& client, const std::string& event) {
    world.beginEvents();
    world.call().body(event);
    wait();
    client->observer.onGone();
  }
  /// Reads the registration of a process that took over the last replica's id some time ago.
  void learnOfRestart(Duration ago, const std::string& version = "v4") {
    routing::ReplicaEntry entry = world.replicas.find(askedReplica())->entry;
    entry.startedAt = routing::ReplicaStart(2);
    entry.softwareVersion = version;
    CHECK(world.replicas.upsert(entry, world.timers.now - ago) ==
          routing::ReplicaChange::Restarted);
  }
  void setStart(const std::string& id) {
    routing::ReplicaEntry entry = world.replicas.find(id)->entry;
    entry.startedAt = routing::ReplicaStart(1);
    world.replicas.upsert(entry);
  }
  std::string askedReplica() { return world.call().headerOf("expect"); }
  void checkRefusedWithoutDispatch(const std::shared_ptr<ClientView>& client, const char* reason) {
    LONGS_EQUAL(0, world.dispatches());
    LONGS_EQUAL(503, client->status);
    STRCMP_EQUAL("", client->retryAfter.c_str());
    STRCMP_EQUAL(reason, client->body.c_str());
  }
};

TEST(ExchangeStreamVersion, anAnswerIsNotContinuedByAReplicaOfAnotherVersion) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  wait(world.context.knobs.reachabilityCheckDelay * 2);
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(1, world.dispatches());
  STRCMP_EQUAL(kFirst.c_str(), client->body.c_str());
  CHECK_TRUE(client->closed);
}

TEST(ExchangeStreamVersion, anAnswerIsContinuedByAnotherReplicaOfItsVersion) {
  for (const char* id : {"r1", "r2", "r3"}) {
    setVersion(id, "v1");
  }
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string first = askedReplica();
  world.beginEvents();
  world.call().body(kFirst);
  wait(world.context.knobs.reachabilityCheckDelay * 2);
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(2, world.dispatches());
  CHECK(askedReplica() != first);
}

TEST(ExchangeStreamVersion, anAnswerIsNotContinuedByTheNextProcessOfTheIdWithAnotherVersion) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  setVersion(askedReplica(), "v4");
  world.call().fail(http::FailureStage::Broken);
  LONGS_EQUAL(1, world.dispatches());
  CHECK_TRUE(client->closed);
}

TEST(ExchangeStreamVersion, anAnswerWithoutAnEventMayMoveToAnotherVersion) {
  world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  wait(world.context.knobs.reachabilityCheckDelay * 2);
  world.answerReachabilityCheck(false);
  LONGS_EQUAL(2, world.dispatches());
  LONGS_EQUAL(0, world.origins.recorded.size());
}

TEST(ExchangeStreamVersion, theOriginIsRecordedBeforeTheFirstEventIsReleased) {
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.origins.onRecord = [&client] { STRCMP_EQUAL("", client->body.c_str()); };
  world.beginEvents();
  world.call().body(kFirst + kSecond);
  LONGS_EQUAL(1, world.origins.recorded.size());
  STRCMP_EQUAL("model", world.origins.recorded.front().service.c_str());
  const std::string version = world.replicas.find(askedReplica())->entry.softwareVersion;
  STRCMP_EQUAL(version.c_str(), world.origins.recorded.front().softwareVersion.c_str());
}

TEST(ExchangeStreamVersion, aStreamOfUnknownVersionIsNotContinued) {
  checkRefusedWithoutDispatch(continueStream(), "stream_origin_unknown");
}

TEST(ExchangeStreamVersion, aStreamOfConflictingRecordsIsNotContinued) {
  world.origins.known[routing::streamIdOf("q1").low] = routing::ConflictingOrigin{};
  checkRefusedWithoutDispatch(continueStream(), "stream_origin_conflicting");
}

TEST(ExchangeStreamVersion, aStreamThatItsClientDoesNotNameIsNotContinued) {
  world.knowOrigin("q1", "v1");
  CallRequest call = ExchangeWorld::turn("again");
  call.lastEventId = "1";
  checkRefusedWithoutDispatch(world.start(call), "stream_origin_unknown");
}

TEST(ExchangeStreamVersion, aStreamOfAServiceWithOneVersionIsContinuedAfterANewerRead) {
  world.context.onlyVersionOf = [](std::string_view, Duration) { return std::string("v3"); };
  const auto client = continueStream();
  LONGS_EQUAL(0, world.dispatches());
  world.context.storeReadTimes.replicasReadAt = world.timers.now;
  wait();
  STRCMP_EQUAL("r3", askedReplica().c_str());
}

// After the loss of all nodes no record is left, and the versions that a node has seen since tell
// nothing of a stream that may have begun before.
TEST(ExchangeStreamVersion, aStreamThatMayBeOlderThanTheKnownVersionsIsNotContinued) {
  world.context.onlyVersionOf = [](std::string_view, Duration streamLifetime) {
    return streamLifetime <= seconds(30) ? std::optional<std::string>("v3") : std::nullopt;
  };
  world.context.storeReadTimes.replicasReadAt = world.timers.now + seconds(1);
  continueStream("short");
  LONGS_EQUAL(1, world.dispatches());
  auto longer = std::make_shared<routing::Configuration>(*world.routes.inForce());
  longer->version = routing::ConfigurationVersion(2);
  for (routing::Route& route : longer->routes) {
    route.timeout = seconds(8);
  }
  world.routes.apply(longer);
  const auto client = continueStream("long");
  LONGS_EQUAL(503, client->status);
  STRCMP_EQUAL("stream_origin_unknown", client->body.c_str());
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeStreamVersion, aStreamOfAServiceWithOneVersionIsNotContinuedOnAnOldRead) {
  world.context.onlyVersionOf = [](std::string_view, Duration) { return std::string("v3"); };
  const auto client = continueStream();
  wait(world.context.knobs.versionCheckTimeLimit);
  checkRefusedWithoutDispatch(client, "stream_origin_unknown");
}

TEST(ExchangeStreamVersion, aStreamIsContinuedAtTheVersionThatBeganIt) {
  for (const char* version : {"v1", "v2", "v3"}) {
    world.knowOrigin("q1", version);
    continueStream(std::string("q-") + version);
    STRCMP_EQUAL(version, world.replicas.find(askedReplica())->entry.softwareVersion.c_str());
    STRCMP_EQUAL("1", world.call().headerOf("after").c_str());
  }
}

TEST(ExchangeStreamVersion, aChainOfAttemptsKeepsTheVersionOfTheFirst) {
  const auto first = world.start(ExchangeWorld::turn("again"));
  wait();
  const std::string replica = askedReplica();
  bringEventAndEnd(first, kFirst);
  const auto second = continueStream("q2", "1");
  STRCMP_EQUAL(replica.c_str(), askedReplica().c_str());
  bringEventAndEnd(second, kSecond);
  LONGS_EQUAL(2, world.origins.recorded.size());
  const auto third = continueStream("q3", "2");
  STRCMP_EQUAL(replica.c_str(), askedReplica().c_str());
  world.beginEvents();
  world.call().body(kThird);
  world.call().done();
  STRCMP_EQUAL(kThird.c_str(), third->body.c_str());
  CHECK_TRUE(third->whole);
}

TEST(ExchangeStreamVersion, aVersionThatTakesNoWorkIsRefusedFinallyAndAtOnce) {
  world.knowOrigin("q1", "v2");
  setDraining("r2");
  checkRefusedWithoutDispatch(continueStream(), "software_version_gone");
}

TEST(ExchangeStreamVersion, aVersionThatIsFullIsRefusedWithATimeToComeBack) {
  world.knowOrigin("q1", "v2");
  const auto client = continueStream();
  STRCMP_EQUAL("r2", askedReplica().c_str());
  world.call().head(503, {{"not-run", ""}});
  world.call().done();
  LONGS_EQUAL(1, world.dispatches());
  LONGS_EQUAL(503, client->status);
  CHECK(!client->retryAfter.empty());
}

TEST(ExchangeStreamVersion, aStreamIsNotContinuedByAServiceThatItsRouteHasLeft) {
  world.knowOrigin("q1", "v1", "former");
  checkRefusedWithoutDispatch(continueStream(), "stream_service_gone");
}

TEST(ExchangeStreamVersion, aStreamOfAProcessThatTookOverTheIdIsNotContinuedAtTheFormerVersion) {
  for (const char* id : {"r1", "r2", "r3"}) {
    setStart(id);
  }
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  world.beginEvents();
  world.call().body(kFirst);
  learnOfRestart(milliseconds(200));
  world.call().body(kSecond);
  STRCMP_EQUAL((kFirst + kSecond).c_str(), client->body.c_str());
  LONGS_EQUAL(2, world.origins.recorded.size());
  STRCMP_EQUAL("v4", world.origins.recorded.back().softwareVersion.c_str());
}

TEST(ExchangeStreamVersion, aContinuedStreamEndsWhenItsProcessProvesToBeOfAnotherVersion) {
  setStart("r2");
  world.knowOrigin("q1", "v2");
  const auto client = continueStream();
  world.beginEvents();
  learnOfRestart(milliseconds(200));
  world.call().body(kSecond);
  LONGS_EQUAL(502, client->status);
  STRCMP_EQUAL("software_version_gone", client->body.c_str());
}

TEST(ExchangeStreamVersion, aStreamThatBrokeOffBeforeTheNextProcessRegisteredIsNotContinued) {
  for (const char* id : {"r1", "r2", "r3"}) {
    setStart(id);
  }
  const auto client = world.start(ExchangeWorld::turn("again"));
  wait();
  bringEventAndEnd(client, kFirst);
  const std::string former = world.origins.recorded.front().softwareVersion;
  setVersion(askedReplica() == "r1" ? "r2" : "r1", former);
  learnOfRestart(milliseconds(200));
  continueStream();
  LONGS_EQUAL(1, world.dispatches());
}
