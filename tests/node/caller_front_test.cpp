#include "node/front/caller_front.h"

#include <nlohmann/json.hpp>

#include "fake_node_core.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;
using Json = nlohmann::json;

namespace {

/// What a writer was given; outlives the writer.
struct Written {
  std::optional<http::WholeResponse> whole;
  bool streamBegun = false;
  bool streamEnded = false;
  std::string stream;
  std::size_t waiting = 0;
  http::ResponseObserver observer;

  [[nodiscard]] std::string header(const std::string& name) const {
    for (const http::Header& candidate : whole->headers) {
      if (candidate.name == name) {
        return candidate.value;
      }
    }
    return "";
  }
  [[nodiscard]] Json error() const { return Json::parse(whole->body).at("error"); }
};

class FakeWriter final : public http::ResponseWriter {
 public:
  explicit FakeWriter(std::shared_ptr<Written> written) : written_(std::move(written)) {}
  void observe(http::ResponseObserver observer) override { written_->observer = observer; }
  void sendWhole(http::WholeResponse response) override { written_->whole = std::move(response); }
  void beginStream(unsigned /*status*/, const std::vector<http::Header>& /*headers*/) override {
    written_->streamBegun = true;
  }
  void write(std::string_view bytes) override { written_->stream += bytes; }
  void endStream() override { written_->streamEnded = true; }
  [[nodiscard]] std::size_t bytesWaiting() const override { return written_->waiting; }

 private:
  std::shared_ptr<Written> written_;
};

const std::vector<http::Header> kHeaders = {{"Gorsetrail-Tenant", "press-a"},
                                            {"Gorsetrail-Program", "order-17"},
                                            {"Idempotency-Key", "request-1"}};
const std::string kBody =
    R"({"model":"proof","messages":[{"role":"user","content":"hi"}],"max_tokens":9})";

/// The texts of all events of a stream, in order.
std::string streamedText(const std::string& stream) {
  std::string text;
  std::size_t position = 0;
  while ((position = stream.find("data: {", position)) != std::string::npos) {
    const std::size_t end = stream.find("\n\n", position);
    const Json event = Json::parse(stream.substr(position + 6, end - position - 6));
    if (event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
    position = end;
  }
  return text;
}

}  // namespace

TEST_GROUP(CallerFront) {
  FakeNodeCore core;
  std::unique_ptr<CallerFront> front;

  void setup() override {
    FrontOptions options;
    options.self = NodeId(1);
    options.incarnation = Incarnation(7);
    options.site = "paino-lumo";
    options.defaults = {"zone-a", seconds(60)};
    options.maximumStreamBufferBytes = 100;
    FrontHooks hooks;
    hooks.now = [] { return Instant{}; };
    hooks.wallSeconds = [] { return std::int64_t{1700000000}; };
    hooks.afterEvent = [] {};
    hooks.log = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    hooks.renderMetrics = [] { return std::string("metrics"); };
    hooks.observeCallSeconds = [](double) {};
    hooks.observeDispatchSeconds = [](double) {};
    front = std::make_unique<CallerFront>(std::move(options), core, std::move(hooks));
  }

  std::shared_ptr<Written> request(const std::string& method, const std::string& target,
                                   std::vector<http::Header> headers = {}, std::string body = "") {
    auto written = std::make_shared<Written>();
    front->onRequest({method, target, std::move(headers), std::move(body)},
                     std::make_unique<FakeWriter>(written));
    return written;
  }
  std::shared_ptr<Written> call(const std::string& body = kBody,
                                std::vector<http::Header> headers = kHeaders) {
    return request("POST", "/v1/chat/completions", std::move(headers), body);
  }
  std::shared_ptr<Written> callWith(const http::Header& header) {
    std::vector<http::Header> headers = kHeaders;
    headers.push_back(header);
    return call(kBody, std::move(headers));
  }
  std::shared_ptr<Written> callWithout(const std::string& name) {
    std::vector<http::Header> headers = kHeaders;
    std::erase_if(headers, [&](const http::Header& header) { return header.name == name; });
    return call(kBody, std::move(headers));
  }
  std::shared_ptr<Written> streamCall() {
    Json body = Json::parse(kBody);
    body["stream"] = true;
    return call(body.dump());
  }
  void checkRefused(const Written& written, unsigned status, const std::string& kind,
                    const std::string& field) {
    CHECK_TRUE(written.whole.has_value());
    LONGS_EQUAL(status, written.whole->status);
    STRCMP_EQUAL(kind.c_str(), written.error().at("kind").get<std::string>().c_str());
    STRCMP_EQUAL(field.c_str(), written.error().at("field").get<std::string>().c_str());
    STRCMP_EQUAL("not_run", written.error().at("outcome").get<std::string>().c_str());
    CHECK_FALSE(written.error().at("remedy").get<std::string>().empty());
    LONGS_EQUAL(0, core.calls.size());
    LONGS_EQUAL(0, front->underWay());
  }
  engine::AnswerCompleted completion(const std::string& answer) {
    engine::AnswerCompleted completed;
    completed.handle = core.calls.back().handle;
    completed.answer = answer;
    completed.promptTokens = 5;
    completed.cachedTokens = 3;
    completed.completionTokens = 2;
    completed.call = CallNumber(4);
    completed.backendName = "lm-1";
    completed.durability = program::Durability::ZoneQuorumAndRemote;
    return completed;
  }
};

TEST(CallerFront, HandsAWellFormedCallToTheCore) {
  callWith({"gorsetrail-timeout-ms", "1500"});
  LONGS_EQUAL(1, core.calls.size());
  const engine::CallRequest& given = core.calls[0];
  STRCMP_EQUAL("press-a", given.key.tenant.c_str());
  STRCMP_EQUAL("order-17", given.key.name.c_str());
  STRCMP_EQUAL("zone-a", given.key.homeZone.c_str());
  STRCMP_EQUAL("request-1", given.idempotencyKey.c_str());
  STRCMP_EQUAL("proof", given.work.c_str());
  STRCMP_EQUAL(kBody.c_str(), given.body.c_str());
  STRCMP_EQUAL(R"([{"content":"hi","role":"user"}])", given.messages.c_str());
  LONGS_EQUAL(9, given.maximumTokens);
  CHECK_TRUE(given.repeatable);
  CHECK_TRUE(given.timeLimit == milliseconds(1500));
  CHECK_TRUE(given.mode == engine::AnswerMode::Whole);
}

TEST(CallerFront, AParentMakesTheProgramABranch) {
  callWith({"Gorsetrail-Parent", "order-1/proof"});
  STRCMP_EQUAL("order-1", core.calls[0].key.name.c_str());
  STRCMP_EQUAL("proof/order-17", core.calls[0].branchPath.c_str());
}

TEST(CallerFront, ReadsZoneAndRepeatable) {
  std::vector<http::Header> headers = kHeaders;
  headers.push_back({"Gorsetrail-Zone", "zone-b"});
  headers.push_back({"Gorsetrail-Repeatable", "false"});
  call(kBody, headers);
  STRCMP_EQUAL("zone-b", core.calls[0].key.homeZone.c_str());
  CHECK_FALSE(core.calls[0].repeatable);
}

TEST(CallerFront, MalformedJson) {
  for (const std::string body :
       {"", "{", "[]", "7", "{\"model\":\"proof\",}", "{\"a\":\"\xff\"}"}) {
    checkRefused(*call(body), 400, "malformed_request", "");
  }
}

TEST(CallerFront, JsonOfNothingButBrackets) {
  checkRefused(*call(std::string(500000, '[')), 400, "malformed_request", "");
  checkRefused(*call(R"({"messages":)" + std::string(100, '[')), 400, "malformed_request", "");
}

TEST(CallerFront, EachMissingHeader) {
  checkRefused(*callWithout("Gorsetrail-Tenant"), 400, "missing_field", "Gorsetrail-Tenant");
  checkRefused(*callWithout("Gorsetrail-Program"), 400, "missing_field", "Gorsetrail-Program");
}

TEST(CallerFront, HeaderInjection) {
  const std::vector<std::string> values = {"a\r\nX: b", std::string("a\0b", 3), "a b", "\x7f", "",
                                           "\xc3\xa4",  std::string(129, 'a')};
  for (const std::string& value : values) {
    std::vector<http::Header> headers = {{"Gorsetrail-Tenant", value}, {"Gorsetrail-Program", "p"}};
    checkRefused(*call(kBody, headers), 400, "invalid_field", "Gorsetrail-Tenant");
    headers = {{"Gorsetrail-Tenant", "t"}, {"Gorsetrail-Program", value}};
    checkRefused(*call(kBody, headers), 400, "invalid_field", "Gorsetrail-Program");
    headers = {{"Gorsetrail-Tenant", "t"}, {"Gorsetrail-Program", "p"}, {"Idempotency-Key", value}};
    checkRefused(*call(kBody, headers), 400, "invalid_field", "Idempotency-Key");
    checkRefused(*callWith({"Gorsetrail-Zone", value}), 400, "invalid_field", "Gorsetrail-Zone");
    checkRefused(*callWith({"Gorsetrail-Parent", value}), 400, "invalid_field",
                 "Gorsetrail-Parent");
  }
}

TEST(CallerFront, ProgramNamesHaveNoSlash) {
  const std::vector<http::Header> headers = {{"Gorsetrail-Tenant", "t"},
                                             {"Gorsetrail-Program", "../p"}};
  checkRefused(*call(kBody, headers), 400, "invalid_field", "Gorsetrail-Program");
}

TEST(CallerFront, DuplicatesOfOurHeaders) {
  checkRefused(*callWith({"gorsetrail-tenant", "press-b"}), 400, "invalid_field",
               "Gorsetrail-Tenant");
  checkRefused(*callWith({"IDEMPOTENCY-KEY", "request-2"}), 400, "invalid_field",
               "Idempotency-Key");
}

TEST(CallerFront, MisspeltHeaderOfOurs) {
  checkRefused(*callWith({"Gorsetrail-Repeatble", "false"}), 400, "unknown_field",
               "Gorsetrail-Repeatble");
}

TEST(CallerFront, BadHeaderValues) {
  checkRefused(*callWith({"Gorsetrail-Repeatable", "no"}), 400, "invalid_field",
               "Gorsetrail-Repeatable");
  for (const std::string value : {"0", "-1", "1e3", "86400001", "99999999999999999999", ""}) {
    checkRefused(*callWith({"Gorsetrail-Timeout-Ms", value}), 400, "invalid_field",
                 "Gorsetrail-Timeout-Ms");
  }
  for (const std::string value : {"a//b", "/a", "a/", "1/2/3/4/5/6/7/8/9"}) {
    checkRefused(*callWith({"Gorsetrail-Parent", value}), 400, "invalid_field",
                 "Gorsetrail-Parent");
  }
  checkRefused(*callWith({"Content-Type", "text/plain"}), 400, "invalid_field", "Content-Type");
  checkRefused(*callWith({"Content-Encoding", "gzip"}), 400, "invalid_field", "Content-Encoding");
}

TEST(CallerFront, EachBadField) {
  struct Case {
    const char* pointer;
    const char* value;  ///< JSON; null pointer: the field is removed.
    const char* kind;
    const char* field;
  };
  const std::vector<Case> cases = {
      {"/model", nullptr, "missing_field", "model"},
      {"/messages", nullptr, "missing_field", "messages"},
      {"/messages/0/role", nullptr, "missing_field", "messages[0].role"},
      {"/messages/0/content", nullptr, "missing_field", "messages[0].content"},
      {"/model", "3", "invalid_field", "model"},
      {"/model", "\"\"", "invalid_field", "model"},
      {"/model", "\"a b\"", "invalid_field", "model"},
      {"/messages", "{}", "invalid_field", "messages"},
      {"/messages", "[]", "invalid_field", "messages"},
      {"/messages/0", "7", "invalid_field", "messages[0]"},
      {"/messages/0/role", "\"boss\"", "invalid_field", "messages[0].role"},
      {"/messages/0/content", "null", "invalid_field", "messages[0].content"},
      {"/max_tokens", "0", "invalid_field", "max_tokens"},
      {"/max_tokens", "-1", "invalid_field", "max_tokens"},
      {"/max_tokens", "1.5", "invalid_field", "max_tokens"},
      {"/max_tokens", "10000001", "invalid_field", "max_tokens"},
      {"/max_tokens", "\"9\"", "invalid_field", "max_tokens"},
      {"/stream", "1", "invalid_field", "stream"},
      {"/n", "2", "invalid_field", "n"}};
  for (const Case& bad : cases) {
    Json body = Json::parse(kBody);
    const Json::json_pointer pointer(bad.pointer);
    if (bad.value == nullptr) {
      body[pointer.parent_pointer()].erase(pointer.back());
    } else {
      body[pointer] = Json::parse(bad.value);
    }
    checkRefused(*call(body.dump()), 400, bad.kind, bad.field);
  }
}

TEST(CallerFront, AnswersWhole) {
  const auto written = call();
  front->onCompleted(completion("two\nlines \"quoted\""));
  LONGS_EQUAL(200, written->whole->status);
  const Json answer = Json::parse(written->whole->body);
  STRCMP_EQUAL("chat.completion", answer.at("object").get<std::string>().c_str());
  STRCMP_EQUAL("two\nlines \"quoted\"",
               answer["choices"][0]["message"]["content"].get<std::string>().c_str());
  LONGS_EQUAL(5, answer["usage"]["prompt_tokens"].get<int>());
  LONGS_EQUAL(3, answer["usage"]["prompt_tokens_details"]["cached_tokens"].get<int>());
  STRCMP_EQUAL("4", written->header("Gorsetrail-Call").c_str());
  STRCMP_EQUAL("lm-1", written->header("Gorsetrail-Backend").c_str());
  STRCMP_EQUAL("completed", written->header("Gorsetrail-Outcome").c_str());
  STRCMP_EQUAL("false", written->header("Gorsetrail-Replayed").c_str());
  STRCMP_EQUAL("zone_and_remote", written->header("Gorsetrail-Durability").c_str());
  LONGS_EQUAL(0, front->underWay());
}

TEST(CallerFront, StreamsAnAnswer) {
  const auto written = streamCall();
  const CallHandle handle = core.calls[0].handle;
  front->onChunk({handle, "one "});
  front->onChunk({handle, "two"});
  front->onCompleted(completion("one two"));
  STRCMP_EQUAL("one two", streamedText(written->stream).c_str());
  CHECK_TRUE(written->stream.ends_with("data: [DONE]\n\n"));
  CHECK_TRUE(written->stream.find(R"("back_end":"lm-1")") != std::string::npos);
  CHECK_TRUE(written->streamEnded);
}

TEST(CallerFront, AReplayedStreamHasTheWholeAnswer) {
  const auto written = streamCall();
  front->onCompleted(completion("one two"));
  STRCMP_EQUAL("one two", streamedText(written->stream).c_str());
  CHECK_TRUE(written->streamEnded);
}

TEST(CallerFront, ASlowReaderGetsFewerAndLargerEvents) {
  const auto written = streamCall();
  const CallHandle handle = core.calls[0].handle;
  front->onChunk({handle, "a"});
  written->waiting = 1;
  front->onChunk({handle, "b"});
  front->onChunk({handle, "c"});
  STRCMP_EQUAL("a", streamedText(written->stream).c_str());
  written->waiting = 0;
  written->observer.onFlushed();
  STRCMP_EQUAL("abc", streamedText(written->stream).c_str());
  front->onCompleted(completion("abcd"));
  STRCMP_EQUAL("abcd", streamedText(written->stream).c_str());
}

TEST(CallerFront, AStreamOverTheBufferLimitEndsWithATypedErrorAndTheCallGoesOn) {
  const auto written = streamCall();
  const CallHandle handle = core.calls[0].handle;
  front->onChunk({handle, "a"});
  written->waiting = 1;
  front->onChunk({handle, std::string(101, 'b')});
  CHECK_TRUE(written->stream.find("event: error") != std::string::npos);
  CHECK_TRUE(written->stream.find(R"("outcome":"outcome_unknown")") != std::string::npos);
  CHECK_TRUE(written->streamEnded);
  LONGS_EQUAL(0, core.gone.size());
  LONGS_EQUAL(1, front->underWay());
  const std::size_t length = written->stream.size();
  front->onChunk({handle, "c"});
  front->onCompleted(completion("a" + std::string(101, 'b') + "c"));
  LONGS_EQUAL(length, written->stream.size());
  LONGS_EQUAL(0, front->underWay());
}

TEST(CallerFront, AStreamThatIsNotTheRecordedAnswerIsNeverFinished) {
  const auto written = streamCall();
  front->onChunk({core.calls[0].handle, "one"});
  front->onCompleted(completion("two words"));
  CHECK_TRUE(written->stream.find("event: error") != std::string::npos);
  CHECK_TRUE(written->stream.find("[DONE]") == std::string::npos);
}

TEST(CallerFront, AnErrorAmidAStreamIsAnEventWithoutTheEndMark) {
  const auto written = streamCall();
  const CallHandle handle = core.calls[0].handle;
  front->onChunk({handle, "one"});
  front->onRefused(
      {handle,
       {ErrorKind::OutcomeNotKnown, "", "lost", "ask again", RunOutcome::OutcomeUnknown, 2}});
  CHECK_TRUE(
      written->stream.find("event: error\ndata: {\"error\":{\"kind\":\"outcome_not_known\"") !=
      std::string::npos);
  CHECK_TRUE(written->stream.find("[DONE]") == std::string::npos);
  CHECK_TRUE(written->streamEnded);
}

TEST(CallerFront, AnErrorBeforeAStreamHasItsStatusAndRetryAfter) {
  const auto written = streamCall();
  front->onRefused({core.calls[0].handle,
                    {ErrorKind::AdmissionRefused, "", "full", "wait", RunOutcome::NotRun, 3}});
  CHECK_FALSE(written->streamBegun);
  LONGS_EQUAL(429, written->whole->status);
  STRCMP_EQUAL("3", written->header("Retry-After").c_str());
}

TEST(CallerFront, AProgramOwnedElsewhereIsARedirect) {
  const auto written = call();
  Error error{ErrorKind::ProgramOwnedElsewhere, "", "owned by node 2", "follow the redirect"};
  error.location = "http://127.0.0.1:18102";
  front->onRefused({core.calls[0].handle, error});
  LONGS_EQUAL(307, written->whole->status);
  STRCMP_EQUAL("http://127.0.0.1:18102/v1/chat/completions", written->header("Location").c_str());
}

TEST(CallerFront, HangUpMidStreamReachesTheCoreOnce) {
  const auto written = streamCall();
  const CallHandle handle = core.calls[0].handle;
  front->onChunk({handle, "one"});
  written->observer.onGone();
  LONGS_EQUAL(1, core.gone.size());
  CHECK_TRUE(core.gone[0] == handle);
  LONGS_EQUAL(0, front->underWay());
  const std::size_t length = written->stream.size();
  front->onChunk({handle, "two"});
  front->onCompleted(completion("onetwo"));
  LONGS_EQUAL(length, written->stream.size());
}

TEST(CallerFront, CrossedAnswersReachTheirOwnCallers) {
  const auto first = call();
  const auto second = call();
  engine::AnswerCompleted late = completion("for the second");
  front->onCompleted(late);
  late.handle = core.calls[0].handle;
  late.answer = "for the first";
  front->onCompleted(late);
  CHECK_TRUE(first->whole->body.find("for the first") != std::string::npos);
  CHECK_TRUE(second->whole->body.find("for the second") != std::string::npos);
}

TEST(CallerFront, AStoppingNodeRefusesNewCallsAndFinishesOldOnes) {
  const auto old = call();
  front->beginStop();
  const auto refused = call();
  LONGS_EQUAL(503, refused->whole->status);
  STRCMP_EQUAL("node_stopping", refused->error().at("kind").get<std::string>().c_str());
  STRCMP_EQUAL("1", refused->header("Retry-After").c_str());
  LONGS_EQUAL(1, core.calls.size());
  front->onCompleted(completion("whole"));
  LONGS_EQUAL(200, old->whole->status);
  LONGS_EQUAL(503, request("GET", "/healthz")->whole->status);
}

TEST(CallerFront, AStoppingNodeClaimsNotRunOnlyOfARequestWithoutAnId) {
  front->beginStop();
  const auto outcomeOf = [](const std::shared_ptr<Written>& refused) {
    return refused->error().at("outcome").get<std::string>();
  };
  // The same id may have run through another node before, whether or not it is repeatable.
  STRCMP_EQUAL("outcome_unknown", outcomeOf(call()).c_str());
  STRCMP_EQUAL("outcome_unknown", outcomeOf(callWith({"Gorsetrail-Repeatable", "false"})).c_str());
  STRCMP_EQUAL("not_run", outcomeOf(callWithout("Idempotency-Key")).c_str());
}

TEST(CallerFront, KnowsCallsThatWereNeverDispatched) {
  call();
  CHECK_TRUE(front->hasUndispatchedCall());
  engine::StartDispatch command;
  command.handle = core.calls[0].handle;
  front->onDispatchStarted(command);
  CHECK_FALSE(front->hasUndispatchedCall());
}

TEST(CallerFront, ShowsAndClosesPrograms) {
  const ProgramKey key{"zone-a", "press-a", "order-17"};
  core.summary =
      program::ProgramSummary{key, Epoch(3), 2, 40, false, R"([{"role":"user","content":"hi"}])"};
  const auto shown = request("GET", "/v1/programs/order-17?tenant=press-a");
  const Json page = Json::parse(shown->whole->body);
  LONGS_EQUAL(2, page.at("calls").get<int>());
  STRCMP_EQUAL("hi", page["history"][0]["content"].get<std::string>().c_str());

  const auto closed = request("DELETE", "/v1/programs/order-17?tenant=press-a&zone=zone-a");
  LONGS_EQUAL(1, core.closes.size());
  CHECK_TRUE(core.closes[0].second == key);
  CHECK_FALSE(closed->whole.has_value());
  front->onClosed({core.closes[0].first});
  CHECK_TRUE(Json::parse(closed->whole->body).at("closed").get<bool>());
}

TEST(CallerFront, BadProgramPaths) {
  checkRefused(*request("GET", "/v1/programs/p"), 400, "missing_field", "tenant");
  checkRefused(*request("GET", "/v1/programs/p%0d%0a?tenant=t"), 400, "invalid_field", "program");
  checkRefused(*request("GET", "/v1/programs/p?tenant=%zz"), 400, "malformed_request", "target");
  checkRefused(*request("DELETE", "/v1/programs/?tenant=t"), 400, "invalid_field", "program");
  checkRefused(*request("GET", "/v1/programs/p?tenant=t"), 404, "program_not_found", "program");
  LONGS_EQUAL(0, core.closes.size());
}

TEST(CallerFront, PagesPathsAndMethods) {
  core.members.list.push_back({NodeId(1), "zone-a", "127.0.0.1:2", "127.0.0.1:1"});
  core.members.list.push_back({NodeId(2), "zone-b", "127.0.0.1:4", "127.0.0.1:3"});
  const Json status = Json::parse(request("GET", "/v1/status")->whole->body);
  STRCMP_EQUAL("waiting_for_bundle", status.at("status").get<std::string>().c_str());
  STRCMP_EQUAL("suspected", status["members"][1]["state"].get<std::string>().c_str());
  STRCMP_EQUAL("metrics", request("GET", "/metrics")->whole->body.c_str());
  LONGS_EQUAL(200, request("GET", "/healthz")->whole->status);
  checkRefused(*request("GET", "/nothing"), 404, "invalid_field", "target");
  checkRefused(*request("GET", "/v1/chat/completions"), 405, "invalid_field", "method");
  checkRefused(*request("POST", "/metrics"), 405, "invalid_field", "method");
}
