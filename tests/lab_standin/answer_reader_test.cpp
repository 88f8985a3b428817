#include "lab/load/answer_reader.h"

#include "lab/load/load_figures.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::load;

namespace {

http::Response stream(std::string body) {
  return {200, {{"content-type", "text/event-stream"}}, std::move(body)};
}

const char* const kChunk = "data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\n\n";
const char* const kLast =
    "data: {\"choices\":[{\"delta\":{}}],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
    "\"prompt_tokens_details\":{\"cached_tokens\":4}},"
    "\"gorsetrail\":{\"call\":3,\"replayed\":true}}\n\n";

}  // namespace

TEST_GROUP(AnswerReader){};

TEST(AnswerReader, ReadsAStreamToItsEnd) {
  const std::string body = std::string(kChunk) + kChunk + kLast + "data: [DONE]\n\n";
  const auto answer = std::get<CallAnswered>(readAnswer("k", stream(body)));
  STRCMP_EQUAL("abab", answer.content.c_str());
  UNSIGNED_LONGS_EQUAL(3, answer.callNumber);
  UNSIGNED_LONGS_EQUAL(4, answer.cachedTokens);
  CHECK(answer.replayed);
  CHECK(answer.ended);
}

TEST(AnswerReader, StreamWithoutItsEndIsMarked) {
  CHECK_FALSE(std::get<CallAnswered>(readAnswer("k", stream(kChunk))).ended);
}

TEST(AnswerReader, ErrorInAStreamIsARefusal) {
  const std::string body = std::string(kChunk) +
                           "event: error\ndata: {\"error\":{\"kind\":\"backend_failed\","
                           "\"outcome\":\"outcome_unknown\",\"retry_after_s\":2}}\n\n";
  const auto refusal = std::get<ReadRefusal>(readAnswer("k", stream(body)));
  STRCMP_EQUAL("backend_failed", refusal.refused.kind.c_str());
  CHECK(refusal.refused.outcome == RunOutcome::OutcomeUnknown);
  UNSIGNED_LONGS_EQUAL(2, refusal.retryAfterSeconds);
}

TEST(AnswerReader, ReadsAWholeAnswer) {
  const http::Response response{
      200,
      {{"content-type", "application/json"}, {"gorsetrail-call", "7"}},
      R"({"choices":[{"message":{"content":"x"}}],"usage":{"completion_tokens":1}})"};
  const auto answer = std::get<CallAnswered>(readAnswer("k", response));
  STRCMP_EQUAL("x", answer.content.c_str());
  UNSIGNED_LONGS_EQUAL(7, answer.callNumber);
  UNSIGNED_LONGS_EQUAL(1, answer.completionTokens);
}

TEST(AnswerReader, UnreadableAnswerHasAnUnknownOutcome) {
  const auto refusal = std::get<ReadRefusal>(readAnswer("k", {200, {}, "no json"}));
  CHECK(refusal.refused.outcome == RunOutcome::OutcomeUnknown);
  STRCMP_EQUAL("unreadable_answer", refusal.refused.kind.c_str());
}

TEST(AnswerReader, RedirectNamesAddressAndTarget) {
  const auto redirect = std::get<ReadRedirect>(
      readAnswer("k", {307, {{"location", "http://127.0.0.1:81/v1/x?y=1"}}, ""}));
  STRCMP_EQUAL("127.0.0.1:81", redirect.address.c_str());
  STRCMP_EQUAL("/v1/x?y=1", redirect.target.c_str());
}

TEST(AnswerReader, QuantileIsTheSampleOfThatRank) {
  DOUBLES_EQUAL(0.0, quantileMilliseconds({}, 0.5), 0.0);
  std::vector<Duration> samples;
  for (int index = 100; index > 0; --index) {
    samples.push_back(milliseconds(index));
  }
  DOUBLES_EQUAL(50.0, quantileMilliseconds(samples, 0.50), 0.0);
  DOUBLES_EQUAL(99.0, quantileMilliseconds(samples, 0.99), 0.0);
}
