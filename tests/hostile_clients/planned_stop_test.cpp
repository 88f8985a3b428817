// A planned stop of a real node whose clients go on sending on the connections that they have,
// while its replicas are slow: whatever reached a replica is answered before the process ends.
#include <csignal>
#include <map>

#include "base/steady_clock.h"
#include "hostile_group.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

namespace {

constexpr unsigned kStopLimitS = 5;
constexpr Duration kSendInterval = milliseconds(60);
constexpr std::size_t kKeptConnections = 16;
constexpr const char* kHeldPath = "/unsafe/held";

/// What became of one request.
struct Outcome {
  bool hasEnded = false;
  unsigned status = 0;  ///< 0: no answer.
};

}  // namespace

TEST_GROUP_BASE(PlannedStop, HostileGroup) {
  http::HttpClientPtr client;
  std::map<std::string, Outcome> outcomes;

  void setup() override {
    settings.stopLimitS = kStopLimitS;
    HostileGroup::setup();
    client = http::makeHttpClient(world->context());
    for (std::size_t number = 0; number < kKeptConnections; ++number) {
      send("/safe/open", "3000");
    }
    CHECK_TRUE(world->runUntil([this] { return haveAllEnded(); }));
    outcomes.clear();
    for (const auto& replica : world->replicas()) {
      replica->hold(kHeldPath);
    }
  }
  void teardown() override {
    client.reset();
    HostileGroup::teardown();
  }
  void send(const std::string& path, const std::string& deadlineMs) {
    http::Request request = world->ordinaryRequest(path, 100);
    std::string id;
    std::erase_if(request.headers,
                  [](const http::Header& header) { return header.name == "Connection"; });
    for (http::Header& header : request.headers) {
      id = header.name == "Gorsetrail-Request-Id" ? header.value : id;
      header.value = header.name == "Gorsetrail-Deadline-Ms" ? deadlineMs : header.value;
    }
    outcomes[id] = {};
    http::ResponseHandler handler;
    handler.onDone = [this, id](const http::Response& response) {
      outcomes[id] = {true, response.status};
    };
    handler.onFailure = [this, id](const http::Failure&) { outcomes[id] = {true, 0}; };
    client->send(std::move(request), std::move(handler));
  }
  bool haveAllEnded() const {
    for (const auto& [id, outcome] : outcomes) {
      if (!outcome.hasEnded) {
        return false;
      }
    }
    return true;
  }
  /// Signals the node, and sends requests until its process is gone.
  /// \return the time that the stop took.
  Duration stopWhileClientsGoOn(const std::string& deadlineMs) {
    const Instant begin = steadyNow();
    world->node().signal(SIGTERM);
    Instant nextSend = begin;
    CHECK_TRUE(world->runUntil([&] {
      if (steadyNow() >= nextSend) {
        nextSend += kSendInterval;
        send(kHeldPath, deadlineMs);
      }
      return !world->node().isRunning();
    }));
    const Duration took = steadyNow() - begin;
    CHECK_TRUE(world->runUntil([this] { return haveAllEnded(); }));
    return took;
  }
  /// \return the number of requests that a replica ran.
  std::size_t checkThatWhatRanWasAnswered() const {
    std::size_t ran = 0;
    for (const auto& [id, outcome] : outcomes) {
      const bool hasRun = world->runsOf(id) > 0;
      ran += hasRun ? 1 : 0;
      CHECK_TEXT(!hasRun || outcome.status != 0, "a request that ran got no answer");
      CHECK_TEXT(!hasRun || outcome.status != 503, "a request that ran is said not to have run");
    }
    return ran;
  }
  std::size_t answeredWith(unsigned status) const {
    std::size_t count = 0;
    for (const auto& [id, outcome] : outcomes) {
      count += outcome.status == status ? 1 : 0;
    }
    return count;
  }
};

TEST(PlannedStop, requestsThatCameLateAreAnsweredOrNotRun) {
  CHECK(stopWhileClientsGoOn("3000") < seconds(kStopLimitS));
  CHECK(checkThatWhatRanWasAnswered() > 10);
  CHECK(answeredWith(504) > 10);
  CHECK(answeredWith(503) > 10);
}

TEST(PlannedStop, requestsThatWereOpenBeforeItGetAFinalAnswer) {
  for (int number = 0; number < 20; ++number) {
    send(kHeldPath, "15000");
  }
  CHECK_TRUE(world->runUntil([this] {
    std::size_t ran = 0;
    for (const auto& [id, outcome] : outcomes) {
      ran += static_cast<std::size_t>(world->runsOf(id));
    }
    return ran == outcomes.size();
  }));
  CHECK(stopWhileClientsGoOn("15000") < seconds(kStopLimitS));
  const std::size_t ran = checkThatWhatRanWasAnswered();
  CHECK(ran >= 20);
  LONGS_EQUAL(ran, answeredWith(502));
  CHECK(answeredWith(503) > 10);
}
