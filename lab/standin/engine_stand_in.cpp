#include "lab/standin/engine_stand_in.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/random.h"
#include "lab/standin/answer_text.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::standin {
namespace {

using enginemodel::SubmitOutcome;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kStreamPath = "/v1/streams/";
constexpr std::size_t kMaximumIdCharacters = 128;
constexpr std::uint32_t kMaximumPriority = 1000;

bool isPlainId(std::string_view id) {
  const auto plain = [](char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '.' || character == '_' ||
           character == '-';
  };
  return !id.empty() && id.size() <= kMaximumIdCharacters && std::ranges::all_of(id, plain);
}

Error fieldError(const std::string& field, const std::string& reason, const std::string& remedy) {
  return Error{ErrorKind::InvalidField, field, reason, remedy};
}

std::uint32_t numberOf(std::string_view text, std::uint32_t maximum) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::min(number, maximum);
}

std::string textOf(const nlohmann::json& document, const char* key) {
  return document.contains(key) && document[key].is_string() ? document[key].get<std::string>()
                                                             : std::string();
}

HttpResponse refusal(unsigned status, std::string_view reason, std::string_view remedy) {
  HttpResponse response = errorResponse(status, reason, remedy);
  response.headers.push_back({"X-Not-Run", "true"});
  return response;
}

HttpResponse refusalOf(SubmitOutcome outcome) {
  switch (outcome) {
    case SubmitOutcome::QueueFull: {
      HttpResponse response = refusal(429, "queue is full", "ask again after Retry-After");
      response.headers.push_back({"Retry-After", "1"});
      return response;
    }
    case SubmitOutcome::DuplicateId:
      return errorResponse(409, "this X-Request-Id is known", "resume its stream");
    case SubmitOutcome::TooLong:
      return refusal(400, "request does not fit into the memory", "send a shorter request");
    case SubmitOutcome::Leaving:
    case SubmitOutcome::Accepted:
      break;
  }
  HttpResponse response = refusal(503, "leaving", "use another replica");
  response.headers.push_back({"X-Leaving", "true"});
  return response;
}

}  // namespace

EngineStandIn::EngineStandIn(EngineStandInOptions options, FaultSwitches& switches,
                             Scheduler& scheduler)
    : options_(std::move(options)),
      switches_(switches),
      scheduler_(scheduler),
      model_(options_.engine),
      memory_(model_),
      orders_(options_.model, options_.adapters, options_.loadTime),
      reports_(options_.reports) {
  reportLoad();
}

void EngineStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  model_.setLeaving(switches_.leaving);
  if (request.is("POST", kChatPath)) {
    serveChat(request, std::move(exchange));
    return;
  }
  const std::string_view id = request.restOf("GET", kStreamPath);
  if (!id.empty()) {
    resumeStream(std::string(id), request, std::move(exchange));
    return;
  }
  exchange->respond(answerOf(request));
}

HttpResponse EngineStandIn::answerOf(const HttpRequest& request) {
  const Instant now = scheduler_.now();
  if (EngineMemory::serves(request.path)) {
    HttpResponse response = memory_.handle(request, now);
    reports_.noteSequence(model_.cache().lastSequence(), now);
    return response;
  }
  if (request.is("GET", "/v1/load")) {
    return jsonResponse(200, reports_.loadJson(now));
  }
  if (request.is("GET", "/v1/counters")) {
    return jsonResponse(200, nlohmann::json{{"requests", requests_}}.dump());
  }
  if (request.is("GET", "/v1/cache/events")) {
    return jsonResponse(200,
                        reports_.cacheEventsJson(model_, request.queryNumber("after", 0), now));
  }
  if (request.is("POST", "/v1/orders")) {
    return orders_.take(request.body, now);
  }
  if (request.is("GET", "/v1/orders")) {
    return orders_.show(now);
  }
  const std::string_view id = request.restOf("DELETE", kStreamPath);
  return id.empty() ? errorResponse(404, "no such resource", "see docs/STANDINS.md")
                    : cancelStream(std::string(id));
}

void EngineStandIn::serveChat(const HttpRequest& request, HttpExchangePtr exchange) {
  ++requests_;
  std::optional<HttpResponse> response = refusalBeforeRun();
  const Result<ChatRequest> chat = parseChat(request);
  if (!response && !succeeded(chat)) {
    const Error& error = errorOf(chat);
    response = refusal(httpStatusOf(error.kind), error.field + ": " + error.reason, error.remedy);
  }
  if (response) {
    response->headers.push_back({"X-Request-Id", std::string(request.header("X-Request-Id"))});
    exchange->respond(std::move(*response));
    return;
  }
  submit(valueOf(chat), std::move(exchange));
}

std::optional<HttpResponse> EngineStandIn::refusalBeforeRun() {
  if (switches_.leaving) {
    return refusalOf(SubmitOutcome::Leaving);
  }
  if (switches_.takeRefusal()) {
    return refusal(503, "refuses for now", "use another replica");
  }
  if (orders_.loading(scheduler_.now())) {
    return refusal(503, "loading a model or adapter", "use another replica meanwhile");
  }
  return std::nullopt;
}

Result<EngineStandIn::ChatRequest> EngineStandIn::parseChat(const HttpRequest& request) const {
  ChatRequest chat;
  chat.requestId = std::string(request.header("X-Request-Id"));
  if (!isPlainId(chat.requestId)) {
    return fieldError("X-Request-Id", "missing or not plain", "send 1 to 128 of [A-Za-z0-9._-]");
  }
  const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
    return fieldError("messages", "missing or no array", "send a JSON object with messages");
  }
  const std::string adapter = textOf(body, "adapter");
  if (textOf(body, "model") != orders_.model() || !orders_.hasAdapter(adapter)) {
    return Error{ErrorKind::UnknownModel, "model", "model or adapter is not loaded here",
                 "GET /v1/orders tells what is loaded"};
  }
  const std::string messages = canonicalMessages(
      body["messages"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  const bool limited = body.contains("max_tokens") && body["max_tokens"].is_number_unsigned();
  const std::uint64_t maximumTokens =
      limited ? body["max_tokens"].get<std::uint64_t>() : options_.maximumAnswerTokens;
  chat.digest = contentDigestOf(messages).toHex();
  chat.canonicalText = orders_.model() + "\n" + adapter + "\n" + messages;
  chat.priority = numberOf(request.header("X-Priority"), kMaximumPriority);
  chat.answerTokens = answerLength(
      chat.digest, static_cast<std::uint32_t>(std::min<std::uint64_t>(maximumTokens, UINT32_MAX)));
  const bool stream = body.contains("stream") && body["stream"] == true;
  chat.mode = stream ? ListenerMode::Stream : ListenerMode::Whole;
  return chat;
}

/// The same messages get an answer of the same length, whoever serves them.
std::uint32_t EngineStandIn::answerLength(const std::string& digest,
                                          std::uint32_t maximumTokens) const {
  RandomSource random(std::hash<std::string>{}(digest));
  const std::uint32_t spread = options_.maximumAnswerTokens - options_.minimumAnswerTokens;
  const auto length = static_cast<std::uint32_t>(options_.minimumAnswerTokens +
                                                 random.below(std::uint64_t{spread} + 1));
  return std::max(1U, std::min(length, maximumTokens));
}

void EngineStandIn::submit(const ChatRequest& chat, HttpExchangePtr exchange) {
  std::string text = answerText({chat.requestId, chat.digest}, chat.answerTokens);
  const std::string history =
      chat.canonicalText + R"(,{"content":")" + text + R"(","role":"assistant"})";
  enginemodel::EngineRequest request;
  request.id = chat.requestId;
  request.chain = scheduling::prefixChainOf(history, options_.engine.blockTokens);
  request.promptTokens = std::max(1U, scheduling::estimatedTokens(chat.canonicalText));
  request.answerTokens = chat.answerTokens;
  request.priority = chat.priority;
  const SubmitOutcome outcome = model_.submit(request, scheduler_.now());
  if (outcome != SubmitOutcome::Accepted) {
    HttpResponse response = refusalOf(outcome);
    response.headers.push_back({"X-Request-Id", chat.requestId});
    exchange->respond(std::move(response));
    return;
  }
  const auto [entry, added] = streams_.insert_or_assign(
      chat.requestId, EngineStream(chat.requestId, orders_.model(), std::move(text)));
  entry->second.listen(std::move(exchange), chat.mode, 0, switches_.breakAfterTokens);
  pump();
}

void EngineStandIn::resumeStream(const std::string& id, const HttpRequest& request,
                                 HttpExchangePtr exchange) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    exchange->respond(errorResponse(404, "no such stream", "it never ran here or is forgotten"));
    return;
  }
  const auto from = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(request.queryNumber("from", 0), UINT32_MAX));
  found->second.listen(std::move(exchange), ListenerMode::Stream, from, switches_.breakAfterTokens);
}

HttpResponse EngineStandIn::cancelStream(const std::string& id) {
  const bool cancelled = model_.cancel(id, scheduler_.now());
  pump();
  if (!cancelled && !streams_.contains(id)) {
    return errorResponse(404, "no such stream", "it never ran here or is forgotten");
  }
  return jsonResponse(200, nlohmann::json{{"cancelled", cancelled}}.dump());
}

void EngineStandIn::pump() {
  const Instant now = scheduler_.now();
  for (const enginemodel::EngineEvent& event : model_.advance(now)) {
    deliver(event);
  }
  reports_.noteSequence(model_.cache().lastSequence(), now);
  scheduleNextStep();
}

void EngineStandIn::deliver(const enginemodel::EngineEvent& event) {
  if (const auto* token = std::get_if<enginemodel::TokenEmitted>(&event)) {
    const auto found = streams_.find(token->id);
    if (found != streams_.end()) {
      found->second.onToken(token->offset);
    }
    return;
  }
  const auto& finished = std::get<enginemodel::RequestFinished>(event);
  const auto found = streams_.find(finished.id);
  if (found != streams_.end()) {
    found->second.onFinished(finished.usage, finished.cancelled, scheduler_.now());
    finishedOrder_.push_back(finished.id);
  }
}

void EngineStandIn::scheduleNextStep() {
  const std::optional<Instant> next = model_.nextStepAt();
  if (stepScheduled_ || !next) {
    return;
  }
  stepScheduled_ = true;
  const Duration delay = std::max(Duration(0), *next - scheduler_.now());
  scheduler_.after(delay, [this] {
    stepScheduled_ = false;
    pump();
  });
}

void EngineStandIn::reportLoad() {
  model_.setLeaving(switches_.leaving);
  reports_.noteLoad(model_.load(), scheduler_.now());
  forgetOldStreams();
  scheduler_.after(options_.loadReportInterval, [this] { reportLoad(); });
}

void EngineStandIn::forgetOldStreams() {
  while (!finishedOrder_.empty()) {
    const auto oldest = streams_.find(finishedOrder_.front());
    if (oldest != streams_.end() &&
        scheduler_.now() - oldest->second.finishedAt() < options_.streamKeepTime) {
      return;
    }
    if (oldest != streams_.end()) {
      streams_.erase(oldest);
    }
    finishedOrder_.pop_front();
  }
}

}  // namespace gorsetrail::standin
