// A replica that starts again under its id: its streams break off, and a second run is seen.
#include "lab/faultsoak/soak_replica.h"

#include <functional>
#include <map>
#include <optional>

#include "http/http_client.h"
#include "platform/names.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(SoakReplica) {
  PromiseWatcher watcher{10};
  std::unique_ptr<boost::asio::io_context> context;
  services::TimerServicePtr timers;
  std::unique_ptr<SoakReplica> replica;
  http::HttpClientPtr client;
  std::string body;
  std::optional<bool> whole;

  void setup() override {
    context = std::make_unique<boost::asio::io_context>(1);
    timers = services::makeTimerService(*context);
    replica = std::make_unique<SoakReplica>(*context, *timers, watcher, "i-0", 1);
    client = http::makeHttpClient(*context);
  }
  void teardown() override {
    client.reset();
    replica.reset();
    timers.reset();
    context->restart();
    context->poll();
    context.reset();
  }
  void send(const std::string& id, SoakRoute route) {
    watcher.onSent({id, route, "p1", "", SoakReplica::wholeStream(id), false});
  }
  /// As a node that sends a client's attempt on.
  void forward(const std::string& id, const std::string& instance = "i-0") {
    whole.reset();
    body.clear();
    http::Request request;
    request.method = "POST";
    request.address = replica->address();
    request.target = "/kept/stream/x";
    request.headers = {{"Host", "h"},
                       {platform::header::kRequestId, id},
                       {platform::header::kExpectInstance, instance}};
    http::ResponseHandler handler;
    handler.onBody = [this](std::string_view part) { body += part; };
    handler.onDone = [this](const http::Response&) { whole = true; };
    handler.onFailure = [this](const http::Failure&) { whole = false; };
    client->send(std::move(request), std::move(handler));
  }
  void runUntil(const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!reached() && std::chrono::steady_clock::now() < end) {
      context->restart();
      context->run_for(std::chrono::milliseconds(1));
    }
    CHECK(reached());
  }
};

TEST(SoakReplica, streamsBreakOffWhenItStartsAgain) {
  send("q1", SoakRoute::Turn);
  forward("q1");
  runUntil([this] { return !body.empty(); });
  replica->startAgain();
  runUntil([this] { return whole.has_value(); });
  CHECK_FALSE(*whole);
}

TEST(SoakReplica, theNextLifeServes) {
  replica->startAgain();
  send("q1", SoakRoute::Turn);
  forward("q1");
  runUntil([this] { return whole.has_value(); });
  CHECK(*whole);
  const std::vector<std::string> versions = SoakReplica::takeVersions(body);
  STRCMP_EQUAL(SoakReplica::wholeStream("q1").c_str(), body.c_str());
  LONGS_EQUAL(SoakReplica::kEventsOfStream, versions.size());
  STRCMP_EQUAL("v1", versions.front().c_str());
}

TEST(SoakReplica, eventsOfTheNextProcessTellItsVersion) {
  replica->replace("i-9", "v2");
  send("q1", SoakRoute::Resumable);
  forward("q1", "i-9");
  runUntil([this] { return whole.has_value(); });
  STRCMP_EQUAL("v2", SoakReplica::takeVersions(body).front().c_str());
}

TEST(SoakReplica, aVersionThatWasCutShortIsNoPartOfTheAnswer) {
  for (const char* cut : {"e", "event: ", "event: v"}) {
    std::string partial = std::string("id: 1\nevent: v1\ndata: x\n\nid: 2\n") + cut;
    LONGS_EQUAL(1, SoakReplica::takeVersions(partial).size());
    STRCMP_EQUAL("id: 1\ndata: x\n\nid: 2\n", partial.c_str());
  }
}

TEST(SoakReplica, aRequestOfTheLifeBeforeThatRunsAgainIsSeen) {
  send("q1", SoakRoute::Turn);
  forward("q1");
  runUntil([this] { return !body.empty(); });
  replica->startAgain();
  runUntil([this] { return whole.has_value(); });
  LONGS_EQUAL(0, watcher.violations().size());
  forward("q1");
  runUntil([this] { return whole.has_value(); });
  LONGS_EQUAL(1, watcher.violations().size());
  STRCMP_EQUAL("at_most_once", watcher.violations().front().promise.c_str());
}

TEST(SoakReplica, tellsWhoseRequestCameToIt) {
  std::string expected;
  replica->onMisdirected = [&expected](const std::string& instance) { expected = instance; };
  send("q1", SoakRoute::Turn);
  forward("q1", "i-9");
  runUntil([this] { return whole.has_value(); });
  STRCMP_EQUAL("i-9", expected.c_str());
}

// The soak's overload is real only if a full replica makes requests wait and refuses the rest.
TEST(SoakReplica, fullReplicasQueueAndThenRefuseAsNotRun) {
  SoakReplica full(*context, *timers, watcher, "i-0", 1, {1, 1});
  std::map<std::string, unsigned> statuses;
  std::size_t ended = 0;
  for (const char* id : {"q1", "q2", "q3"}) {
    send(id, SoakRoute::Turn);
    http::Request request;
    request.method = "POST";
    request.address = full.address();
    request.target = "/kept/stream/x";
    request.headers = {{"Host", "h"},
                       {platform::header::kRequestId, id},
                       {platform::header::kTenant, "t-1"},
                       {platform::header::kExpectInstance, "i-0"}};
    http::ResponseHandler handler;
    handler.onHead = [&statuses, id](unsigned status, const std::vector<http::Header>&) {
      statuses[id] = status;
    };
    handler.onDone = [&ended](const http::Response&) { ++ended; };
    handler.onFailure = [](const http::Failure&) { FAIL("no answer"); };
    client->send(std::move(request), std::move(handler));
  }
  runUntil([&] { return ended == 1; });
  LONGS_EQUAL(2, full.heldByTenant().at("t-1"));
  runUntil([&] { return ended == 3; });
  std::size_t refused = 0;
  for (const auto& [id, status] : statuses) {
    refused += status == 503 ? 1 : 0;
    watcher.onAnswer(id, {status, false, ""});
  }
  LONGS_EQUAL(1, refused);
  LONGS_EQUAL(0, full.heldByTenant().at("t-1"));
  LONGS_EQUAL(0, watcher.violations().size());
}
