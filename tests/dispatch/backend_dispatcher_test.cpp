#include "node/backend_dispatcher.h"

#include <functional>
#include <string>
#include <vector>

#include "fake_http_client.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using http::FailureStage;

namespace {

std::string chunk(std::uint32_t offset, const std::string& text) {
  return "id: " + std::to_string(offset) + "\ndata: {\"object\":\"chat.completion.chunk\"," +
         "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}

const std::string kUsage =
    "data: "
    "{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":12,"
    "\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":8}}}\n\n";
const std::string kDone = "data: [DONE]\n\n";

}  // namespace

TEST_GROUP(BackendDispatcher) {
  node::testing::FakeHttpClient client;
  std::vector<engine::DispatchEvent> events;
  std::function<void()> onChunk = [] {};
  node::BackendDispatcher dispatcher{client,
                                     [this](CallHandle, const engine::DispatchEvent& event) {
                                       events.push_back(event);
                                       if (std::holds_alternative<engine::DispatchChunk>(event)) {
                                         onChunk();
                                       }
                                     }};

  static engine::StartDispatch command(bool application = false) {
    engine::StartDispatch start;
    start.handle = CallHandle(1);
    start.id = {programIdOf({"zone-1", "tenant", "program"}), Epoch(2), CallNumber(3),
                AttemptNumber(4)};
    start.application = application;
    start.address = "127.0.0.1:1";
    start.model = "lumo-7b";
    start.adapter = "proof";
    start.body = R"({"model":"work","messages":[],"temperature":1.0})";
    start.priorityLevel = 2;
    return start;
  }
  static std::vector<http::Header> named() { return {{"x-request-id", command().id.toText()}}; }

  template <class Event>
  const Event& onlyEvent() {
    LONGS_EQUAL(1, events.size());
    CHECK(std::holds_alternative<Event>(events.back()));
    LONGS_EQUAL(0, dispatcher.underWay());
    return std::get<Event>(events.back());
  }
  /// Starts a dispatch that is answered with `status` and `headers`, and ends.
  void answered(bool application, unsigned status, const std::vector<http::Header>& headers) {
    events.clear();
    dispatcher.start(command(application));
    client.last().head(status, headers);
    client.last().body("busy");
    client.last().done();
  }
};

TEST(BackendDispatcher, AsksAnEngineForAStream) {
  dispatcher.start(command());
  const auto& exchange = client.last();
  STRCMP_EQUAL("/v1/chat/completions", exchange.request.target.c_str());
  STRCMP_EQUAL(command().id.toText().c_str(), exchange.headerOf("X-Request-Id").c_str());
  STRCMP_EQUAL("2", exchange.headerOf("X-Priority").c_str());
  STRCMP_EQUAL("", exchange.headerOf("Idempotency-Key").c_str());
  STRCMP_EQUAL(
      R"({"model":"lumo-7b","adapter":"proof","stream":true,"messages":[],"temperature":1.0})",
      exchange.request.body.c_str());
}

TEST(BackendDispatcher, GivesApplicationsOneKeyOverAttemptsCallsAndEpochs) {
  engine::StartDispatch first = command(true);
  first.request = requestDigestOf("filing-7");
  engine::StartDispatch second = first;
  second.id.epoch = Epoch(9);
  second.id.call = CallNumber(12);
  second.id.attempt = AttemptNumber(7);
  dispatcher.start(first);
  const std::string key = client.last().headerOf("Idempotency-Key");
  STRCMP_EQUAL((first.id.program.toHex() + "." + first.request.toHex()).c_str(), key.c_str());
  STRCMP_EQUAL("/v1/requests", client.last().request.target.c_str());
  STRCMP_EQUAL(first.body.c_str(), client.last().request.body.c_str());
  dispatcher.start(second);
  STRCMP_EQUAL(key.c_str(), client.last().headerOf("Idempotency-Key").c_str());
}

TEST(BackendDispatcher, ReadsAStreamThatBreaksAnywhere) {
  const std::string stream =
      ": hello\r\n\r\n" + chunk(0, "Hel") + chunk(1, "lo \\u00e4\\n") + kUsage + kDone;
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    events.clear();
    dispatcher.start(command());
    client.last().head(200, named());
    for (std::size_t place = 0; place < stream.size(); place += size) {
      client.last().body(std::string_view(stream).substr(place, size));
    }
    client.last().done();
    LONGS_EQUAL(3, events.size());
    LONGS_EQUAL(1, std::get<engine::DispatchChunk>(events[1]).offset);
    const auto& finished = std::get<engine::DispatchFinished>(events[2]);
    STRCMP_EQUAL("Hello \u00e4\n", finished.answer.c_str());
    LONGS_EQUAL(12, finished.promptTokens);
    LONGS_EQUAL(8, finished.cachedTokens);
    LONGS_EQUAL(2, finished.completionTokens);
    LONGS_EQUAL(4, finished.attempt.value());
  }
}

TEST(BackendDispatcher, NotSentOnlyWhenNoByteLeft) {
  dispatcher.start(command());
  client.last().fail(FailureStage::NotSent);
  onlyEvent<engine::DispatchNotSent>();
  events.clear();
  dispatcher.start(command());
  client.last().fail(FailureStage::Broken);
  onlyEvent<engine::DispatchBroken>();
}

TEST(BackendDispatcher, BodyThatIsNoObjectIsNotSent) {
  for (const char* body : {"", "[]", "{\"a\":", "17"}) {
    events.clear();
    engine::StartDispatch start = command();
    start.body = body;
    dispatcher.start(start);
    onlyEvent<engine::DispatchNotSent>();
  }
  LONGS_EQUAL(0, client.exchanges.size());
}

TEST(BackendDispatcher, RefusalMustNameTheRequest) {
  auto leaving = named();
  leaving.push_back({"X-Leaving", "true"});
  answered(false, 503, leaving);
  CHECK(onlyEvent<engine::DispatchRefused>().leaving);
  answered(false, 429, named());
  CHECK_FALSE(onlyEvent<engine::DispatchRefused>().leaving);
  answered(false, 503, {});
  onlyEvent<engine::DispatchBroken>();
  for (const unsigned status : {500U, 502U, 504U, 408U, 409U, 302U, 204U}) {
    answered(false, status, named());
    onlyEvent<engine::DispatchBroken>();
  }
}

TEST(BackendDispatcher, TellsWhenARefusalWantsToBeAskedAgain) {
  const auto secondsOf = [this](const std::string& value) {
    auto headers = named();
    headers.push_back({"retry-after", value});
    answered(false, 429, headers);
    return onlyEvent<engine::DispatchRefused>().retryAfterSeconds;
  };
  LONGS_EQUAL(7, secondsOf("7"));
  LONGS_EQUAL(300, secondsOf("86400"));
  for (const char* const unusable : {"", "-1", "7 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    LONGS_EQUAL(0, secondsOf(unusable));
  }
  answered(false, 429, named());
  LONGS_EQUAL(0, onlyEvent<engine::DispatchRefused>().retryAfterSeconds);
}

TEST(BackendDispatcher, ApplicationMustSayThatItDidNotRun) {
  answered(true, 503, named());
  onlyEvent<engine::DispatchBroken>();
  auto headers = named();
  headers.push_back({"X-Not-Run", "true"});
  answered(true, 503, headers);
  LONGS_EQUAL(503, onlyEvent<engine::DispatchRefused>().status);
  answered(true, 503, {{"X-Not-Run", "true"}});
  onlyEvent<engine::DispatchBroken>();
}

TEST(BackendDispatcher, AnswerOfAnotherRequestIsBroken) {
  dispatcher.start(command(true));
  client.last().head(200, {{"X-Request-Id", "another"}});
  onlyEvent<engine::DispatchBroken>();
  CHECK(client.last().cancelled);
  client.last().body("{}");
  client.last().done();
  LONGS_EQUAL(1, events.size());
}

TEST(BackendDispatcher, ApplicationAnswerIsItsJson) {
  dispatcher.start(command(true));
  client.last().head(200, named());
  client.last().body(R"({"receipt":)");
  client.last().body(R"("r-1"})");
  client.last().done();
  STRCMP_EQUAL(R"({"receipt":"r-1"})", onlyEvent<engine::DispatchFinished>().answer.c_str());
  answered(true, 200, named());
  onlyEvent<engine::DispatchBroken>();
}

TEST(BackendDispatcher, MalformedStreamsAreBroken) {
  const std::vector<std::string> streams = {
      "data: {\"choices\":\n\n",
      "data: []\n\n",
      "id: x\n" + chunk(0, "a").substr(6),
      chunk(1, "gap at the start"),
      "event: error\ndata: {\"error\":{\"kind\":\"internal\"}}\n\n",
      "data: {\"error\":{}}\n\n",
      "data: {\"usage\":{\"prompt_tokens\":\"12\"}}\n\n",
      "data: {\"usage\":{\"prompt_tokens\":-1}}\n\n",
      "data: {\"usage\":{\"prompt_tokens\":4294967296}}\n\n",
      kDone,
      "data: " + std::string(services::kMaximumEventBytes + 1, 'x'),
  };
  for (const std::string& stream : streams) {
    events.clear();
    dispatcher.start(command());
    client.last().head(200, named());
    client.last().body(stream);
    onlyEvent<engine::DispatchBroken>();
    CHECK(client.last().cancelled);
  }
  LONGS_EQUAL(streams.size(), dispatcher.counters().malformed);
}

TEST(BackendDispatcher, GapWithinAStreamIsBroken) {
  dispatcher.start(command());
  client.last().head(200, named());
  client.last().body(chunk(0, "a") + chunk(2, "c"));
  LONGS_EQUAL(2, events.size());
  CHECK(std::holds_alternative<engine::DispatchBroken>(events[1]));
}

TEST(BackendDispatcher, StreamWithoutItsEndIsBroken) {
  dispatcher.start(command());
  client.last().head(200, named());
  client.last().body(kUsage);
  client.last().done();
  onlyEvent<engine::DispatchBroken>();
}

TEST(BackendDispatcher, ResumesFromAnOffset) {
  engine::StartDispatch start = command();
  start.resumeFrom = 1;
  dispatcher.start(start);
  STRCMP_EQUAL("GET", client.last().request.method.c_str());
  STRCMP_EQUAL(("/v1/streams/" + start.id.toText() + "?from=1").c_str(),
               client.last().request.target.c_str());
  client.last().head(200);
  client.last().body(chunk(0, "again") + chunk(1, "b") + kUsage + kDone);
  LONGS_EQUAL(2, events.size());
  STRCMP_EQUAL("b", std::get<engine::DispatchFinished>(events[1]).answer.c_str());
}

TEST(BackendDispatcher, ResumeThatFailsIsNeverCalledNotRun) {
  engine::StartDispatch start = command();
  start.resumeFrom = 1;
  dispatcher.start(start);
  client.last().fail(FailureStage::NotSent);
  onlyEvent<engine::DispatchBroken>();
  events.clear();
  dispatcher.start(start);
  client.last().head(404, named());
  client.last().done();
  onlyEvent<engine::DispatchBroken>();
}

TEST(BackendDispatcher, CancelClosesAndTellsTheEngine) {
  dispatcher.start(command());
  dispatcher.cancel({CallHandle(1), command().id, "127.0.0.1:1"});
  CHECK(client.exchanges[0]->cancelled);
  STRCMP_EQUAL("DELETE", client.last().request.method.c_str());
  client.last().fail(FailureStage::NotSent);
  client.exchanges[0]->body(chunk(0, "late"));
  client.exchanges[0]->done();
  LONGS_EQUAL(0, events.size());
  LONGS_EQUAL(0, dispatcher.underWay());
}

TEST(BackendDispatcher, CancelOfAnApplicationSendsNothing) {
  dispatcher.start(command(true));
  dispatcher.cancel({CallHandle(1), command().id, "127.0.0.1:1"});
  CHECK(client.last().cancelled);
  LONGS_EQUAL(1, client.exchanges.size());
}

TEST(BackendDispatcher, MayBeCancelledWithinAChunk) {
  onChunk = [this] { dispatcher.cancel({CallHandle(1), command().id, "127.0.0.1:1"}); };
  dispatcher.start(command());
  client.last().head(200, named());
  client.exchanges[0]->body(chunk(0, "a") + chunk(1, "b") + kUsage + kDone);
  LONGS_EQUAL(1, events.size());
}

TEST(BackendDispatcher, NothingIsCalledBackAfterItsEnd) {
  int calls = 0;
  {
    node::BackendDispatcher shortLived(
        client, [&calls](CallHandle, const engine::DispatchEvent&) { ++calls; });
    shortLived.start(command());
  }
  CHECK(client.last().cancelled);
  client.last().head(200, named());
  client.last().body(chunk(0, "a"));
  client.last().fail(FailureStage::Broken);
  LONGS_EQUAL(0, calls);
}
