#include "node/front/answer_format.h"

#include "node/front/error_response.h"
#include "node/front/json_text.h"

namespace gorsetrail::node {
namespace {

std::string_view durabilityName(program::Durability durability) {
  return durability == program::Durability::ZoneQuorum ? "zone" : "zone_and_remote";
}

std::string number(std::uint64_t value) { return std::to_string(value); }

void appendIdentity(std::string& out, const AnswerIdentity& identity, std::string_view object) {
  out += R"({"id":)";
  appendJsonString(out, identity.id);
  out += R"(,"object":)";
  appendJsonString(out, object);
  out += R"(,"created":)" + std::to_string(identity.createdSeconds) + R"(,"model":)";
  appendJsonString(out, identity.work);
}

void appendUsage(std::string& out, const engine::AnswerCompleted& completed) {
  const std::uint64_t total =
      std::uint64_t{completed.promptTokens} + std::uint64_t{completed.completionTokens};
  out += R"("usage":{"prompt_tokens":)" + number(completed.promptTokens);
  out += R"(,"completion_tokens":)" + number(completed.completionTokens);
  out += R"(,"total_tokens":)" + number(total);
  out += R"(,"prompt_tokens_details":{"cached_tokens":)" + number(completed.cachedTokens) + "}}";
}

void appendCallFacts(std::string& out, const engine::AnswerCompleted& completed) {
  out += R"("gorsetrail":{"call":)" + number(completed.call.value()) + R"(,"back_end":)";
  appendJsonString(out, completed.backendName);
  out += R"(,"outcome":"completed","replayed":)";
  out += completed.replayed ? "true" : "false";
  out += R"(,"durability":)";
  appendJsonString(out, durabilityName(completed.durability));
  out += "}";
}

}  // namespace

http::WholeResponse wholeAnswer(const AnswerIdentity& identity,
                                const engine::AnswerCompleted& completed) {
  http::WholeResponse response;
  response.headers = {{"Content-Type", kJsonContentType},
                      {"Gorsetrail-Call", number(completed.call.value())},
                      {"Gorsetrail-Backend", completed.backendName},
                      {"Gorsetrail-Outcome", "completed"},
                      {"Gorsetrail-Replayed", completed.replayed ? "true" : "false"},
                      {"Gorsetrail-Durability", std::string(durabilityName(completed.durability))}};
  std::string& body = response.body;
  body.reserve(completed.answer.size() + 512);
  appendIdentity(body, identity, "chat.completion");
  body += R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)";
  appendJsonString(body, completed.answer);
  body += R"(},"finish_reason":"stop"}],)";
  appendUsage(body, completed);
  body += "}";
  return response;
}

StreamFormat::StreamFormat(const AnswerIdentity& identity) : head_("data: ") {
  appendIdentity(head_, identity, "chat.completion.chunk");
}

std::string_view StreamFormat::textEvent(std::string_view text) {
  event_.assign(head_);
  event_ += roleSent_ ? R"(,"choices":[{"index":0,"delta":{"content":)"
                      : R"(,"choices":[{"index":0,"delta":{"role":"assistant","content":)";
  roleSent_ = true;
  appendJsonString(event_, text);
  event_ += "},\"finish_reason\":null}]}\n\n";
  return event_;
}

std::string StreamFormat::finalEvents(const engine::AnswerCompleted& completed) const {
  std::string events = head_;
  events += R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],)";
  appendUsage(events, completed);
  events += ",";
  appendCallFacts(events, completed);
  events += "}\n\ndata: [DONE]\n\n";
  return events;
}

std::string StreamFormat::errorEvent(const Error& error) {
  return "event: error\ndata: " + errorJson(error) + "\n\n";
}

}  // namespace gorsetrail::node
