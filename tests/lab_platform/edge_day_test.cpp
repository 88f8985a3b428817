// Two whole edge nodes over loopback, on stand-ins of the users' store and replicas.
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

#include "cli/log_story.h"
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

const char* const kConfiguration = R"({"version":%d,"routes":[
 {"name":"kept","host":"h","pathPrefix":"/kept/","routeType":"streaming","timeoutMs":3000,
  "priority":1,"service":"m","maxAttempts":1,"persisted":true,"resumable":false},
 {"name":"again","host":"h","pathPrefix":"/again/","routeType":"streaming","timeoutMs":3000,
  "priority":0,"service":"m","maxAttempts":1,"resumable":true},
 {"name":"unsafe","host":"h","pathPrefix":"/unsafe/","routeType":"unsafe","timeoutMs":3000,
  "service":"m","maxAttempts":1}],
 "services":[{"name":"m","engine":{"slots":4,"streamStride":10}}]})";

std::string configurationOf(int version) {
  std::string text(kConfiguration);
  return text.replace(text.find("%d"), 2, std::to_string(version));
}

/// \return a configuration in which `alice` and `bob` have these keys.
std::string configurationWithKeys(int version, const std::string& alice, const std::string& bob) {
  const std::string tenants = R"("tenants":[{"name":"alice","apiKeys":[")" + alice +
                              R"("],"priority":3},{"name":"bob","apiKeys":[")" + bob + R"("]}],)";
  std::string text = configurationOf(version);
  return text.insert(text.find(R"("services")"), tenants);
}

}  // namespace

TEST_GROUP(EdgeDay) {
  std::unique_ptr<boost::asio::io_context> context;
  std::unique_ptr<StoreStandIn> store;
  std::unique_ptr<ReplicaStandIn> replica;
  std::unique_ptr<Node> first;
  std::unique_ptr<Node> second;
  http::HttpClientPtr client;
  int nextRequest = 0;
  std::string key;  ///< Sent with every attempt; empty: none.

  void setup() override {
    context = std::make_unique<boost::asio::io_context>(1);
    store = std::make_unique<StoreStandIn>(*context);
    replica = std::make_unique<ReplicaStandIn>(*context, "i-1");
    client = http::makeHttpClient(*context);
    store->put("keyed.op", "config", configurationOf(1));
    store->put("keyed.servers", "i-1", replica->registration("m", "ready"));
    first = std::make_unique<Node>(*context, nodeIp(1), store->address());
    second = std::make_unique<Node>(*context, nodeIp(2), store->address());
    STRCMP_EQUAL("", first->startError.c_str());
    STRCMP_EQUAL("", second->startError.c_str());
    CHECK_TRUE(until([this] { return names(*first, 2) && names(*second, 2); }));
  }
  void teardown() override {
    client.reset();
    first.reset();
    second.reset();
    replica.reset();
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
  Answer send(http::Request request) {
    const std::optional<Answer> answer =
        lab::testing::answerTo(*context, *client, std::move(request));
    CHECK_TRUE(answer.has_value());
    return answer.value_or(Answer{});
  }
  static bool knowsEvacuation(const Node& node) {
    return node.lines.find("zone_evacuated zone=z") != std::string::npos;
  }
  bool names(const Node& node, std::size_t addresses) {
    http::Request request;
    request.address = node.listen().directory;
    request.target = "/v1/resolve?name=h&region=r&zone=z";
    const Answer answer = send(request);
    return answer.status == 200 && std::count(answer.body.begin(), answer.body.end(), ':') - 2 ==
                                       static_cast<std::ptrdiff_t>(addresses);
  }
  /// Sends one attempt; its id is `q` and its number.
  Answer ask(const Node& node, const std::string& target, const std::string& previous = "",
             const std::string& budget = "10000") {
    http::Request request;
    request.method = "POST";
    request.address = node.listen().clients;
    request.target = target;
    request.headers = {{"Host", "h"},
                       {"Gorsetrail-Request-Id", "q" + std::to_string(++nextRequest)},
                       {"Gorsetrail-Deadline-Ms", "2500"}};
    if (target.find("/stream/") != std::string::npos) {
      request.headers.push_back({"Gorsetrail-Program-Id", "p"});
      request.headers.push_back({"Gorsetrail-Token-Budget", budget});
      request.headers.push_back({"Gorsetrail-Token-Usage", "100,50"});
    }
    if (!previous.empty()) {
      request.headers.push_back({"Gorsetrail-Previous-Turn", previous});
    }
    if (!key.empty()) {
      request.headers.push_back({"Gorsetrail-Key", key});
      request.headers.push_back({"Gorsetrail-Tenant", "forged"});
    }
    request.body = "input" + std::to_string(nextRequest) + ";";
    return send(request);
  }
};

TEST(EdgeDay, aTurnGoesOnAtAnotherNodeAfterTheFirstHasGone) {
  const Answer turn = ask(*first, "/kept/stream/1");
  LONGS_EQUAL(200, turn.status);
  STRCMP_EQUAL("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", turn.body.c_str());
  first.reset();
  LONGS_EQUAL(200, ask(*second, "/kept/stream/1", "q1").status);
  STRCMP_EQUAL("input1;e1\ne2\ne3\ninput2;", replica->bodies["q2"].c_str());
  LONGS_EQUAL(404, ask(*second, "/kept/stream/1", "never").status);
}

TEST(EdgeDay, budgetsHoldOverNodes) {
  LONGS_EQUAL(200, ask(*first, "/again/stream/1", "", "100").status);   // Uses 30.
  LONGS_EQUAL(200, ask(*second, "/again/stream/1", "", "100").status);  // Uses 30.
  // The end of the second turn may not be known yet: the node says when to come back until it is.
  constexpr int kMostTries = 100;
  Answer third = ask(*first, "/again/stream/1", "", "100");
  for (int tries = 1; third.status == 503 && tries < kMostTries; ++tries) {
    third = ask(*first, "/again/stream/1", "", "100");
  }
  LONGS_EQUAL(402, third.status);
  LONGS_EQUAL(2, replica->runs["q1"] + replica->runs["q2"]);
  for (int number = 3; number <= nextRequest; ++number) {
    LONGS_EQUAL(0, replica->runs["q" + std::to_string(number)]);
  }
}

TEST(EdgeDay, aStoreThatIsDownCostsNoRunAndSaysWhenToComeBack) {
  store->trouble = StoreTrouble::Busy;
  Answer answer;
  CHECK_TRUE(until([&] {
    answer = ask(*first, "/kept/stream/1");
    return answer.status == 503;
  }));
  CHECK(!answer.retryAfter.empty());
  const std::string refused = "q" + std::to_string(nextRequest);
  LONGS_EQUAL(0, replica->runs[refused]);
  store->trouble = StoreTrouble::None;
  CHECK_TRUE(until([&] { return ask(*first, "/kept/stream/1").status == 200; }));
}

TEST(EdgeDay, aNodeListsTheOthersBeforeItAnnouncesItself) {
  store->refusedListing = "keyed.nodes";
  Node third(*context, nodeIp(3), store->address());
  const auto announced = [&] { return store->records("keyed.nodes"); };
  // The other two keep announcing themselves: what they write is not counted.
  first.reset();
  second.reset();
  const std::size_t before = announced();
  CHECK_TRUE(until([&] { return ask(third, "/again/stream/1").status != 0; }));
  CHECK_FALSE(until([&] { return announced() > before; }, std::chrono::milliseconds(1500)));
  store->refusedListing.clear();
  CHECK_TRUE(until([&] { return announced() > before; }));
}

TEST(EdgeDay, anUnsafeRequestRunsOnceWhateverBecomesOfItsAnswer) {
  replica->trouble = ReplicaTrouble::LostAnswer;
  LONGS_EQUAL(502, ask(*first, "/unsafe/x").status);
  LONGS_EQUAL(1, replica->runs["q1"]);
  replica->trouble = ReplicaTrouble::Full;
  LONGS_EQUAL(503, ask(*first, "/unsafe/x").status);
  LONGS_EQUAL(0, replica->runs["q2"]);
}

TEST(EdgeDay, aCutStreamComesWholeWhereItMayBeResumed) {
  replica->trouble = ReplicaTrouble::CutStream;
  const Answer answer = ask(*first, "/again/stream/1");
  STRCMP_EQUAL("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", answer.body.c_str());
  // Cut before the reservation stands, so before its first event is released: an answer.
  LONGS_EQUAL(502, ask(*first, "/kept/stream/1").status);
}

// A process that stood still learns of its stop late, and is killed by the operator's clock.
TEST(EdgeDay, aNodeThatStoodStillBeforeItLearntOfItsStopEndsInTime) {
  const auto standsStill = std::chrono::milliseconds(1500);
  const auto askedToStopAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(standsStill);
  bool stopped = false;
  first->beginStop([&stopped] { stopped = true; });
  CHECK_TRUE(until([&stopped] { return stopped; }));
  const auto took = std::chrono::steady_clock::now() - askedToStopAt;
  CHECK(took < std::chrono::milliseconds(3200 + 600));
}

TEST(EdgeDay, aNewConfigurationAndALeavingReplicaTakeHold) {
  const std::unique_ptr<ReplicaStandIn> other = std::make_unique<ReplicaStandIn>(*context, "i-2");
  store->put("keyed.servers", "i-2", other->registration("m", "ready"));
  store->put("keyed.servers", "i-1", replica->registration("m", "draining"));
  store->put("keyed.op", "config", configurationOf(2));
  CHECK_TRUE(until([&] {
    return second->lines.find("configuration_in_force version=2") != std::string::npos &&
           second->lines.find("replica=i-1 service=m address=" + replica->address() +
                              " state=draining") != std::string::npos;
  }));
  STRCMP_EQUAL("answer of i-2", ask(*second, "/unsafe/x").body.c_str());
}

TEST(EdgeDay, anEvacuatedZoneGetsNothingUntilItIsTakenBack) {
  const std::unique_ptr<ReplicaStandIn> other = std::make_unique<ReplicaStandIn>(*context, "i-2");
  store->put("keyed.servers", "i-2", other->registration("m", "ready", "y"));
  store->put("keyed.op", "evacuate/z", "{}");
  const auto knowsBoth = [](const Node& node) {
    return knowsEvacuation(node) && node.lines.find("replica=i-2") != std::string::npos;
  };
  CHECK_TRUE(until([&] { return knowsBoth(*first) && knowsBoth(*second); }));
  const std::size_t before = replica->runs.size();
  for (int request = 0; request < 5; ++request) {
    STRCMP_EQUAL("answer of i-2", ask(*first, "/unsafe/x").body.c_str());
    STRCMP_EQUAL("answer of i-2", ask(*second, "/unsafe/x").body.c_str());
  }
  LONGS_EQUAL(before, replica->runs.size());
  store->put("keyed.op", "evacuate/z", "");
  store->put("keyed.servers", "i-2", "");
  CHECK_TRUE(until([&] { return ask(*first, "/unsafe/x").body == "answer of i-1"; }));
}

TEST(EdgeDay, withAllZonesEvacuatedRequestsAreRefusedAtOnce) {
  store->put("keyed.op", "evacuate/z", "{}");
  CHECK_TRUE(until([&] { return knowsEvacuation(*first); }));
  const Answer answer = ask(*first, "/unsafe/x");
  LONGS_EQUAL(503, answer.status);
  STRCMP_CONTAINS("zones_evacuated", answer.body.c_str());
  CHECK(!answer.retryAfter.empty());
  LONGS_EQUAL(0, replica->runs["q" + std::to_string(nextRequest)]);
}

TEST(EdgeDay, aNodeThatStartsAmidAnEvacuationSendsNothingThere) {
  store->put("keyed.op", "evacuate/z", "{}");
  Node third(*context, nodeIp(3), store->address());
  for (int request = 0; request < 20; ++request) {
    LONGS_EQUAL(503, ask(third, "/unsafe/x").status);
  }
  CHECK_TRUE(until([&] { return knowsEvacuation(third); }));
  LONGS_EQUAL(503, ask(third, "/unsafe/x").status);
  LONGS_EQUAL(0, replica->runs.size());
}

TEST(EdgeDay, anEvacuationThatWentWithDroppedHistoryIsTakenBack) {
  store->put("keyed.op", "evacuate/z", "{}");
  CHECK_TRUE(until([&] { return knowsEvacuation(*first) && knowsEvacuation(*second); }));
  store->put("keyed.op", "evacuate/z", "");
  store->dropHistory("keyed.op");
  CHECK_TRUE(until([&] { return ask(*first, "/unsafe/x").status == 200; }));
  CHECK_TRUE(until([&] { return ask(*second, "/unsafe/x").status == 200; }));
  CHECK_TRUE(until([&] {
    return first->lines.find("evacuation_taken_back zone=z by=listing") != std::string::npos;
  }));
}

TEST(EdgeDay, aColdReplicaGetsLittleUntilItSaysThatItIsWarm) {
  std::string configuration = configurationOf(9);
  configuration.insert(configuration.find(R"("engine")"), R"("coldStartS":3,"coldPerS":25,)");
  const auto cold = [this](int milliseconds) {
    std::string entry = replica->registration("m", "ready");
    return entry.insert(1, "\"coldRemainingMs\":" + std::to_string(milliseconds) + ",");
  };
  store->put("keyed.op", "config", configuration);
  const std::string inForce = "configuration_in_force version=9";
  CHECK_TRUE(until([&] { return first->lines.find(inForce) != std::string::npos; }));
  CHECK_TRUE(until([&] { return ask(*first, "/unsafe/x").status == 200; }));
  store->put("keyed.servers", "i-1", cold(60000));
  CHECK_TRUE(
      until([&] { return first->lines.find("replica_cold replica=i-1") != std::string::npos; }));
  int answered = 0;
  Answer refused;
  for (int request = 0; request < 30; ++request) {
    const Answer answer = ask(*first, "/unsafe/x");
    answered += answer.status == 200 ? 1 : 0;
    refused = answer.status == 200 ? refused : answer;
  }
  CHECK_COMPARE(answered, <, 20);
  LONGS_EQUAL(503, refused.status);
  STRCMP_CONTAINS("replicas_cold", refused.body.c_str());
  CHECK(!refused.retryAfter.empty());
  http::Request request;
  request.address = first->listen().metrics;
  request.target = "/metrics";
  STRCMP_CONTAINS("gorsetrail_replicas_cold 1", send(request).body.c_str());
  store->put("keyed.servers", "i-1", cold(0));
  CHECK_TRUE(
      until([&] { return first->lines.find("replica_warm replica=i-1") != std::string::npos; }));
  for (int request = 0; request < 10; ++request) {
    LONGS_EQUAL(200, ask(*first, "/unsafe/x").status);
  }
}

TEST(EdgeDay, metricsTellTheEvacuatedZones) {
  store->put("keyed.op", "evacuate/z", "{}");
  CHECK_TRUE(until([&] { return knowsEvacuation(*first); }));
  http::Request request;
  request.address = first->listen().metrics;
  request.target = "/metrics";
  STRCMP_CONTAINS("gorsetrail_zone_evacuated_milliseconds{zone=\"z\"}", send(request).body.c_str());
}

TEST(EdgeDay, everyFailedRequestHasALineWithItsReasonAndEveryLineParses) {
  replica->trouble = ReplicaTrouble::LostAnswer;
  ask(*first, "/unsafe/x");
  ask(*first, "/kept/stream/1");
  ask(*first, "/kept/stream/1", "never");
  ask(*first, "/nowhere/x");
  replica->trouble = ReplicaTrouble::Full;
  ask(*first, "/unsafe/x");
  CHECK_TRUE(until([&] {
    return first->lines.find("request=q5 program") != std::string::npos &&
           first->lines.find("outcome=refused_503") != std::string::npos;
  }));
  for (int number = 1; number <= 5; ++number) {
    std::istringstream log(first->lines);
    cli::LogStory story("q" + std::to_string(number));
    story.read(log, "first");
    LONGS_EQUAL(0, story.passedOver());
    CHECK_TRUE(story.found());
    const cli::LogLine end = story.lines().back();
    STRCMP_EQUAL("request_ended", end.event.c_str());
    CHECK(!end.fieldOf("reason").empty());
  }
}

TEST(EdgeDay, metricsAreServed) {
  ask(*first, "/unsafe/x");
  http::Request request;
  request.address = first->listen().metrics;
  request.target = "/metrics";
  const Answer page = send(request);
  STRCMP_CONTAINS("gorsetrail_requests_ended_total{outcome=\"answered\",reason=\"\"} 1",
                  page.body.c_str());
  STRCMP_CONTAINS("gorsetrail_configuration_version 1", page.body.c_str());
}

TEST(EdgeDay, tenantsAreKeptApartOverNodesAndKeysAreShownNowhere) {
  const std::string aliceKey = "k3y-of-alice";
  const std::string bobKey = "k3y-of-bob";
  const std::string oldKey = "k3y-of-before";
  store->put("keyed.op", "config", configurationWithKeys(2, aliceKey, bobKey));
  CHECK_TRUE(until([&] { return ask(*first, "/unsafe/x").status == 401; }));
  CHECK_TRUE(until([&] { return ask(*second, "/unsafe/x").status == 401; }));
  key = oldKey;
  LONGS_EQUAL(401, ask(*first, "/unsafe/x").status);
  key = aliceKey;
  LONGS_EQUAL(200, ask(*first, "/kept/stream/1").status);
  const std::string turn = "q" + std::to_string(nextRequest);
  key = bobKey;
  const Answer theft = ask(*second, "/kept/stream/1", turn);
  const Answer guess = ask(*second, "/kept/stream/1", "never");
  LONGS_EQUAL(404, theft.status);
  STRCMP_EQUAL(guess.body.c_str(), theft.body.c_str());
  key = aliceKey;
  LONGS_EQUAL(200, ask(*second, "/kept/stream/1", turn).status);
  // The same program id of another tenant has a budget of its own.
  LONGS_EQUAL(200, ask(*first, "/again/stream/1", "", "300").status);
  key = bobKey;
  LONGS_EQUAL(200, ask(*first, "/again/stream/1", "", "60").status);
  // A key that is taken away stops on both nodes.
  store->put("keyed.op", "config", configurationWithKeys(3, "k3y-new", bobKey));
  key = aliceKey;
  CHECK_TRUE(until([&] { return ask(*first, "/unsafe/x").status == 401; }));
  CHECK_TRUE(until([&] { return ask(*second, "/unsafe/x").status == 401; }));
  // A configuration that contradicts itself is refused, and tells no key.
  store->put("keyed.op", "config", configurationWithKeys(4, "k3y-twice", "k3y-twice"));
  CHECK_TRUE(
      until([&] { return first->lines.find("configuration_unreadable") != std::string::npos; }));
  http::Request metrics;
  metrics.address = first->listen().metrics;
  metrics.target = "/metrics";
  for (const std::string& output : {first->lines, second->lines, send(metrics).body, theft.body}) {
    CHECK(output.find("k3y") == std::string::npos);
  }
  for (const auto& [id, headers] : replica->heads) {
    for (const http::Header& header : headers) {
      CHECK(header.value.find("k3y") == std::string::npos);
      CHECK(header.value != "forged");
    }
  }
}
