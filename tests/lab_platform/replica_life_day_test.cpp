// Whole edge nodes over loopback while replicas start again under the id that they had.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "lab/platform/replica_stand_in.h"
#include "lab/platform/store_stand_in.h"
#include "whole_node.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;
using lab::testing::Answer;
using lab::testing::Node;
using lab::testing::nodeIp;

namespace {

const char* const kConfiguration = R"({"version":1,"routes":[
 {"name":"again","host":"h","pathPrefix":"/again/","routeType":"streaming","timeoutMs":5000,
  "priority":0,"service":"m","maxAttempts":1,"resumable":true},
 {"name":"safe","host":"h","pathPrefix":"/safe/","routeType":"safe","timeoutMs":5000,
  "service":"m","maxAttempts":1},
 {"name":"unsafe","host":"h","pathPrefix":"/unsafe/","routeType":"unsafe","timeoutMs":5000,
  "service":"m","maxAttempts":1}],
 "services":[{"name":"m","engine":{"slots":4,"streamStride":10}}]})";
/// Longer than the tests take to see a restart: an answer at this moment was waited for in vain.
constexpr std::chrono::milliseconds kDeadline{4500};

std::int64_t millisecondsOfDay() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

}  // namespace

TEST_GROUP(ReplicaLifeDay) {
  std::unique_ptr<boost::asio::io_context> context;
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<ReplicaStandIn> earlier;
  std::unique_ptr<ReplicaStandIn> later;
  std::unique_ptr<Node> first;
  std::unique_ptr<Node> second;
  http::HttpClientPtr client;
  int nextRequest = 0;

  void setup() override {
    context = std::make_unique<boost::asio::io_context>(1);
    store = std::make_unique<StoreStandIn>(*context);
    earlier = std::make_unique<ReplicaStandIn>(*context, "i-1");
    earlier->startedAtMs = millisecondsOfDay() - 60000;
    client = http::makeHttpClient(*context);
    store->put("keyed.op", "config", kConfiguration);
    registers(*earlier);
    first = std::make_unique<Node>(*context, nodeIp(1), store->address());
    second = std::make_unique<Node>(*context, nodeIp(2), store->address());
    CHECK_TRUE(until([this] { return answers(*first) && answers(*second); }));
  }
  void teardown() override {
    client.reset();
    first.reset();
    second.reset();
    later.reset();
    earlier.reset();
    store.reset();
    // What was posted for the next turn of the loop may own parts of the above.
    context->restart();
    context->poll();
    context.reset();
  }

  bool until(const std::function<bool()>& isTrue,
             std::chrono::milliseconds limit = std::chrono::seconds(10)) {
    return lab::testing::runUntil(*context, isTrue, limit);
  }
  void runFor(std::chrono::milliseconds time) {
    until([] { return false; }, time);
  }
  static bool told(const Node& node, const std::string& line) {
    return node.lines.find(line) != std::string::npos;
  }
  void registers(const ReplicaStandIn& replica, const std::string& state = "ready",
                 const std::string& zone = "z") {
    store->put("keyed.servers", "i-1", replica.registration("m", state, zone));
  }
  /// The replica starts again at another address; the process of before says nothing any longer,
  /// and closes no connection.
  void startsAgain(const std::string& state = "ready", const std::string& zone = "z") {
    later = std::make_unique<ReplicaStandIn>(*context, "i-1");
    later->startedAtMs = millisecondsOfDay();
    earlier->trouble = ReplicaTrouble::Mute;
    registers(*later, state, zone);
  }
  bool knowRestart() {
    return until([this] {
      return told(*first, "replica_restarted replica=i-1") &&
             told(*second, "replica_restarted replica=i-1");
    });
  }
  http::Request requestTo(const Node& node, const std::string& target) {
    http::Request request;
    request.method = "POST";
    request.address = node.listen().clients;
    request.target = target;
    request.headers = {{"Host", "h"},
                       {"Gorsetrail-Request-Id", "q" + std::to_string(++nextRequest)},
                       {"Gorsetrail-Deadline-Ms", std::to_string(kDeadline.count())}};
    if (target.find("/stream/") != std::string::npos) {
      request.headers.push_back({"Gorsetrail-Program-Id", "p"});
      request.headers.push_back({"Gorsetrail-Token-Budget", "10000"});
      request.headers.push_back({"Gorsetrail-Token-Usage", "100,50"});
    }
    request.body = "input";
    return request;
  }
  Answer ask(const Node& node, const std::string& target = "/unsafe/x") {
    const auto answer = lab::testing::answerTo(*context, *client, requestTo(node, target));
    CHECK_TRUE(answer.has_value());
    return answer.value_or(Answer{});
  }
  bool answers(const Node& node) { return ask(node).status == 200; }
  std::string newest() const { return "q" + std::to_string(nextRequest); }
  /// A request is under way at the replica when that starts again at another address.
  Answer askAmidARestart(const std::string& target) {
    earlier->trouble = ReplicaTrouble::Mute;
    auto answer = std::make_shared<std::optional<Answer>>();
    http::ResponseHandler handler;
    handler.onDone = [answer](const http::Response& response) {
      *answer = Answer{response.status, response.body, ""};
    };
    handler.onFailure = [answer](const http::Failure&) { *answer = Answer{}; };
    const auto sentAt = std::chrono::steady_clock::now();
    client->send(requestTo(*first, target), std::move(handler));
    CHECK_TRUE(until([this] { return earlier->runs[newest()] == 1; }));
    runFor(std::chrono::milliseconds(300));
    startsAgain();
    CHECK_TRUE(until([answer] { return answer->has_value(); }));
    CHECK(std::chrono::steady_clock::now() - sentAt < kDeadline - std::chrono::milliseconds(500));
    LONGS_EQUAL(1, earlier->runs[newest()]);
    return answer->value_or(Answer{});
  }
};

TEST(ReplicaLifeDay, aNonRepeatableRequestUnderWayIsUnknownAndRunsOnce) {
  LONGS_EQUAL(502, askAmidARestart("/unsafe/x").status);
  LONGS_EQUAL(0, later->runs[newest()]);
}

TEST(ReplicaLifeDay, anIdempotentRequestUnderWayGoesOnAtTheNewLife) {
  LONGS_EQUAL(200, askAmidARestart("/safe/x").status);
  LONGS_EQUAL(1, later->runs[newest()]);
}

TEST(ReplicaLifeDay, aStreamUnderWayGoesOnAtTheNewLife) {
  const Answer answer = askAmidARestart("/again/stream/1");
  STRCMP_EQUAL("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", answer.body.c_str());
  LONGS_EQUAL(1, later->runs[newest()]);
}

TEST(ReplicaLifeDay, idleConnectionsToTheEndedProcessAreClosed) {
  LONGS_EQUAL(2, earlier->openConnections());  // Each node keeps the one that it used.
  startsAgain();
  CHECK_TRUE(knowRestart());
  CHECK_TRUE(
      until([this] { return earlier->openConnections() == 0; }, std::chrono::milliseconds(500)));
}

TEST(ReplicaLifeDay, aRestartAtTheSameAddressServesAtOnce) {
  const std::string address = earlier->address();
  earlier.reset();
  earlier = std::make_unique<ReplicaStandIn>(*context, "i-1", address);
  earlier->startedAtMs = millisecondsOfDay();
  registers(*earlier);
  CHECK_TRUE(knowRestart());
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
}

TEST(ReplicaLifeDay, aLateEntryOfTheEarlierLifeTakesNothingBack) {
  startsAgain();
  CHECK_TRUE(knowRestart());
  registers(*earlier);
  CHECK_TRUE(until([this] {
    return told(*first, "replica_entry_outdated replica=i-1") &&
           told(*second, "replica_entry_outdated replica=i-1");
  }));
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
  LONGS_EQUAL(1, later->runs[newest()]);
}

TEST(ReplicaLifeDay, nodesThatReadTheEntriesInOtherOrdersSendToTheSameLife) {
  second.reset();
  startsAgain();
  CHECK_TRUE(until([this] { return told(*first, "replica_restarted replica=i-1"); }));
  registers(*earlier);
  CHECK_TRUE(until([this] { return told(*first, "replica_entry_outdated replica=i-1"); }));
  // This one finds only the late entry in the listing, and then the new life's next heartbeat.
  second = std::make_unique<Node>(*context, nodeIp(2), store->address());
  CHECK_TRUE(until([this] { return told(*second, "replicas_listed"); }));
  registers(*later);
  CHECK_TRUE(until([this] { return told(*second, "replica_restarted replica=i-1"); }));
  for (const Node* node : {first.get(), second.get()}) {
    CHECK_TRUE(until([&] { return answers(*node); }));
    LONGS_EQUAL(1, later->runs[newest()]);
  }
}

TEST(ReplicaLifeDay, drainingBeforeAndReadyAfter) {
  registers(*earlier, "draining");
  CHECK_TRUE(until([this] { return ask(*first).status == 503; }));
  startsAgain();
  CHECK_TRUE(knowRestart());
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
}

TEST(ReplicaLifeDay, twoQuickStartsEndAtTheNewest) {
  startsAgain();
  const std::unique_ptr<ReplicaStandIn> between = std::move(later);
  between->trouble = ReplicaTrouble::Mute;
  startsAgain();
  later->startedAtMs = *between->startedAtMs + 1;
  registers(*later);
  CHECK_TRUE(knowRestart());
  registers(*between);
  const std::string started = "started_unix_ms=" + std::to_string(*later->startedAtMs);
  CHECK_TRUE(until([&] { return told(*first, started) && told(*second, started); }));
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
  LONGS_EQUAL(1, later->runs[newest()]);
}

TEST(ReplicaLifeDay, aRestartInAnotherZoneLeavesAnEvacuation) {
  store->put("keyed.op", "evacuate/z", "{}");
  CHECK_TRUE(until([this] { return ask(*first).status == 503 && ask(*second).status == 503; }));
  startsAgain("ready", "y");
  CHECK_TRUE(knowRestart());
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
}

TEST(ReplicaLifeDay, aRestartAfterAnOutageEndsTheDoubt) {
  store->trouble = StoreTrouble::Busy;
  CHECK_TRUE(until([this] {
    return told(*first, "store_lost topic=replicas") && told(*second, "store_lost topic=replicas");
  }));
  store->put("keyed.servers", "i-1", "");
  store->trouble = StoreTrouble::None;
  CHECK_TRUE(until([this] {
    return told(*first, "replica_doubted replica=i-1") &&
           told(*second, "replica_doubted replica=i-1");
  }));
  startsAgain();
  CHECK_TRUE(knowRestart());
  LONGS_EQUAL(200, ask(*first).status);
  LONGS_EQUAL(200, ask(*second).status);
  CHECK_FALSE(told(*first, "by=doubt"));
}

TEST(ReplicaLifeDay, anIdThatStopsTellingItsStartIsLoggedOnce) {
  earlier->startedAtMs.reset();
  registers(*earlier);
  registers(*earlier, "draining");
  registers(*earlier);
  const std::string line = "replica_start_untold replica=i-1";
  CHECK_TRUE(until([&] { return told(*first, line) && told(*first, "state=draining"); }));
  runFor(std::chrono::milliseconds(1000));
  const std::size_t at = first->lines.find(line);
  CHECK(first->lines.find(line, at + 1) == std::string::npos);
  LONGS_EQUAL(200, ask(*first).status);
}

TEST(ReplicaLifeDay, aStartFarAheadDoesNotLockOutTheTrueOnes) {
  const auto startedAt = earlier->startedAtMs;
  earlier->startedAtMs = millisecondsOfDay() + 3'600'000;
  registers(*earlier);
  CHECK_TRUE(until([this] { return told(*first, "replica_start_implausible replica=i-1"); }));
  earlier->startedAtMs = startedAt;
  registers(*earlier, "draining");
  CHECK_TRUE(until([this] { return ask(*first).status == 503; }));
  startsAgain();
  CHECK_TRUE(knowRestart());
  LONGS_EQUAL(200, ask(*first).status);
}
