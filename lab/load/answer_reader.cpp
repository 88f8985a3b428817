#include "lab/load/answer_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace gorsetrail::load {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kTemporaryRedirect = 307;
constexpr std::string_view kScheme = "http://";

char lowerCase(char character) {
  const bool upper = character >= 'A' && character <= 'Z';
  return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

std::uint32_t numberOf(std::string_view text) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json parsed(std::string_view text) { return json::parse(text, nullptr, false); }

const json& member(const json& document, const char* key) {
  static const json kNothing;
  return document.is_object() && document.contains(key) ? document[key] : kNothing;
}

std::uint32_t numberIn(const json& document, const char* key) {
  const json& value = member(document, key);
  return value.is_number_unsigned() ? value.get<std::uint32_t>() : 0;
}

std::string textIn(const json& document, const char* key) {
  const json& value = member(document, key);
  return value.is_string() ? value.get<std::string>() : std::string();
}

RunOutcome outcomeNamed(const std::string& name) {
  if (name == "not_run") {
    return RunOutcome::NotRun;
  }
  return name == "completed" ? RunOutcome::Completed : RunOutcome::OutcomeUnknown;
}

ReadRefusal refusalOf(const std::string& key, const json& document) {
  const json& error = member(document, "error");
  ReadRefusal refusal;
  refusal.refused = {key, textIn(error, "kind"), outcomeNamed(textIn(error, "outcome"))};
  if (refusal.refused.kind.empty()) {
    refusal.refused.kind = "unreadable_answer";
  }
  refusal.retryAfterSeconds = numberIn(error, "retry_after_s");
  return refusal;
}

void readUsage(const json& document, CallAnswered& answer) {
  const json& usage = member(document, "usage");
  answer.promptTokens = numberIn(usage, "prompt_tokens");
  answer.completionTokens = numberIn(usage, "completion_tokens");
  answer.cachedTokens = numberIn(member(usage, "prompt_tokens_details"), "cached_tokens");
}

const json& firstChoice(const json& document) {
  static const json kNothing;
  const json& choices = member(document, "choices");
  return choices.is_array() && !choices.empty() ? choices[0] : kNothing;
}

ReadAnswer readWhole(const std::string& key, const http::Response& response) {
  const json document = parsed(response.body);
  if (!document.is_object() || !document.contains("choices")) {
    return refusalOf(key, document);
  }
  CallAnswered answer;
  answer.key = key;
  answer.content = textIn(member(firstChoice(document), "message"), "content");
  answer.callNumber = numberOf(headerOf(response, "Gorsetrail-Call"));
  answer.replayed = headerOf(response, "Gorsetrail-Replayed") == "true";
  readUsage(document, answer);
  return answer;
}

/// Adds one `chat.completion.chunk` to the answer.
void addChunk(const json& chunk, CallAnswered& answer) {
  answer.content += textIn(member(firstChoice(chunk), "delta"), "content");
  if (chunk.is_object() && chunk.contains("usage")) {
    readUsage(chunk, answer);
  }
  const json& facts = member(chunk, "gorsetrail");
  if (facts.is_object()) {
    answer.callNumber = numberIn(facts, "call");
    answer.replayed = member(facts, "replayed") == true;
  }
}

/// \return the value of a field line of an event, e.g. `data`; empty when it is another field.
std::string_view fieldOf(std::string_view line, std::string_view name) {
  if (!line.starts_with(name) || line.substr(name.size(), 1) != ":") {
    return {};
  }
  line.remove_prefix(name.size() + 1);
  return line.starts_with(' ') ? line.substr(1) : line;
}

ReadAnswer readStream(const std::string& key, std::string_view body) {
  CallAnswered answer;
  answer.key = key;
  answer.ended = false;
  bool isError = false;
  while (!body.empty()) {
    const std::size_t end = std::min(body.find('\n'), body.size());
    const std::string_view line = body.substr(0, end);
    body.remove_prefix(std::min(end + 1, body.size()));
    isError = isError || fieldOf(line, "event") == "error";
    const std::string_view data = fieldOf(line, "data");
    if (data == "[DONE]") {
      answer.ended = true;
    } else if (!data.empty() && isError) {
      return refusalOf(key, parsed(data));
    } else if (!data.empty()) {
      addChunk(parsed(data), answer);
    }
  }
  return answer;
}

ReadRedirect redirectOf(std::string_view location) {
  if (location.starts_with(kScheme)) {
    location.remove_prefix(kScheme.size());
  }
  const std::size_t slash = std::min(location.find('/'), location.size());
  return {std::string(location.substr(0, slash)), std::string(location.substr(slash))};
}

}  // namespace

std::string_view headerOf(const http::Response& response, std::string_view name) {
  for (const http::Header& header : response.headers) {
    if (std::ranges::equal(header.name, name, {}, lowerCase, lowerCase)) {
      return header.value;
    }
  }
  return {};
}

ReadAnswer readAnswer(const std::string& key, const http::Response& response) {
  if (response.status == kTemporaryRedirect) {
    return redirectOf(headerOf(response, "Location"));
  }
  if (response.status != kOk) {
    ReadRefusal refusal = refusalOf(key, parsed(response.body));
    refusal.retryAfterSeconds =
        std::max(refusal.retryAfterSeconds, numberOf(headerOf(response, "Retry-After")));
    return refusal;
  }
  const bool stream = headerOf(response, "Content-Type").starts_with("text/event-stream");
  return stream ? readStream(key, response.body) : readWhole(key, response);
}

}  // namespace gorsetrail::load
