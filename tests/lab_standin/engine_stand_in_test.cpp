#include "lab/standin/engine_stand_in.h"

#include <nlohmann/json.hpp>

#include "lab/standin/answer_text.h"
#include "lab_standin/fake_parts.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::standin;
using nlohmann::json;

namespace {

const char* const kMessages = R"([{"role":"user","content":"check the cover"}])";

EngineStandInOptions smallEngine() {
  EngineStandInOptions options;
  options.model = "lumo-7b";
  options.adapters = {"proof"};
  options.engine.maximumRunning = 1;
  options.engine.maximumQueued = 1;
  options.reports.cacheEventGapPerMille = 0;
  return options;
}

HttpRequest chat(const std::string& id, bool stream, const std::string& model = "lumo-7b") {
  const json body = {{"model", model},
                     {"messages", json::parse(kMessages)},
                     {"max_tokens", 30},
                     {"stream", stream}};
  return makeRequest("POST", "/v1/chat/completions", body.dump(), {{"X-Request-Id", id}});
}

std::string contentOf(const RecordedExchangePtr& exchange) {
  const json body = json::parse(exchange->response.body);
  return body["choices"][0]["message"]["content"].get<std::string>();
}

/// Joins the contents of a stream's chunks, and checks that their ids follow each other.
std::string streamedContent(const std::string& stream, std::uint32_t firstId) {
  std::string content;
  std::uint32_t nextId = firstId;
  std::size_t position = 0;
  while ((position = stream.find("id: ", position)) != std::string::npos) {
    UNSIGNED_LONGS_EQUAL(nextId++, std::stoul(stream.substr(position + 4)));
    const std::size_t data = stream.find("data: ", position) + 6;
    const json chunk = json::parse(stream.substr(data, stream.find('\n', data) - data));
    content += chunk["choices"][0]["delta"]["content"].get<std::string>();
    position = data;
  }
  return content;
}

}  // namespace

TEST_GROUP(EngineStandIn) {
  VirtualScheduler scheduler;
  FaultSwitches switches;
  EngineStandIn engine{smallEngine(), switches, scheduler};

  RecordedExchangePtr ask(const HttpRequest& request, Duration wait = seconds(2)) {
    auto exchange = send(engine, request);
    scheduler.advance(wait);
    return exchange;
  }
  std::string get(const std::string& path) {
    return send(engine, makeRequest("GET", path))->response.body;
  }
};

TEST(EngineStandIn, AnswerNamesItsRequestAndMessages) {
  const auto label = labelOfWholeAnswer(contentOf(ask(chat("a.1.1.1", false))));
  CHECK(label.has_value());
  STRCMP_EQUAL("a.1.1.1", label->requestId.c_str());
  STRCMP_EQUAL(messagesDigest(kMessages).c_str(), label->digest.c_str());
}

TEST(EngineStandIn, StreamIsWholeAndEndsWithUsage) {
  const auto exchange = ask(chat("a.1.1.1", true));
  CHECK(exchange->answered);
  CHECK(labelOfWholeAnswer(streamedContent(exchange->stream, 0)).has_value());
  CHECK(contains(exchange->stream, "\"completion_tokens\":30"));
  CHECK(exchange->stream.ends_with("data: [DONE]\n\n"));
}

TEST(EngineStandIn, BrokenStreamGoesOnAndIsResumedWithoutAGap) {
  switches.breakAfterTokens = 7;
  const auto broken = ask(chat("a.1.1.1", true));
  CHECK(broken->dropped);
  switches.breakAfterTokens = 0;
  const auto resumed = ask(makeRequest("GET", "/v1/streams/a.1.1.1?from=7"));
  const std::string whole =
      streamedContent(broken->stream, 0) + streamedContent(resumed->stream, 7);
  CHECK(labelOfWholeAnswer(whole).has_value());
}

TEST(EngineStandIn, FinishedStreamIsForgottenAfterItsTime) {
  ask(chat("a.1.1.1", true));
  scheduler.advance(seconds(31));
  const auto resumed = ask(makeRequest("GET", "/v1/streams/a.1.1.1?from=0"));
  UNSIGNED_LONGS_EQUAL(404, resumed->response.status);
}

TEST(EngineStandIn, CancelledStreamEndsEarly) {
  const auto exchange = ask(chat("a.1.1.1", true), milliseconds(20));
  ask(makeRequest("DELETE", "/v1/streams/a.1.1.1"));
  CHECK(exchange->ended);
  CHECK(contains(exchange->stream, "\"finish_reason\":\"cancelled\""));
}

TEST(EngineStandIn, TokensAreNeverCloserThanOneStep) {
  const auto exchange = ask(chat("a.1.1.1", true), milliseconds(0));
  scheduler.advance(milliseconds(30));
  // The first step does the prompt; each of the others takes at least 3 ms.
  CHECK(streamedContent(exchange->stream, 0).size() <= 10 * kAnswerTokenCharacters);
}

TEST(EngineStandIn, RefusalsNameTheRequest) {
  switches.leaving = true;
  const auto leaving = ask(chat("a.1.1.1", false));
  UNSIGNED_LONGS_EQUAL(503, leaving->response.status);
  STRCMP_EQUAL("X-Leaving", leaving->response.headers.at(1).name.c_str());
  STRCMP_EQUAL("a.1.1.1", leaving->response.headers.back().value.c_str());
  switches.leaving = false;
  UNSIGNED_LONGS_EQUAL(404, ask(chat("a.1.1.2", false, "other"))->response.status);
  STRCMP_EQUAL("{\"requests\":2}", get("/v1/counters").c_str());
}

TEST(EngineStandIn, FullEngineAnswers429AndKnownIdAnswers409) {
  send(engine, chat("a.1.1.1", false));
  scheduler.advance(milliseconds(4));
  send(engine, chat("a.1.1.2", false));
  UNSIGNED_LONGS_EQUAL(429, send(engine, chat("a.1.1.3", false))->response.status);
  scheduler.advance(seconds(2));
  UNSIGNED_LONGS_EQUAL(409, send(engine, chat("a.1.1.1", false))->response.status);
}

TEST(EngineStandIn, LoadReportLags) {
  send(engine, chat("a.1.1.1", true));
  scheduler.advance(milliseconds(10));
  CHECK(contains(get("/v1/load"), "\"age_ms\":10"));
  CHECK(contains(get("/v1/load"), "\"running\":0"));
  scheduler.advance(milliseconds(40 * 3 / 4));
  scheduler.advance(milliseconds(500));
  CHECK(contains(get("/v1/load"), "\"cache_used_per_mille\""));
}

TEST(EngineStandIn, CacheEventsComeLateAndInOrder) {
  ask(chat("a.1.1.1", false), milliseconds(200));
  STRCMP_EQUAL("{\"events\":[],\"next\":0}", get("/v1/cache/events?after=0").c_str());
  scheduler.advance(milliseconds(400));
  const json page = json::parse(get("/v1/cache/events?after=0"));
  CHECK(page["events"].size() > 0);
  UNSIGNED_LONGS_EQUAL(1, page["events"][0]["seq"].get<unsigned>());
  UNSIGNED_LONGS_EQUAL(page["events"].size(), page["next"].get<unsigned>());
}

TEST(EngineStandIn, LongerHistoryFindsItsPrefixCached) {
  const json first = {{{"role", "user"}, {"content", std::string(4000, 'x')}}};
  const std::string answer = [&] {
    const json body = {{"model", "lumo-7b"}, {"messages", first}};
    return contentOf(ask(
        makeRequest("POST", "/v1/chat/completions", body.dump(), {{"X-Request-Id", "a.1.1.1"}})));
  }();
  json second = first;
  second.push_back({{"role", "assistant"}, {"content", answer}});
  second.push_back({{"role", "user"}, {"content", "go on"}});
  const json body = {{"model", "lumo-7b"}, {"messages", second}};
  const auto exchange =
      ask(makeRequest("POST", "/v1/chat/completions", body.dump(), {{"X-Request-Id", "a.1.2.1"}}));
  const json usage = json::parse(exchange->response.body)["usage"];
  const auto cached = usage["prompt_tokens_details"]["cached_tokens"].get<unsigned>();
  CHECK(cached > 1000);
  CHECK(cached < usage["prompt_tokens"].get<unsigned>());
}

TEST(EngineStandIn, HoldsEndAtTheirDeadline) {
  ask(chat("a.1.1.1", false));
  const json inventory = json::parse(get("/v1/cache/inventory"));
  const json hold = {{"prefix", inventory["prefixes"][0]["prefix"]},
                     {"program", "p"},
                     {"epoch", 3},
                     {"deadline_ms", 1000}};
  UNSIGNED_LONGS_EQUAL(
      200, ask(makeRequest("PUT", "/v1/holds/h", hold.dump()), milliseconds(0))->response.status);
  CHECK(contains(get("/v1/holds"), "\"epoch\":3"));
  scheduler.advance(milliseconds(1001));
  STRCMP_EQUAL("{\"holds\":[]}", get("/v1/holds").c_str());
}

TEST(EngineStandIn, ExportedPrefixIsImportedElsewhere) {
  ask(chat("a.1.1.1", false));
  const json inventory = json::parse(get("/v1/cache/inventory"));
  const std::string path = "/v1/kv/" + inventory["prefixes"][0]["prefix"].get<std::string>();
  const std::string exported = get(path);
  EngineStandIn other(smallEngine(), switches, scheduler);
  const auto imported = send(other, makeRequest("PUT", path, exported));
  UNSIGNED_LONGS_EQUAL(200, imported->response.status);
  UNSIGNED_LONGS_EQUAL(200, send(other, makeRequest("GET", path))->response.status);
  UNSIGNED_LONGS_EQUAL(400, send(other, makeRequest("PUT", path, "{}"))->response.status);
}

TEST(EngineStandIn, LowerFenceIsRefused) {
  const auto order = [this](int fence, const char* model) {
    const json body = {{"fence", fence}, {"order", "load_model"}, {"model", model}};
    return ask(makeRequest("POST", "/v1/orders", body.dump()))->response.status;
  };
  UNSIGNED_LONGS_EQUAL(200, order(5, "filing-9b"));
  UNSIGNED_LONGS_EQUAL(409, order(4, "lumo-7b"));
  CHECK(contains(get("/v1/orders"), "filing-9b"));
}
